/** Means and confidence intervals over seeds, and changes against baselines. */
import {type Estimate, getEstimate} from '../utils/statistics.js';
import type {ExperimentResult, ExperimentRow} from './run_experiment.js';

/**
 * Compared figures. Lower is better, except for `hitShare`, `doneShare` and
 * `goodputPerSecond`.
 */
export const comparedFigures = [
  'meanLatencyMs',
  'p95LatencyMs',
  'meanActiveMs',
  'p95ActiveMs',
  'p95ImmediateMs',
  'wastedShare',
  'wastedBlockSeconds',
  'hitShare',
  'doneShare',
  'refusedShare',
  'goodputPerSecond',
] as const;

/** Name of a compared figure. */
export type FigureName = (typeof comparedFigures)[number];

/** Figures of one combination over all seeds. */
export interface ComparisonRow {
  readonly workload: string;
  readonly policy: string;
  readonly role: string;
  readonly load: number;
  readonly cacheWeight: number;
  readonly eventGapRate: number;
  readonly seeds: number;
  readonly figures: Readonly<Record<FigureName, Estimate>>;
}

/** Relative change of a policy against another one, over the same seeds. */
export interface Change {
  readonly against: string;
  /** Mean of (policy - other) / other over the seeds. */
  readonly relative: Estimate;
}

/** Minimum share of completed programs for a policy to count as the best. */
const minDoneShare = 0.95;

/**
 * Groups runs that differ only in their seed.
 * @param result - Runs to group.
 */
export function compareExperiments(
  result: ExperimentResult,
): readonly ComparisonRow[] {
  const groups = new Map<string, ExperimentRow[]>();
  for (const row of result.rows) {
    const {workload, policy, load, cacheWeight, eventGapRate} = row;
    const parts = [workload, policy, load, cacheWeight, eventGapRate];
    const key = parts.join(' ');
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [row]);
    else group.push(row);
  }
  return [...groups.values()].map(toComparison);
}

/**
 * Finds the best baseline of a workload among those that complete at least 95 %
 * of the programs; `undefined` if there is none.
 * @param rows - Rows of one load.
 * @param workload - Name of the workload.
 * @param figure - Figure to minimize.
 */
export function findBestBaseline(
  rows: readonly ComparisonRow[],
  workload: string,
  figure: FigureName,
): ComparisonRow | undefined {
  const baselines = rows.filter(
    (row) =>
      row.workload === workload &&
      row.role === 'baseline' &&
      row.figures.doneShare.mean >= minDoneShare,
  );
  baselines.sort(
    (left, right) => left.figures[figure].mean - right.figures[figure].mean,
  );
  return baselines[0];
}

/**
 * Gets a policy's relative change against another one, paired by seed.
 * @param result - Runs of both policies at one load.
 * @param workload - Name of the workload.
 * @param figure - Figure to compare.
 * @param names - Policy, and the policy that it is compared with.
 */
export function getChange(
  result: ExperimentResult,
  workload: string,
  figure: FigureName,
  names: {readonly policy: string; readonly against: string},
): Change {
  const select = (policy: string) =>
    result.rows.filter(
      (row) => row.workload === workload && row.policy === policy,
    );
  const others = new Map(select(names.against).map((row) => [row.seed, row]));
  const relatives: number[] = [];
  for (const row of select(names.policy)) {
    const other = others.get(row.seed);
    if (other === undefined) continue;
    relatives.push((row[figure] - other[figure]) / other[figure]);
  }
  return {against: names.against, relative: getEstimate(relatives)};
}

function toComparison(rows: readonly ExperimentRow[]): ComparisonRow {
  const first = rows[0] as ExperimentRow;
  const entries = comparedFigures.map((name): [FigureName, Estimate] => [
    name,
    getEstimate(rows.map((row) => row[name])),
  ]);
  return {
    workload: first.workload,
    policy: first.policy,
    role: first.role,
    load: first.load,
    cacheWeight: first.cacheWeight,
    eventGapRate: first.eventGapRate,
    seeds: rows.length,
    figures: Object.fromEntries(entries) as Record<FigureName, Estimate>,
  };
}
