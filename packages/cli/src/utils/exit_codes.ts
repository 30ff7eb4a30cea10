/** What the command's exit code tells scripts. */
import {errorAnswers, type ErrorKind} from '@marigoldpost/common';

/** One exit code. */
export interface ExitCode {
  readonly code: number;
  readonly meaning: string;
}

/** Every exit code. */
export const exitCodes = {
  done: {code: 0, meaning: 'Done'},
  failed: {code: 1, meaning: 'Failed for a reason that is not listed here'},
  usage: {code: 2, meaning: 'Wrong command, argument or flag'},
  invalid: {code: 3, meaning: 'A text, setting or request is not valid'},
  refused: {code: 4, meaning: 'The key is unknown, or may not do this'},
  missing: {code: 5, meaning: 'What was named does not exist'},
  conflict: {
    code: 6,
    meaning: 'Another change came first; nothing was changed',
  },
  unavailable: {code: 7, meaning: 'Not done; the same command may work later'},
  unknown: {code: 8, meaning: 'It is not known whether it was done'},
} as const satisfies Record<string, ExitCode>;

const namedKinds: Partial<Record<ErrorKind, ExitCode>> = {
  config_invalid: exitCodes.invalid,
  settings_invalid: exitCodes.invalid,
  invalid_request: exitCodes.invalid,
  too_large: exitCodes.invalid,
  unauthenticated: exitCodes.refused,
  unknown_program: exitCodes.missing,
  unknown_path: exitCodes.missing,
  object_missing: exitCodes.missing,
  config_conflict: exitCodes.conflict,
};

/**
 * Gets the exit code for a kind of error.
 * @param kind - The kind.
 */
export function getExitCode(kind: ErrorKind): ExitCode {
  const named = namedKinds[kind];
  if (named !== undefined) return named;
  const {isRetryable, outcome} = errorAnswers[kind];
  if (isRetryable) return exitCodes.unavailable;
  if (kind !== 'internal' && outcome === 'unknown') return exitCodes.unknown;
  return exitCodes.failed;
}
