/** Notices of what heartbeats bring. */
import type {FleetMember} from '@marigoldpost/platform';
import type {PeerAddress} from '../transport/peer_transport.js';
import type {QuarantineNotice} from './own_state.js';

/** A peer that has a version of the operators' text. */
export interface ConfigNotice {
  readonly peer: PeerAddress;
  readonly version: number;
  /** Start of the text's hash. */
  readonly hash: string;
}

/** Gets notices; each method is optional and must not throw. */
export interface MembershipListener {
  /**
   * A daemon is new or has changed.
   * @param member - The daemon as it is now.
   */
  onMemberChanged?(member: FleetMember): void;

  /**
   * A peer told the version of its operators' text.
   * @param notice - Peer, version and hash.
   */
  onConfigSeen?(notice: ConfigNotice): void;

  /**
   * A peer told of quarantined requests.
   * @param notices - What it told.
   */
  onQuarantinesSeen?(notices: readonly QuarantineNotice[]): void;
}
