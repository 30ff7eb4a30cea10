/** State that a daemon announces in its heartbeats. */
import type {Fingerprint, TargetId} from '@marigoldpost/common';
import type {AnnouncedPartition} from '@marigoldpost/platform';

/** Death of a target while it ran a request. */
export interface AnnouncedTargetDeath {
  readonly target: TargetId;
  /** Wall time at the daemon that detected it, in milliseconds since 1970. */
  readonly atMs: number;
}

/** Quarantine entry of a request during which targets died. */
export interface AnnouncedQuarantine {
  readonly fingerprint: Fingerprint;
  /** Incremented when the suspicion is cleared or lifted. */
  readonly version: number;
  readonly deaths: readonly AnnouncedTargetDeath[];
}

/** State of this daemon, read for each heartbeat. */
export interface OwnState {
  /** Version of the operators' configuration in force; 0 if there is none. */
  readonly configVersion: number;
  readonly configHash: string;
  readonly reachesPlatform: boolean;
  readonly isDraining: boolean;
  readonly partitions: readonly AnnouncedPartition[];
  readonly quarantines: readonly AnnouncedQuarantine[];
}
