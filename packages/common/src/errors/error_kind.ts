/** The closed set of error kinds and the HTTP response of each. */

/** Whether the request that failed took effect. */
export type Outcome = 'not_run' | 'unknown' | 'ran';

/** How errors of one kind are reported to callers. */
export interface ErrorDefinition {
  /** HTTP status code. */
  readonly status: number;
  /** Outcome reported to the caller unless the error carries its own. */
  readonly outcome: Outcome;
  /** Whether a retry of the same request may succeed. */
  readonly isRetryable: boolean;
}

/** Status, outcome and retryability of each error kind. */
export const errorDefinitions = {
  invalid_request: define(400, 'not_run'),
  idempotency_key_required: define(400, 'not_run'),
  unauthenticated: define(401, 'not_run'),
  team_not_approved: define(403, 'not_run'),
  service_not_allowed: define(403, 'not_run'),
  budget_exceeded: define(403, 'not_run'),
  tokens_spent: define(402, 'not_run'),
  unknown_service: define(404, 'not_run'),
  unknown_model: define(404, 'not_run'),
  unknown_program: define(404, 'not_run'),
  unknown_path: define(404, 'not_run'),
  unknown_turn: define(404, 'not_run'),
  method_not_allowed: define(405, 'not_run'),
  body_timeout: define(408, 'not_run', true),
  program_ended: define(409, 'not_run'),
  config_conflict: define(409, 'not_run'),
  too_large: define(413, 'not_run'),
  idempotency_mismatch: define(422, 'not_run'),
  config_invalid: define(422, 'not_run'),
  quarantined: define(422, 'not_run'),
  limit_reached: define(429, 'not_run', true),
  header_too_large: define(431, 'not_run'),
  cancelled: define(499, 'unknown'),
  internal: define(500, 'unknown'),
  target_failed: define(502, 'unknown'),
  outcome_unknown: define(502, 'unknown'),
  dependency_unavailable: define(503, 'not_run', true),
  no_target: define(503, 'not_run', true),
  overloaded: define(503, 'not_run', true),
  draining: define(503, 'not_run', true),
  platform_unavailable: define(503, 'not_run', true),
  partition_unavailable: define(503, 'not_run', true),
  deadline_exceeded: define(504, 'not_run', true),
  target_timeout: define(504, 'unknown'),
  // The kinds below are internal; callers do not see them.
  not_holder: define(503, 'not_run', true),
  fenced: define(503, 'not_run', true),
  peer_unavailable: define(503, 'not_run', true),
  peer_lost: define(502, 'unknown'),
  object_exists: define(409, 'not_run'),
  object_missing: define(404, 'not_run'),
  version_conflict: define(409, 'not_run'),
  store_unavailable: define(503, 'not_run', true),
  store_ambiguous: define(503, 'unknown'),
  history_gone: define(503, 'not_run', true),
  archive_unavailable: define(503, 'not_run', true),
  settings_invalid: define(422, 'not_run'),
  stream_truncated: define(502, 'unknown'),
} as const satisfies Record<string, ErrorDefinition>;

/** A kind from the closed set. */
export type ErrorKind = keyof typeof errorDefinitions;

function define(
  status: number,
  outcome: Outcome,
  isRetryable = false,
): ErrorDefinition {
  return {status, outcome, isRetryable};
}

/**
 * Checks whether a text is an error kind.
 * @param text - Untrusted text.
 */
export function isErrorKind(text: string): text is ErrorKind {
  return Object.hasOwn(errorDefinitions, text);
}
