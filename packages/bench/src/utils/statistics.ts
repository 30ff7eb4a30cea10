/** Means, quantiles and confidence intervals. */

/** Mean with the half width of its 95% confidence interval. */
export interface Estimate {
  readonly mean: number;
  readonly halfWidth: number;
}

// Two-sided 95% quantiles of Student's t for 1 to 15 degrees of freedom.
const studentQuantiles = [
  12.71, 4.3, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.2, 2.18, 2.16,
  2.14, 2.13,
];
const normalQuantile = 1.96;

/**
 * Gets the mean; 0 if there are no values.
 * @param values - Values to average.
 */
export function getMean(values: readonly number[]): number {
  if (values.length === 0) return 0;
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/**
 * Gets a quantile; 0 if there are no values.
 * @param values - Values in any order.
 * @param share - Share of the values below the quantile, from 0 to 1.
 */
export function getQuantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  const index = Math.min(sorted.length - 1, Math.floor(sorted.length * share));
  return sorted[index] ?? 0;
}

/**
 * Gets the mean of independent runs with its confidence interval, which is
 * infinite for fewer than 2 runs.
 * @param values - One value per run.
 */
export function getEstimate(values: readonly number[]): Estimate {
  const mean = getMean(values);
  if (values.length < 2) return {mean, halfWidth: Infinity};
  const squares = values.map((value) => (value - mean) ** 2);
  const freedom = values.length - 1;
  const deviation = Math.sqrt((getMean(squares) * values.length) / freedom);
  const quantile = studentQuantiles[freedom - 1] ?? normalQuantile;
  return {mean, halfWidth: (quantile * deviation) / Math.sqrt(values.length)};
}
