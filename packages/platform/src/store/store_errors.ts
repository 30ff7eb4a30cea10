/** Which failures of the object API surely had no effect. */
import {
  isErrorKind,
  MarigoldpostError,
  type ErrorKind,
} from '@marigoldpost/common';
import * as z from 'zod';
import type {HttpAnswer} from '../http/http_types.js';

/** What a failure depends on. */
export interface FailedStoreCall {
  readonly method: string;
  readonly path: string;
  /** Whether the call may have changed something. */
  readonly isWrite: boolean;
}

const millisecondsPerSecond = 1000;
const tooManyRequestsStatus = 429;
const unavailableStatus = 503;

/** The platform answers with these statuses only before a write begins. */
const statusesBeforeWrite = [tooManyRequestsStatus, unavailableStatus];

const kindsOfStore: readonly ErrorKind[] = [
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
 * Gets the error for an answer that is no success.
 * @param answer - The answer.
 * @param call - The call.
 */
export function toStoreError(
  answer: HttpAnswer,
  call: FailedStoreCall,
): MarigoldpostError {
  const refusal = readRefusal(answer.body);
  if (refusal !== undefined) return refusal;
  const name = `${call.method} ${call.path}`;
  const message = `object API answered ${name} with ${answer.status}`;
  if (statusesBeforeWrite.includes(answer.status) || !call.isWrite) {
    const retryAfterMs = readRetryAfterMs(answer);
    return MarigoldpostError.create('store_unavailable', message, {
      retryAfterMs,
    });
  }
  return MarigoldpostError.create('store_ambiguous', message);
}

/**
 * Gets the error for a call without a usable answer.
 * @param cause - What went wrong.
 * @param call - The call; a write that was never sent counts as a read.
 */
export function toStoreFailure(
  cause: Error,
  call: FailedStoreCall,
): MarigoldpostError {
  const kind = call.isWrite ? 'store_ambiguous' : 'store_unavailable';
  const message = `object API gave no answer to ${call.method} ${call.path}`;
  return MarigoldpostError.create(kind, message, {cause});
}

function readRefusal(body: string): MarigoldpostError | undefined {
  try {
    const parsed = errorBodySchema.safeParse(JSON.parse(body));
    if (!parsed.success) return undefined;
    const {kind, message} = parsed.data.error;
    if (!isErrorKind(kind) || !kindsOfStore.includes(kind)) return undefined;
    return MarigoldpostError.create(kind, message);
  } catch {
    return undefined;
  }
}

function readRetryAfterMs(answer: HttpAnswer): number | undefined {
  const seconds = Number(answer.headers['retry-after'] ?? NaN);
  return Number.isFinite(seconds) ? seconds * millisecondsPerSecond : undefined;
}
