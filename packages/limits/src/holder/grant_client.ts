/** Way from a holder of grants to the keeper of the limit. */
import type {GrantReply, GrantRequest, GrantReturn} from '@marigoldpost/peers';

/** Sends messages to whoever keeps a limit; throws when that fails. */
export abstract class GrantClient {
  /**
   * Asks for a share of a limit.
   * @param request - Who wants how much.
   */
  abstract requestGrant(request: GrantRequest): Promise<GrantReply>;

  /**
   * Gives up a share of a limit.
   * @param message - Who gives up how much.
   */
  abstract returnGrant(message: GrantReturn): Promise<void>;
}
