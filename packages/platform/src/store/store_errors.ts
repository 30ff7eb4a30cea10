/** Errors of object API calls, by whether the call may have had an effect. */
import {
  isErrorKind,
  MarigoldpostError,
  type ErrorKind,
} from '@marigoldpost/common';
import * as z from 'zod';
import type {HttpResponse} from '../http/http_types.js';

/** Properties of a call that decide the error of its failure. */
export interface FailedStoreCall {
  readonly method: string;
  readonly path: string;
  /** Whether the call may have changed an object. */
  readonly isWrite: boolean;
}

const millisecondsPerSecond = 1000;
const tooManyRequestsStatus = 429;
const unavailableStatus = 503;

/** The platform responds with these statuses only before a write begins. */
const statusesWithoutEffect = [tooManyRequestsStatus, unavailableStatus];

const storeErrorKinds: readonly ErrorKind[] = [
  'object_exists',
  'object_missing',
  'version_conflict',
  'too_large',
  'invalid_request',
];

const errorBodySchema = z.object({
  error: z.object({kind: z.string(), message: z.string()}),
});

/**
 * Creates the error for a response with an error status. The error kind in its
 * body is used if object APIs may return that kind.
 * @param response - Response with an error status.
 * @param call - Call that it responds to.
 */
export function toStoreError(
  response: HttpResponse,
  call: FailedStoreCall,
): MarigoldpostError {
  const storeError = readStoreError(response.body);
  if (storeError !== undefined) return storeError;
  const name = `${call.method} ${call.path}`;
  const message = `object API: status ${response.status} for ${name}`;
  if (statusesWithoutEffect.includes(response.status) || !call.isWrite) {
    const retryAfterMs = readRetryAfterMs(response);
    return MarigoldpostError.create('store_unavailable', message, {
      retryAfterMs,
    });
  }
  return MarigoldpostError.create('store_ambiguous', message);
}

/**
 * Creates the error for a call without a complete and valid response.
 * @param cause - Failure of the request or of parsing.
 * @param call - The failed call; `isWrite` is false for a write never sent.
 */
export function toStoreFailure(
  cause: Error,
  call: FailedStoreCall,
): MarigoldpostError {
  const kind = call.isWrite ? 'store_ambiguous' : 'store_unavailable';
  const message = `object API: no valid response to ${call.method} ${call.path}`;
  return MarigoldpostError.create(kind, message, {cause});
}

function readStoreError(body: string): MarigoldpostError | undefined {
  try {
    const parsed = errorBodySchema.safeParse(JSON.parse(body));
    if (!parsed.success) return undefined;
    const {kind, message} = parsed.data.error;
    if (!isErrorKind(kind) || !storeErrorKinds.includes(kind)) return undefined;
    return MarigoldpostError.create(kind, message);
  } catch {
    return undefined;
  }
}

function readRetryAfterMs(response: HttpResponse): number | undefined {
  const seconds = Number(response.headers['retry-after'] ?? NaN);
  return Number.isFinite(seconds) ? seconds * millisecondsPerSecond : undefined;
}
