/** The error class that every package throws. */
import verror from 'verror';
import {errorDefinitions, type ErrorKind, type Outcome} from './error_kind.js';

/** Optional details of a new error. */
export interface MarigoldpostErrorOptions {
  /** The lower-level error that led to this one. */
  readonly cause?: Error;
  /** Whether the request took effect; by default the outcome of the kind. */
  readonly outcome?: Outcome;
  /** Delay before the caller should retry, in milliseconds. */
  readonly retryAfterMs?: number;
  /** Counts that decided, for log lines. */
  readonly counts?: Readonly<Record<string, number>>;
}

/** An error with a kind from the closed set and the request's outcome. */
export class MarigoldpostError extends verror.VError {
  readonly kind: ErrorKind;
  readonly outcome: Outcome;
  readonly retryAfterMs: number | undefined;
  /** Counts that decided, for log lines; empty without any. */
  readonly counts: Readonly<Record<string, number>>;

  private constructor(
    kind: ErrorKind,
    message: string,
    options: MarigoldpostErrorOptions,
  ) {
    super({name: 'MarigoldpostError', cause: options.cause}, '%s', message);
    this.kind = kind;
    this.outcome = options.outcome ?? errorDefinitions[kind].outcome;
    this.retryAfterMs = options.retryAfterMs;
    this.counts = options.counts ?? {};
  }

  /**
   * Creates an error.
   * @param kind - Decides the HTTP status and the default outcome.
   * @param message - What failed, and on which object.
   * @param options - Cause, outcome, retry delay and counts.
   */
  static create(
    kind: ErrorKind,
    message: string,
    options: MarigoldpostErrorOptions = {},
  ): MarigoldpostError {
    return new MarigoldpostError(kind, message, options);
  }
}

/**
 * Checks whether a thrown value is an error of one of the given kinds.
 * @param error - The thrown value.
 * @param kinds - Kinds to match; every kind matches when none is given.
 */
export function isErrorOfKind(
  error: unknown,
  ...kinds: ErrorKind[]
): error is MarigoldpostError {
  if (!(error instanceof MarigoldpostError)) return false;
  return kinds.length === 0 || kinds.includes(error.kind);
}

/**
 * Converts any thrown value to a `MarigoldpostError`.
 * @param error - Errors of other classes become `internal` with a cause.
 */
export function toMarigoldpostError(error: unknown): MarigoldpostError {
  if (error instanceof MarigoldpostError) return error;
  const cause = error instanceof Error ? error : new Error(String(error));
  return MarigoldpostError.create('internal', cause.message, {cause});
}
