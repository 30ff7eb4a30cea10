/** Figures of experiments. */
import type {ComparisonRow, ExperimentRow} from '@marigoldpost/bench';
import {renderTable} from './text_table.js';

type Estimate = ComparisonRow['figures']['meanLatencyMs'];

const msPerSecond = 1000;
const percent = 100;

/**
 * Renders single runs.
 * @param rows - The runs.
 */
export function renderRuns(rows: readonly ExperimentRow[]): string {
  const seconds = (ms: number) => (ms / msPerSecond).toFixed(1);
  const share = (part: number) => (part * percent).toFixed(1);
  return renderTable(rows, [
    {title: 'WORKLOAD', get: ({workload}) => workload},
    {title: 'POLICY', get: ({policy}) => policy},
    {title: 'LOAD', get: ({load}) => load},
    {title: 'SEED', get: ({seed}) => seed},
    {title: 'PROGRAMS', get: ({programs}) => programs},
    {title: 'DONE %', get: (row) => share(row.doneShare)},
    {title: 'MEAN S', get: (row) => seconds(row.meanLatencyMs)},
    {title: 'P95 S', get: (row) => seconds(row.p95LatencyMs)},
    {title: 'WASTED %', get: (row) => share(row.wastedShare)},
    {title: 'HITS %', get: (row) => share(row.hitShare)},
  ]);
}

function renderEstimate({mean, halfWidth}: Estimate, scale: number): string {
  return `${(mean * scale).toFixed(1)} ± ${(halfWidth * scale).toFixed(1)}`;
}

/**
 * Renders means over seeds with their 95% intervals.
 * @param rows - One row for each combination.
 */
export function renderComparison(rows: readonly ComparisonRow[]): string {
  const seconds = 1 / msPerSecond;
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
      get: ({figures}) => renderEstimate(figures.meanLatencyMs, seconds),
    },
    {
      title: 'P95 S',
      get: ({figures}) => renderEstimate(figures.p95LatencyMs, seconds),
    },
    {
      title: 'WASTED %',
      get: ({figures}) => renderEstimate(figures.wastedShare, percent),
    },
  ]);
}
