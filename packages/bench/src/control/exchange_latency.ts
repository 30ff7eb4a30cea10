/** Measures peer exchanges over one stream between two transports. */
import {create} from '@bufbuild/protobuf';
import {type DaemonId, SystemClock, toId} from '@marigoldpost/common';
import {
  ConfigTextSchema,
  ConnectPeerTransport,
  FetchConfigSchema,
  type PeerAddress,
} from '@marigoldpost/peers';

const loopback = '127.0.0.1';
const warmUpExchanges = 500;
const askOptions = {timeoutMs: 10_000};

/** Latency and throughput at one concurrency. */
export interface ExchangeLatency {
  readonly concurrency: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly exchangesPerSecond: number;
}

/**
 * Measures exchanges with one reply over loopback; both ends run in this
 * process.
 * @param concurrency - Exchanges in flight at a time.
 * @param count - Number of exchanges to measure.
 */
export async function measureExchangeLatency(
  concurrency: number,
  count: number,
): Promise<ExchangeLatency> {
  const client = await startTransport('client');
  const server = await startTransport('server');
  server.setHandler(async function* () {
    yield {case: 'config', value: create(ConfigTextSchema, {version: 1n})};
  });
  const address = server.getAddress();
  await runExchanges(client, address, concurrency, warmUpExchanges);
  const startMs = performance.now();
  const latencies = await runExchanges(client, address, concurrency, count);
  const elapsedMs = performance.now() - startMs;
  await client.stop();
  await server.stop();
  latencies.sort((left, right) => left - right);
  return {
    concurrency,
    p50Ms: getQuantile(latencies, 0.5),
    p99Ms: getQuantile(latencies, 0.99),
    exchangesPerSecond: (count * 1000) / elapsedMs,
  };
}

async function startTransport(name: string): Promise<ConnectPeerTransport> {
  const transport = ConnectPeerTransport.create({
    daemon: toId<DaemonId>(name),
    host: loopback,
    port: 0,
    clock: SystemClock.create(),
  });
  await transport.start();
  return transport;
}

async function runExchanges(
  client: ConnectPeerTransport,
  address: PeerAddress,
  concurrency: number,
  count: number,
): Promise<number[]> {
  const latencies: number[] = [];
  const value = create(FetchConfigSchema, {});
  let remaining = count;
  const work = async () => {
    while (remaining-- > 0) {
      const startMs = performance.now();
      await client.ask(address, {case: 'fetchConfig', value}, askOptions);
      latencies.push(performance.now() - startMs);
    }
  };
  await Promise.all(Array.from({length: concurrency}, work));
  return latencies;
}

function getQuantile(sorted: readonly number[], quantile: number): number {
  return sorted[Math.floor(sorted.length * quantile)] ?? Number.NaN;
}
