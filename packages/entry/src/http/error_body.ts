/** The one JSON shape of refusals and failures. */
import {
  errorAnswers,
  type ErrorKind,
  type MarigoldpostError,
  type Outcome,
} from '@marigoldpost/common';

/** Wait told for a retryable error that carries none, in milliseconds. */
const defaultRetryAfterMs = 1000;
const msPerSecond = 1000;

/** Body of a refusal or failure. */
export interface ErrorBody {
  readonly error: {
    readonly kind: ErrorKind;
    readonly message: string;
    readonly outcome: Outcome;
    /** When to try again; null when trying again is of no use. */
    readonly retry_after_ms: number | null;
  };
}

/**
 * Gets when to try again, in milliseconds, or nothing.
 * @param error - The error.
 */
function getRetryAfterMs(error: MarigoldpostError): number | undefined {
  if (error.retryAfterMs !== undefined) return Math.ceil(error.retryAfterMs);
  const {isRetryable} = errorAnswers[error.kind];
  return isRetryable ? defaultRetryAfterMs : undefined;
}

/**
 * Gets the value of a `Retry-After` header, or nothing.
 * @param error - The error.
 */
export function toRetryAfterSeconds(
  error: MarigoldpostError,
): number | undefined {
  const retryAfterMs = getRetryAfterMs(error);
  if (retryAfterMs === undefined) return undefined;
  return Math.max(1, Math.ceil(retryAfterMs / msPerSecond));
}

/**
 * Gets the body for an error. The message of an `internal` error stays in the
 * log, since it may carry anything.
 * @param error - The error.
 */
export function toErrorBody(error: MarigoldpostError): ErrorBody {
  const {kind, outcome} = error;
  const message = kind === 'internal' ? 'internal error' : error.message;
  const retryAfterMs = getRetryAfterMs(error) ?? null;
  return {error: {kind, message, outcome, retry_after_ms: retryAfterMs}};
}
