/** Converts runs to comma-separated values. */
import type {ExperimentResult} from '../experiments/run_experiment.js';

/**
 * Converts runs to CSV with a header line; empty text if there are no runs.
 * @param result - Runs to convert.
 */
export function toCsv({rows}: ExperimentResult): string {
  const [first] = rows;
  if (first === undefined) return '';
  const names = Object.keys(first) as Array<keyof typeof first>;
  const lines = rows.map((row) => names.map((name) => row[name]).join(','));
  return `${[names.join(','), ...lines].join('\n')}\n`;
}
