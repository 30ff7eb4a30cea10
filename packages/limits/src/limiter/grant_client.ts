/** Connection from a daemon's limiters to the allocators of the limits. */
import type {GrantReply, GrantRequest, GrantReturn} from '@marigoldpost/peers';

/** Sends requests to the allocator of a limit; throws if that fails. */
export abstract class GrantClient {
  /**
   * Requests a grant of a limit.
   * @param request - Holder, wanted amount and amount still held.
   */
  abstract requestGrant(request: GrantRequest): Promise<GrantReply>;

  /**
   * Returns unused units of a grant.
   * @param message - Holder and returned amount.
   */
  abstract returnGrant(message: GrantReturn): Promise<void>;
}
