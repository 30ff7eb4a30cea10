/** Runs experiments: policies on workloads, loads and seeds. */
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

/** Combinations to run; an absent list means all, or the default. */
export interface ExperimentOptions {
  readonly workloads?: readonly string[];
  readonly policies?: readonly string[];
  /** Ratios of offered work to the engines' capacity; default: 0.8. */
  readonly loads?: readonly number[];
  /** Number of seeds, which count from 1; default: 3. */
  readonly seeds?: number;
  /**
   * Weights between latency and wasted cache; default: that of the workload.
   */
  readonly cacheWeights?: readonly number[];
  /** Fractions of lost cache events; default: 0.02. */
  readonly eventGapRates?: readonly number[];
  /** Duration of the arrivals of a run, in milliseconds; default: 420000. */
  readonly durationMs?: number;
  /** Warm-up, whose arrivals are not counted, in ms; default: 120000. */
  readonly warmUpMs?: number;
}

/** Figures of one run. Latencies are those of completed programs. */
export interface ExperimentRow {
  readonly workload: string;
  readonly policy: string;
  readonly role: string;
  readonly load: number;
  readonly seed: number;
  readonly cacheWeight: number;
  readonly eventGapRate: number;
  readonly programs: number;
  /** Share of the arrived programs that completed. */
  readonly doneShare: number;
  readonly refusedShare: number;
  /** Programs completed per second in the measured interval. */
  readonly goodputPerSecond: number;
  readonly meanLatencyMs: number;
  readonly p95LatencyMs: number;
  /** Latency without the programs' own pauses. */
  readonly meanActiveMs: number;
  readonly p95ActiveMs: number;
  /** Of programs in the immediate class; 0 if there are none. */
  readonly p95ImmediateMs: number;
  readonly wastedShare: number;
  readonly wastedBlockSeconds: number;
  readonly hitShare: number;
}

/** Figures of all runs of an experiment. */
export interface ExperimentResult {
  readonly rows: readonly ExperimentRow[];
}

/** Called after each run. */
export type ExperimentListener = (row: ExperimentRow) => void;

const defaultLoad = 0.8;
const defaultSeeds = 3;

/**
 * Runs every combination of the options; equal options give equal results.
 * @param options - Combinations to run.
 * @param listener - Called after each run.
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
