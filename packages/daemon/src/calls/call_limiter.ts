/** Permission to send a call, from the limits of owners. */
import type {Call} from '@marigoldpost/programs';

/** One use of every limit that a call falls under. */
export interface CallPermit {
  /**
   * Gives the permission back.
   * @param completionTokens - Tokens that the call generated.
   */
  release(completionTokens: number): void;
}

/** Asks the keepers of the limits that a call falls under. */
export abstract class CallLimiter {
  /**
   * Waits for permission. Throws `limit_reached`; the call was not run.
   * @param call - The call.
   * @param signal - Gives the call up.
   */
  abstract acquire(call: Call, signal: AbortSignal): Promise<CallPermit>;
}
