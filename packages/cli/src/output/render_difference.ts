/** Renders the lines in which two configurations differ. */
import type * as z from 'zod';
import type {differenceSchema} from '../client/response_schemas.js';

/**
 * Renders an added or removed line, as `+ 3: text`.
 * @param difference - Kind, number and text of the line.
 */
export function renderDifference(
  difference: z.output<typeof differenceSchema>,
): string {
  const {kind, line, text} = difference;
  return `${kind === 'added' ? '+' : '-'} ${line}: ${text}`;
}
