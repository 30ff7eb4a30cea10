/** What a daemon announces about itself. */
import type {Fingerprint, TargetId} from '@marigoldpost/common';
import type {AnnouncedPartition} from '@marigoldpost/platform';

/** A target's death in which a request took part. */
export interface QuarantineDeathNotice {
  readonly target: TargetId;
  /** Wall time at the daemon that saw it, in milliseconds since 1970. */
  readonly atMs: number;
}

/** What is known of a request that targets died with. */
export interface QuarantineNotice {
  readonly fingerprint: Fingerprint;
  /** Grows by one when the suspicion is cleared or lifted. */
  readonly version: number;
  readonly deaths: readonly QuarantineDeathNotice[];
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
