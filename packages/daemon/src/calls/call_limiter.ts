/** Permits to send a call, under the limits of teams and services. */
import type {Call} from '@marigoldpost/programs';

/** Permit under every limit that applies to a call. */
export interface CallPermit {
  /**
   * Returns the permit.
   * @param completionTokens - Tokens that the call generated.
   */
  release(completionTokens: number): void;
}

/** Acquires permits under every limit that applies to a call. */
export abstract class CallLimiter {
  /**
   * Waits for a permit. Throws `limit_reached`; the call was not run.
   * @param call - Its team and service decide which limits apply.
   * @param signal - Aborted when the call is cancelled.
   */
  abstract acquire(call: Call, signal: AbortSignal): Promise<CallPermit>;
}
