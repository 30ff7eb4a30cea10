/** Lines that differ between two texts. */
import type * as z from 'zod';
import type {differenceSchema} from '../client/bodies.js';

/**
 * Renders one line that differs, as `+ 3: text`.
 * @param difference - The line.
 */
export function renderDifference(
  difference: z.output<typeof differenceSchema>,
): string {
  const {kind, line, text} = difference;
  return `${kind === 'added' ? '+' : '-'} ${line}: ${text}`;
}
