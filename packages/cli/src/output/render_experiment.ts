/** Renders the results of experiments. */
import type {ComparisonRow, ExperimentRow} from '@marigoldpost/bench';
import {renderTable} from './text_table.js';

type Estimate = ComparisonRow['figures']['meanLatencyMs'];

const msPerSecond = 1000;
const percent = 100;

/**
 * Renders one row for each run.
 * @param rows - Results of the runs.
 */
export function renderRuns(rows: readonly ExperimentRow[]): string {
  const toSeconds = (ms: number) => (ms / msPerSecond).toFixed(1);
  const toPercent = (part: number) => (part * percent).toFixed(1);
  return renderTable(rows, [
    {title: 'WORKLOAD', get: ({workload}) => workload},
    {title: 'POLICY', get: ({policy}) => policy},
    {title: 'LOAD', get: ({load}) => load},
    {title: 'SEED', get: ({seed}) => seed},
    {title: 'PROGRAMS', get: ({programs}) => programs},
    {title: 'DONE %', get: (row) => toPercent(row.doneShare)},
    {title: 'MEAN S', get: (row) => toSeconds(row.meanLatencyMs)},
    {title: 'P95 S', get: (row) => toSeconds(row.p95LatencyMs)},
    {title: 'WASTED %', get: (row) => toPercent(row.wastedShare)},
    {title: 'HITS %', get: (row) => toPercent(row.hitShare)},
  ]);
}

function renderEstimate({mean, halfWidth}: Estimate, scale: number): string {
  return `${(mean * scale).toFixed(1)} ± ${(halfWidth * scale).toFixed(1)}`;
}

/**
 * Renders means over seeds with their 95% confidence intervals.
 * @param rows - Estimates of each combination of workload, policy and load.
 */
export function renderComparison(rows: readonly ComparisonRow[]): string {
  const secondsPerMs = 1 / msPerSecond;
  return renderTable(rows, [
    {title: 'WORKLOAD', get: ({workload}) => workload},
    {title: 'POLICY', get: ({policy}) => policy},
    {title: 'LOAD', get: ({load}) => load},
    {title: 'WEIGHT', get: ({cacheWeight}) => cacheWeight},
    {title: 'SEEDS', get: ({seeds}) => seeds},
    {
      title: 'DONE %',
      get: ({figures}) => renderEstimate(figures.doneShare, percent),
    },
    {
      title: 'MEAN S',
      get: ({figures}) => renderEstimate(figures.meanLatencyMs, secondsPerMs),
    },
    {
      title: 'P95 S',
      get: ({figures}) => renderEstimate(figures.p95LatencyMs, secondsPerMs),
    },
    {
      title: 'WASTED %',
      get: ({figures}) => renderEstimate(figures.wastedShare, percent),
    },
  ]);
}
