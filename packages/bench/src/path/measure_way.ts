/** Figures of one way of a call. */
import {MarigoldpostError} from '@marigoldpost/common';
import type {Pool} from 'undici';
import {getQuantile} from '../utils/statistics.js';
import type {PathRequest, PathWay} from './path_requests.js';

/** Size of one round. */
export interface PathRoundSize {
  /** Requests to the plain service, one at a time. */
  readonly requests: number;
  /** Requests to the plain service, `concurrency` at once. */
  readonly concurrentRequests: number;
  readonly concurrency: number;
  /** Streams, one at a time. */
  readonly streams: number;
  readonly tokensPerStream: number;
}

/** What one way took in one round. */
export interface WayFigures {
  /** Latency of a plain request, one at a time, in milliseconds. */
  readonly plainP50Ms: number;
  /** Plain requests a second, `concurrency` at once. */
  readonly plainPerSecond: number;
  /** Processor time of a plain request in all parts, in milliseconds. */
  readonly plainCpuMs: number;
  /** Time to a stream's first token, one at a time, in milliseconds. */
  readonly firstTokenP50Ms: number;
  /** Processor time of a streamed token in all parts, in microseconds. */
  readonly tokenCpuUs: number;
}

const msPerSecond = 1000;
const usPerMs = 1000;
const okStatus = 200;
// The opening chunk of a completion has an empty content.
const tokenMark = /"(?:text|content)":"[^"]/;
let lastNumber = 0;

/**
 * Measures one way.
 * @param way - The way.
 * @param size - Size of the round.
 */
export async function measureWay(
  way: PathWay,
  size: PathRoundSize,
): Promise<WayFigures> {
  const plainP50Ms = await measurePlainLatency(way, size.requests);
  const throughput = await measurePlainThroughput(way, size);
  const streams = await measureStreams(way, size);
  return {plainP50Ms, ...throughput, ...streams};
}

async function measurePlainLatency(
  way: PathWay,
  requests: number,
): Promise<number> {
  const latenciesMs: number[] = [];
  for (let count = 0; count < requests; count++) {
    const startMs = performance.now();
    await sendPlain(way);
    latenciesMs.push(performance.now() - startMs);
  }
  return getQuantile(latenciesMs, 0.5);
}

async function measurePlainThroughput(
  way: PathWay,
  {concurrentRequests, concurrency}: PathRoundSize,
): Promise<Pick<WayFigures, 'plainPerSecond' | 'plainCpuMs'>> {
  let left = concurrentRequests;
  const startMs = performance.now();
  const startCpu = process.cpuUsage();
  const senders = Array.from({length: concurrency}, async () => {
    while (left-- > 0) await sendPlain(way);
  });
  await Promise.all(senders);
  const elapsedMs = performance.now() - startMs;
  return {
    plainPerSecond: (concurrentRequests * msPerSecond) / elapsedMs,
    plainCpuMs: getCpuUs(startCpu) / usPerMs / concurrentRequests,
  };
}

async function measureStreams(
  way: PathWay,
  {streams, tokensPerStream}: PathRoundSize,
): Promise<Pick<WayFigures, 'firstTokenP50Ms' | 'tokenCpuUs'>> {
  const firstTokensMs: number[] = [];
  const startCpu = process.cpuUsage();
  for (let count = 0; count < streams; count++) {
    firstTokensMs.push(await sendStream(way));
  }
  const tokens = streams * tokensPerStream;
  return {
    firstTokenP50Ms: getQuantile(firstTokensMs, 0.5),
    tokenCpuUs: getCpuUs(startCpu) / tokens,
  };
}

async function sendPlain({plainPool, requests}: PathWay): Promise<void> {
  const body = await send(plainPool, requests.createPlain(++lastNumber));
  await body.text();
}

/** Reads one stream to its end; gets the time to its first token. */
async function sendStream({enginePool, requests}: PathWay): Promise<number> {
  const startMs = performance.now();
  const body = await send(enginePool, requests.createStream(++lastNumber));
  let firstTokenMs: number | undefined;
  for await (const chunk of body) {
    if (firstTokenMs !== undefined) continue;
    if (!tokenMark.test(String(chunk))) continue;
    firstTokenMs = performance.now() - startMs;
  }
  if (firstTokenMs !== undefined) return firstTokenMs;
  throw createFailure('a stream ended without a token');
}

async function send(pool: Pool, request: PathRequest) {
  const {statusCode, body} = await pool.request(request);
  if (statusCode === okStatus) return body;
  throw createFailure(`status ${statusCode}: ${await body.text()}`);
}

function createFailure(message: string): MarigoldpostError {
  return MarigoldpostError.create('internal', `the measurement: ${message}`);
}

function getCpuUs(start: NodeJS.CpuUsage): number {
  const {user, system} = process.cpuUsage(start);
  return user + system;
}
