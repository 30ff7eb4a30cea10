/**
 * Measures the cost of target clients against bare undici, in paired rounds.
 */
import {
  type ModelId,
  type ProgramId,
  type TargetId,
  toId,
} from '@marigoldpost/common';
import {HttpEngineClient, HttpPlainServiceClient} from '@marigoldpost/targets';
import {Pool} from 'undici';
import {startEchoServer, startTokenServer} from './target_servers.js';

/** Number of rounds, and the load of each. */
export interface TargetClientBenchOptions {
  readonly rounds: number;
  /** Sequential streams per round. */
  readonly streams: number;
  readonly tokensPerStream: number;
  /** Sequential requests to a plain service per round. */
  readonly requests: number;
}

/** Figures of one round with bare undici and the clients, in microseconds. */
export interface TargetClientRound {
  readonly bareTokenCpuUs: number;
  readonly clientTokenCpuUs: number;
  readonly bareRequestP50Us: number;
  readonly clientRequestP50Us: number;
  readonly bareRequestCpuUs: number;
  readonly clientRequestCpuUs: number;
}

const timeoutMs = 10_000;
const {signal} = new AbortController();
const target = toId<TargetId>('bench');
const microsecondsPerMillisecond = 1000;

/**
 * Measures the clients. Server and client share the process, so only the
 * difference between the bare and the client figure is the client's own cost.
 * @param options - Number of rounds, and the load of each.
 */
export async function measureTargetClients(
  options: TargetClientBenchOptions,
): Promise<TargetClientRound[]> {
  const rounds: TargetClientRound[] = [];
  for (let round = 0; round < options.rounds; round++) {
    const tokens = await measureTokens(options);
    const requests = await measureRequests(options.requests);
    rounds.push({...tokens, ...requests});
  }
  return rounds;
}

async function measureTokens({
  streams,
  tokensPerStream,
}: TargetClientBenchOptions): Promise<
  Pick<TargetClientRound, 'bareTokenCpuUs' | 'clientTokenCpuUs'>
> {
  const server = await startTokenServer(tokensPerStream);
  const {address} = server;
  const pool = new Pool(address);
  const client = HttpEngineClient.create({target, address, timeoutMs});
  const tokens = streams * tokensPerStream;
  const bareUs = await measureCpuUs(streams, () => readBare(pool));
  const clientUs = await measureCpuUs(streams, () => readTokens(client));
  await Promise.all([pool.close(), client.close()]);
  await server.stop();
  return {bareTokenCpuUs: bareUs / tokens, clientTokenCpuUs: clientUs / tokens};
}

async function measureRequests(
  requests: number,
): Promise<Omit<TargetClientRound, 'bareTokenCpuUs' | 'clientTokenCpuUs'>> {
  const server = await startEchoServer();
  const {address} = server;
  const pool = new Pool(address);
  const client = HttpPlainServiceClient.create({target, address, timeoutMs});
  const bare = await measureP50(requests, () => sendBare(pool));
  const own = await measureP50(requests, () => sendRequest(client));
  await Promise.all([pool.close(), client.close()]);
  await server.stop();
  return {
    bareRequestP50Us: bare.p50Us,
    clientRequestP50Us: own.p50Us,
    bareRequestCpuUs: bare.cpuUs,
    clientRequestCpuUs: own.cpuUs,
  };
}

async function measureCpuUs(
  times: number,
  action: () => Promise<void>,
): Promise<number> {
  const start = process.cpuUsage();
  for (let i = 0; i < times; i++) await action();
  const {user, system} = process.cpuUsage(start);
  return user + system;
}

async function measureP50(
  times: number,
  action: () => Promise<void>,
): Promise<{p50Us: number; cpuUs: number}> {
  const latenciesUs: number[] = [];
  const cpuUs = await measureCpuUs(times, async () => {
    const startMs = performance.now();
    await action();
    const elapsedMs = performance.now() - startMs;
    latenciesUs.push(elapsedMs * microsecondsPerMillisecond);
  });
  latenciesUs.sort((left, right) => left - right);
  const p50Us = latenciesUs[Math.floor(times / 2)] ?? 0;
  return {p50Us, cpuUs: cpuUs / times};
}

async function readBare(pool: Pool): Promise<void> {
  const {body} = await pool.request({path: '/v1/streams/a', method: 'POST'});
  await readAll(body);
}

async function readTokens(client: HttpEngineClient): Promise<void> {
  const request = {
    streamId: 'a',
    model: toId<ModelId>('tide'),
    program: toId<ProgramId>('cat-lai.0.a'),
    messages: [],
    maxTokens: Infinity,
    offsetTokens: 0,
    isResumeOnly: false,
  };
  await readAll(client.generate(request, signal));
}

async function sendBare(pool: Pool): Promise<void> {
  const {body} = await pool.request({
    path: '/bookings',
    method: 'POST',
    body: '{"crane":7}',
  });
  await body.text();
}

async function sendRequest(client: HttpPlainServiceClient): Promise<void> {
  const body = '{"crane":7}';
  const request = {method: 'POST', path: '/bookings', headers: {}, body};
  await client.send(request, signal);
}

async function readAll(items: AsyncIterable<unknown>): Promise<void> {
  const iterator = items[Symbol.asyncIterator]();
  while (!(await iterator.next()).done);
}
