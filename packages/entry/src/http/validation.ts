/** Validates untrusted JSON. */
import {MarigoldpostError} from '@marigoldpost/common';
import type * as z from 'zod';

/**
 * Parses a value by a schema. Throws `invalid_request` with the first issues,
 * each with its field.
 * @param schema - Schema that the value must match.
 * @param value - Untrusted value.
 */
export function parseValue<Value>(
  schema: z.ZodType<Value>,
  value: unknown,
): Value {
  const result = schema.safeParse(value);
  if (result.success) return result.data;
  const shown = result.error.issues.slice(0, maxShownIssues).map((issue) => {
    const field = issue.path.join('.');
    return field === '' ? issue.message : `${field}: ${issue.message}`;
  });
  throw MarigoldpostError.create('invalid_request', shown.join('; '));
}

const maxShownIssues = 5;
