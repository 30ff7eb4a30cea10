/** Compares the path through a daemon with direct calls and a bare relay. */
import {type BareRelay, startBareRelay} from './bare_relay.js';
import {
  measureRoute,
  type PathRoundSize,
  type RouteFigures,
} from './measure_route.js';
import {
  callerRequests,
  createRoute,
  type CallRoute,
  targetRequests,
} from './path_requests.js';
import {PathSite} from './path_site.js';
import {getQuantile} from '../utils/statistics.js';

/** Number of rounds, and the load of each. */
export interface PathOptions extends PathRoundSize {
  /** Number of rounds, without the warm-up round that is discarded. */
  readonly rounds: number;
}

/** Figures of one round, in which the routes got the same load in turn. */
export interface PathRound {
  readonly direct: RouteFigures;
  readonly relay: RouteFigures;
  readonly path: RouteFigures;
  /** Median latency of a single write to the platform, in milliseconds. */
  readonly commitP50Ms: number;
  /** Platform writes per plain request, with one request at a time. */
  readonly writesPerRequest: number;
}

/** Size that gives stable medians within about a minute. */
export const defaultPathOptions: PathOptions = {
  rounds: 7,
  requests: 300,
  concurrentRequests: 2000,
  concurrency: 32,
  streams: 20,
  tokensPerStream: 200,
};

interface Routes {
  readonly direct: CallRoute;
  readonly relay: CallRoute;
  readonly path: CallRoute;
}

/**
 * Measures the three routes over loopback sockets. Callers, daemon and
 * stand-ins share one process, so latencies are those of one thread and
 * throughput is that of all components together.
 * @param options - Number of rounds, and the load of each.
 */
export async function measurePath(options: PathOptions): Promise<PathRound[]> {
  const site = await PathSite.start(options.tokensPerStream);
  const relays = [
    await startBareRelay(site.getTargetAddress('plain')),
    await startBareRelay(site.getTargetAddress('engine')),
  ] as const;
  const routes = createRoutes(site, relays);
  try {
    const rounds: PathRound[] = [];
    for (let round = 0; round <= options.rounds; round++) {
      rounds.push(await measureRound(site, routes, options));
    }
    return rounds.slice(1);
  } finally {
    await stopRoutes(routes);
    await Promise.all(relays.map((relay) => relay.stop()));
    await site.stop();
  }
}

function createRoutes(
  site: PathSite,
  [plainRelay, engineRelay]: readonly [BareRelay, BareRelay],
): Routes {
  const {callerAddress} = site;
  return {
    direct: createRoute(
      site.getTargetAddress('plain'),
      site.getTargetAddress('engine'),
      targetRequests,
    ),
    relay: createRoute(plainRelay.address, engineRelay.address, targetRequests),
    path: createRoute(callerAddress, callerAddress, callerRequests),
  };
}

async function stopRoutes({direct, relay, path}: Routes): Promise<void> {
  const routes = [direct, relay, path];
  const pools = routes.flatMap((route) => [route.plainPool, route.enginePool]);
  await Promise.all(pools.map((pool) => pool.destroy()));
}

async function measureRound(
  site: PathSite,
  routes: Routes,
  options: PathOptions,
): Promise<PathRound> {
  const direct = await measureRoute(routes.direct, options);
  const relay = await measureRoute(routes.relay, options);
  const path = await measureRoute(routes.path, options);
  const writesPerRequest = await countWrites(site, routes.path, options);
  const commitP50Ms = await measureCommits(site, options.requests);
  return {direct, relay, path, commitP50Ms, writesPerRequest};
}

async function countWrites(
  site: PathSite,
  route: CallRoute,
  {requests}: PathOptions,
): Promise<number> {
  const before = site.platformWrites;
  await measureRoute(route, {
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

/** Approximate size of one call's journal segment, in bytes. */
const commitBytes = 1500;
