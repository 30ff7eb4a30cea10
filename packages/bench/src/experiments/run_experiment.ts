/** Runs of several policies over workloads, loads and seeds. */
import {getPolicies, getPolicyOrThrow} from '../policies/policy_catalogue.js';
import {runSimulation} from '../simulation/run_simulation.js';
import type {
  SimulationOptions,
  SimulationResult,
} from '../simulation/simulation_options.js';
import {getMean, getQuantile} from '../utils/statistics.js';
import {
  getWorkloadOrThrow,
  getWorkloads,
} from '../workloads/workload_catalogue.js';

/** What to run; absent lists mean everything, or the default. */
export interface ExperimentOptions {
  readonly workloads?: readonly string[];
  readonly policies?: readonly string[];
  /** Offered work over what the engines can do; 0.8 by default. */
  readonly loads?: readonly number[];
  /** Number of seeds, from 1 on; 3 by default. */
  readonly seeds?: number;
  /** Weights between latency and waste; each workload's own by default. */
  readonly cacheWeights?: readonly number[];
  /** Shares of lost cache events; 0.02 by default. */
  readonly eventGapRates?: readonly number[];
  /** Length of the arrivals of a run, in milliseconds. */
  readonly durationMs?: number;
  /** Programs that arrive before this are not counted, in milliseconds. */
  readonly warmUpMs?: number;
}

/** Figures of one run. Times are those of programs that were done. */
export interface ExperimentRow {
  readonly workload: string;
  readonly policy: string;
  readonly role: string;
  readonly load: number;
  readonly seed: number;
  readonly cacheWeight: number;
  readonly eventGapRate: number;
  readonly programs: number;
  /** Programs done, over those that arrived. */
  readonly doneShare: number;
  readonly refusedShare: number;
  /** Programs done a second within the span, whenever they arrived. */
  readonly goodputPerSecond: number;
  readonly meanLatencyMs: number;
  readonly p95LatencyMs: number;
  /** Latency without the programs' own pauses. */
  readonly meanActiveMs: number;
  readonly p95ActiveMs: number;
  /** Of calls in the immediate class; 0 when there are none. */
  readonly p95ImmediateMs: number;
  readonly wastedShare: number;
  readonly wastedBlockSeconds: number;
  readonly hitShare: number;
}

/** Figures of all runs. */
export interface ExperimentResult {
  readonly rows: readonly ExperimentRow[];
}

/** Hears of each run when it is over. */
export type ExperimentListener = (row: ExperimentRow) => void;

const defaultLoad = 0.8;
const defaultSeeds = 3;

/**
 * Runs every combination of the options; equal options give equal results.
 * @param options - What to run.
 * @param listener - Hears of each run.
 */
export function runExperiment(
  options: ExperimentOptions = {},
  listener: ExperimentListener = () => undefined,
): ExperimentResult {
  const rows: ExperimentRow[] = [];
  for (const simulation of getSimulations(options)) {
    const row = toRow(simulation, runSimulation(simulation));
    rows.push(row);
    listener(row);
  }
  return {rows};
}

function getSimulations(options: ExperimentOptions): SimulationOptions[] {
  const workloads =
    options.workloads?.map(getWorkloadOrThrow) ?? getWorkloads();
  const policies = options.policies?.map(getPolicyOrThrow) ?? getPolicies();
  const seeds = Array.from(
    {length: options.seeds ?? defaultSeeds},
    (_unused, index) => index + 1,
  );
  const {durationMs, warmUpMs} = options;
  const combinations: SimulationOptions[] = [];
  for (const workload of workloads) {
    for (const policy of policies) {
      for (const load of options.loads ?? [defaultLoad]) {
        for (const cacheWeight of options.cacheWeights ?? [undefined]) {
          for (const eventGapRate of options.eventGapRates ?? [undefined]) {
            for (const seed of seeds) {
              const common = {workload, policy, load, seed};
              const faults = {cacheWeight, eventGapRate};
              const length = {durationMs, warmUpMs};
              combinations.push({...common, ...faults, ...length});
            }
          }
        }
      }
    }
  }
  return combinations;
}

function toRow(
  options: SimulationOptions,
  result: SimulationResult,
): ExperimentRow {
  const {workload, policy, load, seed} = options;
  const done = result.programs.filter(({outcome}) => outcome === 'done');
  const latencies = done.map(({latencyMs}) => latencyMs);
  const actives = done.map(({activeMs}) => activeMs);
  const immediate = done.filter(({plan}) => plan.callClass === 'immediate');
  const refused = result.programs.filter(({outcome}) => outcome === 'refused');
  const programs = result.programs.length;
  return {
    workload: workload.name,
    policy: policy.name,
    role: policy.role,
    load,
    seed,
    cacheWeight: options.cacheWeight ?? workload.cacheWeight,
    eventGapRate: options.eventGapRate ?? workload.engine.eventGapRate,
    programs,
    doneShare: done.length / Math.max(1, programs),
    refusedShare: refused.length / Math.max(1, programs),
    goodputPerSecond: (result.doneInSpan * 1_000) / result.countedMs,
    meanLatencyMs: getMean(latencies),
    p95LatencyMs: getQuantile(latencies, 0.95),
    meanActiveMs: getMean(actives),
    p95ActiveMs: getQuantile(actives, 0.95),
    p95ImmediateMs: getQuantile(
      immediate.map(({activeMs}) => activeMs),
      0.95,
    ),
    wastedShare: result.wastedShare,
    wastedBlockSeconds: result.wastedBlockSeconds,
    hitShare: result.hitShare,
  };
}
