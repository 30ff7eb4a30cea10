/** Random quantities with the tails that real programs show. */
import type {Random} from '@marigoldpost/common';

/**
 * Gets a log-normal number.
 * @param random - Source of randomness.
 * @param median - Half of the numbers are smaller.
 * @param sigma - Width of the logarithm; 1 has a heavy tail.
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
 * Gets a whole log-normal number within bounds.
 * @param random - Source of randomness.
 * @param median - Half of the numbers are smaller.
 * @param sigma - Width of the logarithm.
 * @param bounds - Least and greatest number.
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
 * Gets an exponential number.
 * @param random - Source of randomness.
 * @param mean - Its mean.
 */
export function drawExponential(random: Random, mean: number): number {
  return -mean * Math.log(1 - random.next());
}
