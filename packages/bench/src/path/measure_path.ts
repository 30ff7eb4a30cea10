/** What the path costs beside the direct call and a bare relay. */
import {type BareRelay, startBareRelay} from './bare_relay.js';
import {
  measureWay,
  type PathRoundSize,
  type WayFigures,
} from './measure_way.js';
import {
  callerRequests,
  createWay,
  type PathWay,
  targetRequests,
} from './path_requests.js';
import {PathSite} from './path_site.js';
import {getQuantile} from '../utils/statistics.js';

/** Size of a measurement. */
export interface PathOptions extends PathRoundSize {
  /** Rounds after one that warms up and is left out. */
  readonly rounds: number;
}

/** One round, in which each way had the same load in turn. */
export interface PathRound {
  readonly direct: WayFigures;
  readonly relay: WayFigures;
  readonly path: WayFigures;
  /** One write to the platform by itself, in milliseconds. */
  readonly commitP50Ms: number;
  /** Writes to the platform for each plain request, one at a time. */
  readonly writesPerRequest: number;
}

/** Size that gives stable medians in about a minute. */
export const defaultPathOptions: PathOptions = {
  rounds: 7,
  requests: 300,
  concurrentRequests: 2000,
  concurrency: 32,
  streams: 20,
  tokensPerStream: 200,
};

interface Ways {
  readonly direct: PathWay;
  readonly relay: PathWay;
  readonly path: PathWay;
}

/**
 * Measures the three ways over loopback sockets. Callers, daemon and stand-ins
 * share one process, so that latencies are those of one thread, and throughput
 * is that of all parts together.
 * @param options - Size of the measurement.
 */
export async function measurePath(options: PathOptions): Promise<PathRound[]> {
  const site = await PathSite.start(options.tokensPerStream);
  const relays = [
    await startBareRelay(site.getTargetAddress('plain')),
    await startBareRelay(site.getTargetAddress('engine')),
  ] as const;
  const ways = createWays(site, relays);
  try {
    const rounds: PathRound[] = [];
    for (let round = 0; round <= options.rounds; round++) {
      rounds.push(await measureRound(site, ways, options));
    }
    return rounds.slice(1);
  } finally {
    await stopWays(ways);
    await Promise.all(relays.map((relay) => relay.stop()));
    await site.stop();
  }
}

function createWays(
  site: PathSite,
  [plainRelay, engineRelay]: readonly [BareRelay, BareRelay],
): Ways {
  const {callerAddress} = site;
  return {
    direct: createWay(
      site.getTargetAddress('plain'),
      site.getTargetAddress('engine'),
      targetRequests,
    ),
    relay: createWay(plainRelay.address, engineRelay.address, targetRequests),
    path: createWay(callerAddress, callerAddress, callerRequests),
  };
}

async function stopWays({direct, relay, path}: Ways): Promise<void> {
  const ways = [direct, relay, path];
  const pools = ways.flatMap((way) => [way.plainPool, way.enginePool]);
  await Promise.all(pools.map((pool) => pool.destroy()));
}

async function measureRound(
  site: PathSite,
  ways: Ways,
  options: PathOptions,
): Promise<PathRound> {
  const direct = await measureWay(ways.direct, options);
  const relay = await measureWay(ways.relay, options);
  const path = await measureWay(ways.path, options);
  const writesPerRequest = await countWrites(site, ways.path, options);
  const commitP50Ms = await measureCommits(site, options.requests);
  return {direct, relay, path, commitP50Ms, writesPerRequest};
}

async function countWrites(
  site: PathSite,
  way: PathWay,
  {requests}: PathOptions,
): Promise<number> {
  const before = site.platformWrites;
  await measureWay(way, {
    requests,
    concurrentRequests: 1,
    concurrency: 1,
    streams: 0,
    tokensPerStream: 1,
  });
  return (site.platformWrites - before) / (requests + 1);
}

async function measureCommits(site: PathSite, count: number): Promise<number> {
  const latenciesMs: number[] = [];
  const value = 'x'.repeat(commitBytes);
  for (let index = 0; index < count; index++) {
    const key = `bench/${performance.now()}-${index}`;
    const startMs = performance.now();
    await site.store.createObject(key, value);
    latenciesMs.push(performance.now() - startMs);
    await site.store.removeObject(key);
  }
  return getQuantile(latenciesMs, 0.5);
}

/** About the size of one call's journal segment, in bytes. */
const commitBytes = 1500;
