/** What a daemon announces about itself. */
import type {Fingerprint} from '@marigoldpost/common';
import type {AnnouncedPartition} from '@marigoldpost/platform';

/** A request that is quarantined, or no longer, over the whole fleet. */
export interface QuarantineNotice {
  readonly fingerprint: Fingerprint;
  readonly reason: string;
  /** Grows with each change of the notice. */
  readonly version: number;
  readonly isLifted: boolean;
}

/** State of the daemon itself, asked for at each heartbeat. */
export interface OwnState {
  /** Version of the operators' text in force; 0 when there is none. */
  readonly configVersion: number;
  readonly configHash: string;
  readonly reachesPlatform: boolean;
  readonly isDraining: boolean;
  readonly partitions: readonly AnnouncedPartition[];
  readonly quarantines: readonly QuarantineNotice[];
}
