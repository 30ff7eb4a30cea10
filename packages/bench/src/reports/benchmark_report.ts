/**
 * Runs the experiments of the committed report; writes its tables and plots.
 */
import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {compareExperiments} from '../experiments/compare_experiments.js';
import {plotExperiment} from '../experiments/plot_experiment.js';
import {
  type ExperimentListener,
  type ExperimentOptions,
  type ExperimentResult,
  runExperiment,
} from '../experiments/run_experiment.js';
import {renderBenchmarks} from './benchmark_page.js';
import {toCsv} from './csv.js';

/** Number of seeds of the report's experiments. */
export interface BenchmarkReportOptions {
  /** Number of seeds of the main experiment, at load 0.8. */
  readonly mainSeeds: number;
  /** Number of seeds of the other experiments. */
  readonly otherSeeds: number;
}

/** Options of the committed report. */
export const benchmarkReportOptions: BenchmarkReportOptions = {
  mainSeeds: 10,
  otherSeeds: 2,
};

/** Results of the report's experiments; the keys name the data files. */
export interface BenchmarkResults {
  readonly main: ExperimentResult;
  readonly sweep: ExperimentResult;
  readonly variants: ExperimentResult;
  readonly gaps: ExperimentResult;
  readonly frontier: ExperimentResult;
}

const mainPolicies = [
  'round-robin',
  'least-requests',
  'power-of-two',
  'session-affinity',
  'prefix-affinity',
  'fcfs',
  'shortest-prompt',
  'marigoldpost',
  'oracle',
];
const sweepPolicies = ['session-affinity', 'marigoldpost', 'oracle'];
const variantPolicies = [
  'marigoldpost',
  'own-order-fcfs',
  'own-no-hold',
  'own-no-window',
  'index-dispatches',
  'index-dispatches-no-recency',
  'index-events',
  'index-no-recency',
];
const gapPolicies = ['index-events', 'index-no-recency', 'marigoldpost'];

/**
 * Runs all experiments of the report.
 * @param options - Numbers of seeds.
 * @param listener - Called after each run.
 */
export function runBenchmarks(
  options: BenchmarkReportOptions,
  listener?: ExperimentListener,
): BenchmarkResults {
  const {mainSeeds, otherSeeds: seeds} = options;
  const run = (experiment: ExperimentOptions) =>
    runExperiment(experiment, listener);
  return {
    main: run({policies: mainPolicies, seeds: mainSeeds}),
    sweep: run({
      policies: sweepPolicies,
      loads: [0.3, 0.6, 1, 1.2, 2],
      seeds,
    }),
    variants: run({policies: variantPolicies, loads: [0.9], seeds}),
    gaps: run({
      workloads: ['waikato'],
      policies: gapPolicies,
      loads: [0.9],
      eventGapRates: [0, 0.1, 0.5],
      seeds,
    }),
    frontier: run({
      policies: ['marigoldpost'],
      cacheWeights: [0, 0.5, 0.85, 0.95, 0.99],
      seeds,
    }),
  };
}

/**
 * Runs the experiments and writes the page, data and plots.
 * @param directory - Path of the `docs` directory.
 * @param listener - Called after each run.
 */
export async function writeBenchmarks(
  directory: string,
  listener?: ExperimentListener,
): Promise<void> {
  const results = runBenchmarks(benchmarkReportOptions, listener);
  const data = join(directory, 'benchmarks');
  mkdirSync(data, {recursive: true});
  for (const [name, result] of Object.entries(results)) {
    const json = JSON.stringify(compareExperiments(result), undefined, 2);
    writeFileSync(join(data, `${name}.json`), `${json}\n`);
    writeFileSync(join(data, `${name}.csv`), toCsv(result));
  }
  const {sweep, frontier} = results;
  const load = await plotExperiment(sweep, 'load');
  writeFileSync(join(data, 'load.svg'), load);
  const curve = await plotExperiment(frontier, 'frontier');
  writeFileSync(join(data, 'frontier.svg'), curve);
  writeFileSync(join(directory, 'BENCHMARKS.md'), renderBenchmarks(results));
}
