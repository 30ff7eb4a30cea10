/** Conversion of numbers to the range of 32-bit fields of messages. */

/** Largest number of a 32-bit field. */
export const maxUint32 = 2 ** 32 - 1;

/**
 * Rounds a number up to a whole one that a 32-bit field can hold: the largest one
 * for a larger number, 0 for a negative one and for none.
 * @param value - Any number.
 */
export function toUint32(value: number): number {
  if (Number.isNaN(value)) return 0;
  return Math.min(maxUint32, Math.max(0, Math.ceil(value)));
}
