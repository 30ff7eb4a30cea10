/** State that a daemon announces in its heartbeats. */
import type {AnnouncedPartition} from '@marigoldpost/platform';
import type {QuarantineEntry} from '@marigoldpost/targets';

/** State of this daemon, read for each heartbeat. */
export interface OwnState {
  /** Version of the operators' configuration in force; 0 if there is none. */
  readonly configVersion: number;
  readonly configHash: string;
  readonly reachesPlatform: boolean;
  readonly isDraining: boolean;
  readonly partitions: readonly AnnouncedPartition[];
  readonly quarantines: readonly QuarantineEntry[];
}
