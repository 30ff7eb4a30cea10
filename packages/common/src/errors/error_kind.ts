/** The closed list of error kinds and the answer each one gets. */

/** Whether the request that failed took effect. */
export type Outcome = 'not_run' | 'unknown' | 'ran';

/** What callers see for one error kind. */
export interface ErrorAnswer {
  /** HTTP status code. */
  readonly status: number;
  /** Outcome told to the caller unless the error carries its own. */
  readonly outcome: Outcome;
  /** Whether the same request may succeed later. */
  readonly isRetryable: boolean;
}

/** The answer for each error kind. */
export const errorAnswers = {
  invalid_request: answer(400, 'not_run'),
  idempotency_key_required: answer(400, 'not_run'),
  unauthenticated: answer(401, 'not_run'),
  team_not_approved: answer(403, 'not_run'),
  service_not_allowed: answer(403, 'not_run'),
  budget_exceeded: answer(403, 'not_run'),
  tokens_spent: answer(402, 'not_run'),
  unknown_service: answer(404, 'not_run'),
  unknown_model: answer(404, 'not_run'),
  unknown_program: answer(404, 'not_run'),
  unknown_path: answer(404, 'not_run'),
  unknown_turn: answer(404, 'not_run'),
  method_not_allowed: answer(405, 'not_run'),
  body_timeout: answer(408, 'not_run', true),
  program_ended: answer(409, 'not_run'),
  config_conflict: answer(409, 'not_run'),
  too_large: answer(413, 'not_run'),
  idempotency_mismatch: answer(422, 'not_run'),
  config_invalid: answer(422, 'not_run'),
  quarantined: answer(422, 'not_run'),
  limit_reached: answer(429, 'not_run', true),
  header_too_large: answer(431, 'not_run'),
  cancelled: answer(499, 'unknown'),
  internal: answer(500, 'unknown'),
  target_failed: answer(502, 'unknown'),
  outcome_unknown: answer(502, 'unknown'),
  dependency_unavailable: answer(503, 'not_run', true),
  no_target: answer(503, 'not_run', true),
  overloaded: answer(503, 'not_run', true),
  draining: answer(503, 'not_run', true),
  platform_unavailable: answer(503, 'not_run', true),
  partition_unavailable: answer(503, 'not_run', true),
  deadline_exceeded: answer(504, 'not_run', true),
  target_timeout: answer(504, 'unknown'),
  // Kinds below stay between the project's own parts.
  not_holder: answer(503, 'not_run', true),
  fenced: answer(503, 'not_run', true),
  peer_unavailable: answer(503, 'not_run', true),
  peer_lost: answer(502, 'unknown'),
  object_exists: answer(409, 'not_run'),
  object_missing: answer(404, 'not_run'),
  version_conflict: answer(409, 'not_run'),
  store_unavailable: answer(503, 'not_run', true),
  store_ambiguous: answer(503, 'unknown'),
  history_gone: answer(503, 'not_run', true),
  archive_unavailable: answer(503, 'not_run', true),
  settings_invalid: answer(422, 'not_run'),
  stream_truncated: answer(502, 'unknown'),
} as const satisfies Record<string, ErrorAnswer>;

/** A kind from the closed list. */
export type ErrorKind = keyof typeof errorAnswers;

function answer(
  status: number,
  outcome: Outcome,
  isRetryable = false,
): ErrorAnswer {
  return {status, outcome, isRetryable};
}

/**
 * Checks whether a text is an error kind.
 * @param text - Untrusted text.
 */
export function isErrorKind(text: string): text is ErrorKind {
  return Object.hasOwn(errorAnswers, text);
}
