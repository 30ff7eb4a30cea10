/** Sizes of the measurements for docs/CAPACITY.md. */
import type {DecisionCostOptions} from '../decision_cost/measure_decision_cost.js';
import type {CallLoad} from './call_cost.js';
import type {IdleLoad} from './idle_cost.js';
import type {JournalLoad} from './journal_cost.js';
import type {ProgramLoadSize} from './program_cost.js';

/** Sizes of each measurement; an empty list skips it. */
export interface CapacitySizes {
  readonly decisions: readonly DecisionCostOptions[];
  /** Numbers of daemons for heartbeats over loopback sockets. */
  readonly socketFleets: readonly number[];
  /** Numbers of daemons for heartbeats in memory. */
  readonly memoryFleets: readonly number[];
  /** Duration of each heartbeat measurement, in seconds. */
  readonly controlSeconds: number;
  readonly journals: readonly JournalLoad[];
  readonly programs: readonly ProgramLoadSize[];
  readonly idleFleets: readonly IdleLoad[];
  readonly calls: readonly CallLoad[];
}

const idleSeconds = 20;

/** Sizes of docs/CAPACITY.md; the run takes about three minutes. */
export const pageSizes: CapacitySizes = {
  decisions: [
    {targets: 12, programs: 1_000},
    {targets: 150, programs: 1_000},
    {targets: 1_500, programs: 1_000},
    {targets: 150, programs: 4_800},
    {targets: 1_500, programs: 48_000},
  ],
  socketFleets: [8, 16, 32, 64],
  memoryFleets: [8, 16, 32, 64, 380],
  controlSeconds: 10,
  journals: [
    {callsPerSecond: 1, calls: 200},
    {callsPerSecond: 10, calls: 1_000},
    {callsPerSecond: 100, calls: 4_000},
  ],
  programs: [
    {programs: 1_000, turns: 1},
    {programs: 4_000, turns: 1},
    {programs: 100, turns: 10},
    {programs: 300, turns: 10},
    {programs: 1_000, turns: 4},
  ],
  idleFleets: [2, 4, 8].map((daemons) => ({daemons, seconds: idleSeconds})),
  calls: [
    {calls: 400, tokensPerCall: 1},
    {calls: 400, tokensPerCall: 100},
    {calls: 400, tokensPerCall: 400},
  ],
};
