/** The one error class of the project. */
import verror from 'verror';
import {errorAnswers, type ErrorKind, type Outcome} from './error_kind.js';

/** Options of a new error. */
export interface MarigoldpostErrorOptions {
  /** The lower-level error that led to this one. */
  readonly cause?: Error;
  /** What is known of the request's effect; the kind's own by default. */
  readonly outcome?: Outcome;
  /** When the caller should try again, in milliseconds from now. */
  readonly retryAfterMs?: number;
}

/** An error with a kind from the closed list and the request's outcome. */
export class MarigoldpostError extends verror.VError {
  readonly kind: ErrorKind;
  readonly outcome: Outcome;
  readonly retryAfterMs: number | undefined;

  private constructor(
    kind: ErrorKind,
    message: string,
    options: MarigoldpostErrorOptions,
  ) {
    super({name: 'MarigoldpostError', cause: options.cause}, '%s', message);
    this.kind = kind;
    this.outcome = options.outcome ?? errorAnswers[kind].outcome;
    this.retryAfterMs = options.retryAfterMs;
  }

  /**
   * Creates an error.
   * @param kind - Kind from the closed list.
   * @param message - What failed, naming the thing.
   * @param options - Cause, outcome and retry hint.
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
 * @param kinds - Kinds to look for; any kind when none is given.
 */
export function isErrorOfKind(
  error: unknown,
  ...kinds: ErrorKind[]
): error is MarigoldpostError {
  if (!(error instanceof MarigoldpostError)) return false;
  return kinds.length === 0 || kinds.includes(error.kind);
}

/**
 * Gets any thrown value as an error of the project.
 * @param error - The thrown value; foreign errors become `internal`.
 */
export function toMarigoldpostError(error: unknown): MarigoldpostError {
  if (error instanceof MarigoldpostError) return error;
  const cause = error instanceof Error ? error : new Error(String(error));
  return MarigoldpostError.create('internal', cause.message, {cause});
}
