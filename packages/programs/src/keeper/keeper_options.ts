/** What a keeper needs. */
import type {
  Clock,
  DaemonId,
  Epoch,
  PartitionId,
  Random,
} from '@marigoldpost/common';
import type {ObjectStore} from '@marigoldpost/platform';
import type {LoopLimits} from './keeper_types.js';
import type {RecordCopier} from './record_copier.js';

/** Options of a keeper. */
export interface ProgramKeeperOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly partition: PartitionId;
  /** Epoch that the directory gives this daemon. */
  readonly epoch: Epoch;
  /** This daemon. */
  readonly daemon: DaemonId;
  /** Gets the bound on what waits for the platform, in bytes. */
  readonly getMaxUncommittedBytes: () => number;
  /** Keeps copies while the platform is down; none without it. */
  readonly copier?: RecordCopier;
  readonly loopLimits?: LoopLimits;
  /** How long an ended program's keys are known, in milliseconds. */
  readonly keyRetentionMs?: number;
  /** Called once when another holder has taken over. */
  readonly onFenced?: () => void;
  /** Time after which the platform counts as down, in milliseconds. */
  readonly stallMs?: number;
}
