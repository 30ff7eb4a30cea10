/** Random distributions with the heavy tails of real programs. */
import type {Random} from '@marigoldpost/common';

/**
 * Draws a log-normal number.
 * @param random - Source of randomness.
 * @param median - Median of the distribution.
 * @param sigma - Standard deviation of the logarithm; 1 gives a heavy tail.
 */
export function drawLogNormal(
  random: Random,
  median: number,
  sigma: number,
): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  const normal = radius * Math.cos(2 * Math.PI * random.next());
  return median * Math.exp(sigma * normal);
}

/**
 * Draws a log-normal number, rounded and clamped to bounds.
 * @param random - Source of randomness.
 * @param median - Median of the distribution.
 * @param sigma - Standard deviation of the logarithm.
 * @param bounds - Minimum and maximum.
 */
export function drawCount(
  random: Random,
  median: number,
  sigma: number,
  [least, most]: readonly [number, number],
): number {
  const value = Math.round(drawLogNormal(random, median, sigma));
  return Math.min(most, Math.max(least, value));
}

/**
 * Draws an exponentially distributed number.
 * @param random - Source of randomness.
 * @param mean - Mean of the distribution.
 */
export function drawExponential(random: Random, mean: number): number {
  return -mean * Math.log(1 - random.next());
}
