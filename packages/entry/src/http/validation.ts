/** Checks of untrusted JSON and headers. */
import {MarigoldpostError} from '@marigoldpost/common';
import type * as z from 'zod';

/**
 * Gets a value that matches a schema; throws `invalid_request` that names the
 * first fields that do not.
 * @param schema - The schema.
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
