/** Runs as comma-separated values. */
import type {ExperimentResult} from '../experiments/run_experiment.js';

/**
 * Gets the runs as CSV with a header line.
 * @param result - The runs.
 */
export function toCsv({rows}: ExperimentResult): string {
  const [first] = rows;
  if (first === undefined) return '';
  const names = Object.keys(first) as Array<keyof typeof first>;
  const lines = rows.map((row) => names.map((name) => row[name]).join(','));
  return `${[names.join(','), ...lines].join('\n')}\n`;
}
