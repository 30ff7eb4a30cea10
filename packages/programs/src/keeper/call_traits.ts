/** What the text says about repeating a service's requests. */

/** Whether a call may run twice. */
export interface CallTraits {
  /** Whether a request may run twice without harm; true for engines. */
  readonly isIdempotent: boolean;
  /** Whether the service itself runs a key once. */
  readonly deduplicatesByKey: boolean;
}
