/** Measures one route of calls. */
import {MarigoldpostError} from '@marigoldpost/common';
import type {Pool} from 'undici';
import {getQuantile} from '../utils/statistics.js';
import type {PathRequest, CallRoute} from './path_requests.js';

/** Load of one route in one round. */
export interface PathRoundSize {
  /** Sequential requests to the plain service. */
  readonly requests: number;
  /** Requests to the plain service, `concurrency` at a time. */
  readonly concurrentRequests: number;
  readonly concurrency: number;
  /** Sequential streams. */
  readonly streams: number;
  readonly tokensPerStream: number;
}

/** Figures of one route in one round. */
export interface RouteFigures {
  /** Median latency of sequential plain requests, in milliseconds. */
  readonly plainP50Ms: number;
  /** Plain requests per second, `concurrency` at a time. */
  readonly plainPerSecond: number;
  /** CPU time of a plain request in all components, in milliseconds. */
  readonly plainCpuMs: number;
  /** Median time to first token of sequential streams, in milliseconds. */
  readonly firstTokenP50Ms: number;
  /** CPU time of a streamed token in all components, in microseconds. */
  readonly tokenCpuUs: number;
}

const msPerSecond = 1000;
const usPerMs = 1000;
const okStatus = 200;
// Does not match the first chunk of a completion, whose content is empty.
const firstTokenPattern = /"(?:text|content)":"[^"]/;
let lastNumber = 0;

/**
 * Measures one route with plain requests and with streams.
 * @param route - Route of the calls.
 * @param size - Load of the round.
 */
export async function measureRoute(
  route: CallRoute,
  size: PathRoundSize,
): Promise<RouteFigures> {
  const plainP50Ms = await measurePlainLatency(route, size.requests);
  const throughput = await measurePlainThroughput(route, size);
  const streams = await measureStreams(route, size);
  return {plainP50Ms, ...throughput, ...streams};
}

async function measurePlainLatency(
  route: CallRoute,
  requests: number,
): Promise<number> {
  const latenciesMs: number[] = [];
  for (let count = 0; count < requests; count++) {
    const startMs = performance.now();
    await sendPlain(route);
    latenciesMs.push(performance.now() - startMs);
  }
  return getQuantile(latenciesMs, 0.5);
}

async function measurePlainThroughput(
  route: CallRoute,
  {concurrentRequests, concurrency}: PathRoundSize,
): Promise<Pick<RouteFigures, 'plainPerSecond' | 'plainCpuMs'>> {
  let remaining = concurrentRequests;
  const startMs = performance.now();
  const startCpu = process.cpuUsage();
  const senders = Array.from({length: concurrency}, async () => {
    while (remaining-- > 0) await sendPlain(route);
  });
  await Promise.all(senders);
  const elapsedMs = performance.now() - startMs;
  return {
    plainPerSecond: (concurrentRequests * msPerSecond) / elapsedMs,
    plainCpuMs: getCpuUs(startCpu) / usPerMs / concurrentRequests,
  };
}

async function measureStreams(
  route: CallRoute,
  {streams, tokensPerStream}: PathRoundSize,
): Promise<Pick<RouteFigures, 'firstTokenP50Ms' | 'tokenCpuUs'>> {
  const firstTokensMs: number[] = [];
  const startCpu = process.cpuUsage();
  for (let count = 0; count < streams; count++) {
    firstTokensMs.push(await sendStream(route));
  }
  const tokens = streams * tokensPerStream;
  return {
    firstTokenP50Ms: getQuantile(firstTokensMs, 0.5),
    tokenCpuUs: getCpuUs(startCpu) / tokens,
  };
}

async function sendPlain({plainPool, requests}: CallRoute): Promise<void> {
  const body = await send(plainPool, requests.createPlain(++lastNumber));
  await body.text();
}

/** Reads one stream to its end and gets the time to its first token. */
async function sendStream({enginePool, requests}: CallRoute): Promise<number> {
  const startMs = performance.now();
  const body = await send(enginePool, requests.createStream(++lastNumber));
  let firstTokenMs: number | undefined;
  for await (const chunk of body) {
    if (firstTokenMs !== undefined) continue;
    if (!firstTokenPattern.test(String(chunk))) continue;
    firstTokenMs = performance.now() - startMs;
  }
  if (firstTokenMs !== undefined) return firstTokenMs;
  throw createMeasurementError('stream ended without a token');
}

async function send(pool: Pool, request: PathRequest) {
  const {statusCode, body} = await pool.request(request);
  if (statusCode === okStatus) return body;
  throw createMeasurementError(`status ${statusCode}: ${await body.text()}`);
}

function createMeasurementError(message: string): MarigoldpostError {
  return MarigoldpostError.create(
    'internal',
    `path measurement failed: ${message}`,
  );
}

function getCpuUs(start: NodeJS.CpuUsage): number {
  const {user, system} = process.cpuUsage(start);
  return user + system;
}
