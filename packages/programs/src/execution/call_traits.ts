/** Repeatability of calls, as the operators' configuration declares it. */

/** Whether requests to a service may run twice. */
export interface CallTraits {
  /** Whether a request may run twice without harm; true for engines. */
  readonly isIdempotent: boolean;
  /** Whether the service runs the requests of one idempotency key only once. */
  readonly deduplicatesByKey: boolean;
}
