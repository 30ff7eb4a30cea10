/** Notifications about what heartbeats carry. */
import type {FleetMember} from '@marigoldpost/platform';
import type {PeerAddress} from '../transport/peer_transport.js';
import type {QuarantineEntry} from '@marigoldpost/targets';

/** Version of the operators' configuration that a peer has in force. */
export interface PeerConfigVersion {
  readonly peer: PeerAddress;
  readonly version: number;
  /** Prefix of the configuration's hash. */
  readonly hash: string;
}

/** Receives notifications; each method is optional and must not throw. */
export interface MembershipListener {
  /**
   * Called when a daemon is new or has changed.
   * @param member - Current state of the daemon.
   */
  onMemberChanged?(member: FleetMember): void;

  /**
   * Called when a peer's heartbeat carries its configuration version.
   * @param peerVersion - Peer, version and hash.
   */
  onConfigVersionReceived?(peerVersion: PeerConfigVersion): void;

  /**
   * Called when a peer's heartbeat carries quarantine entries.
   * @param quarantines - Entries in the heartbeat; at least one.
   */
  onQuarantinesReceived?(quarantines: readonly QuarantineEntry[]): void;
}
