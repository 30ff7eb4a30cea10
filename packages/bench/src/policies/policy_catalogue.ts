/** Catalogue of the compared policies. */
import {MarigoldpostError} from '@marigoldpost/common';
import {
  ArrivalOrder,
  type CacheIndexOptions,
  ExpectedFinishPlacement,
  NoHold,
  type PlacementPolicy,
  PolicyScheduler,
  type PolicySchedulerOptions,
} from '@marigoldpost/scheduler';
import {benchDataCentre} from '../simulation/run_simulation.js';
import type {
  BenchPolicy,
  SchedulerParts,
} from '../simulation/simulation_options.js';
import {OracleOrder, ShortestPromptOrder} from './baseline_orders.js';
import {
  LeastRequestsPlacement,
  PowerOfTwoPlacement,
  PrefixAffinityPlacement,
  RoundRobinPlacement,
  SessionAffinityPlacement,
} from './baseline_placements.js';
import {OraclePlacement} from './oracle_placement.js';

type Overrides = Omit<
  Partial<PolicySchedulerOptions>,
  'clock' | 'random' | 'dataCentre' | 'cacheWeight'
>;
type GetOverrides = (parts: SchedulerParts) => Overrides;

const unbounded = 1_000_000;
/** Routers without a queue send each request immediately. */
const noWindow = {initial: unbounded, min: unbounded, max: unbounded};
const noRejection = {maxFirstWaitMs: Infinity, maxLaterWaitMs: Infinity};
const loadBound = 1.25;

function createPolicy(
  name: string,
  role: BenchPolicy['role'],
  getOverrides: GetOverrides,
): BenchPolicy {
  return {
    name,
    role,
    createScheduler(parts) {
      const {clock, random, cacheWeight} = parts;
      return PolicyScheduler.create({
        clock,
        random,
        cacheWeight,
        dataCentre: benchDataCentre,
        ...getOverrides(parts),
      });
    },
  };
}

function createRouter(
  name: string,
  getPlacement: (parts: SchedulerParts) => PlacementPolicy,
  cacheIndex?: Partial<CacheIndexOptions>,
): BenchPolicy {
  return createPolicy(name, 'baseline', (parts) => ({
    order: ArrivalOrder.create(),
    placement: getPlacement(parts),
    hold: NoHold.create(),
    window: noWindow,
    admission: noRejection,
    cacheIndex,
  }));
}

function createQueue(
  name: string,
  getOrder: () => PolicySchedulerOptions['order'],
): BenchPolicy {
  return createPolicy(name, 'baseline', () => ({
    order: getOrder(),
    placement: SessionAffinityPlacement.create(loadBound),
    hold: NoHold.create(),
    admission: noRejection,
  }));
}

const eventsOnly = {usesOwnDispatches: false, estimatesEvictions: false};

const policies: readonly BenchPolicy[] = [
  createRouter('round-robin', () => RoundRobinPlacement.create()),
  createRouter('least-requests', ({random}) =>
    LeastRequestsPlacement.create(random),
  ),
  createRouter('power-of-two', ({random}) =>
    PowerOfTwoPlacement.create(random),
  ),
  createRouter('session-affinity', () =>
    SessionAffinityPlacement.create(loadBound),
  ),
  createRouter(
    'prefix-affinity',
    ({random}) => PrefixAffinityPlacement.create(random),
    eventsOnly,
  ),
  createQueue('fcfs', () => ArrivalOrder.create()),
  createQueue('shortest-prompt', () => ShortestPromptOrder.create()),
  createPolicy('marigoldpost', 'own', () => ({})),
  createPolicy('oracle', 'bound', ({oracle, random}) => ({
    order: OracleOrder.create(oracle),
    placement: OraclePlacement.create(
      oracle,
      ExpectedFinishPlacement.create({random, dataCentre: benchDataCentre}),
    ),
  })),
  createPolicy('own-order-fcfs', 'variant', () => ({
    order: ArrivalOrder.create(),
  })),
  createPolicy('own-no-hold', 'variant', () => ({hold: NoHold.create()})),
  createPolicy('own-no-window', 'variant', () => ({window: noWindow})),
  createPolicy('index-dispatches', 'variant', () => ({
    cacheIndex: {usesEvents: false},
  })),
  createPolicy('index-events', 'variant', () => ({
    cacheIndex: {usesOwnDispatches: false},
  })),
  createPolicy('index-no-recency', 'variant', () => ({
    cacheIndex: {estimatesEvictions: false},
  })),
  createPolicy('index-dispatches-no-recency', 'variant', () => ({
    cacheIndex: {usesEvents: false, estimatesEvictions: false},
  })),
];

/** Gets all policies, baselines first. */
export function getPolicies(): readonly BenchPolicy[] {
  return policies;
}

/**
 * Gets a policy; throws `invalid_request` if the name is unknown.
 * @param name - Name on the command line.
 */
export function getPolicyOrThrow(name: string): BenchPolicy {
  const policy = policies.find((known) => known.name === name);
  if (policy !== undefined) return policy;
  const names = policies.map((known) => known.name).join(', ');
  throw MarigoldpostError.create(
    'invalid_request',
    `unknown policy "${name}"; known policies: ${names}`,
  );
}
