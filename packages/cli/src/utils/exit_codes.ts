/** Exit codes of the command line, for scripts. */
import {errorDefinitions, type ErrorKind} from '@marigoldpost/common';

/** Exit code with its meaning as docs/CLI.md states it. */
export interface ExitCode {
  readonly code: number;
  readonly meaning: string;
}

/** All exit codes; docs/CLI.md lists the same ones. */
export const exitCodes = {
  done: {code: 0, meaning: 'Done'},
  failed: {code: 1, meaning: 'Failed for a reason that is not listed here'},
  usage: {code: 2, meaning: 'Wrong command, argument or flag'},
  invalid: {
    code: 3,
    meaning: 'A configuration, setting or request is not valid',
  },
  refused: {code: 4, meaning: 'The key is unknown or lacks permission'},
  missing: {code: 5, meaning: 'The named object does not exist'},
  conflict: {
    code: 6,
    meaning: 'Conflicts with a newer change; nothing was changed',
  },
  unavailable: {code: 7, meaning: 'Not done; a retry may succeed later'},
  unknown: {code: 8, meaning: 'It is not known whether it was done'},
} as const satisfies Record<string, ExitCode>;

const exitCodesByKind: Partial<Record<ErrorKind, ExitCode>> = {
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
 * Gets the exit code for an error kind. Kinds without a code of their own get
 * one by whether the call is retryable and by its outcome.
 * @param kind - Kind of the error that ended the command.
 */
export function getExitCode(kind: ErrorKind): ExitCode {
  const exitCode = exitCodesByKind[kind];
  if (exitCode !== undefined) return exitCode;
  const {isRetryable, outcome} = errorDefinitions[kind];
  if (isRetryable) return exitCodes.unavailable;
  if (kind !== 'internal' && outcome === 'unknown') return exitCodes.unknown;
  return exitCodes.failed;
}
