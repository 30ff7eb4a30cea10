/** Builds the JSON body that all error responses share. */
import {
  errorDefinitions,
  type ErrorKind,
  type MarigoldpostError,
  type Outcome,
} from '@marigoldpost/common';

/** Retry delay for a retryable error that has none, in milliseconds. */
const defaultRetryAfterMs = 1000;
const msPerSecond = 1000;

/** JSON body of an error response. */
export interface ErrorBody {
  readonly error: {
    readonly kind: ErrorKind;
    readonly message: string;
    readonly outcome: Outcome;
    /** Delay before a retry; null if a retry cannot succeed. */
    readonly retry_after_ms: number | null;
  };
}

/**
 * Gets the delay before a retry, in milliseconds; `undefined` if a retry cannot
 * succeed.
 * @param error - Error to send.
 */
function getRetryAfterMs(error: MarigoldpostError): number | undefined {
  if (error.retryAfterMs !== undefined) return Math.ceil(error.retryAfterMs);
  const {isRetryable} = errorDefinitions[error.kind];
  return isRetryable ? defaultRetryAfterMs : undefined;
}

/**
 * Gets the value of the `Retry-After` header, in whole seconds and at least 1;
 * `undefined` if a retry cannot succeed.
 * @param error - Error to send.
 */
export function toRetryAfterSeconds(
  error: MarigoldpostError,
): number | undefined {
  const retryAfterMs = getRetryAfterMs(error);
  if (retryAfterMs === undefined) return undefined;
  return Math.max(1, Math.ceil(retryAfterMs / msPerSecond));
}

/**
 * Creates the body for an error. The message of an `internal` error may contain
 * anything, so it is logged only and not sent.
 * @param error - Error to send.
 */
export function toErrorBody(error: MarigoldpostError): ErrorBody {
  const {kind, outcome} = error;
  const message = kind === 'internal' ? 'internal error' : error.message;
  const retryAfterMs = getRetryAfterMs(error) ?? null;
  return {error: {kind, message, outcome, retry_after_ms: retryAfterMs}};
}
