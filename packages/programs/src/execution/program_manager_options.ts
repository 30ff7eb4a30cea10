/** Options for opening a partition and managing its programs. */
import type {
  Clock,
  DaemonId,
  Epoch,
  PartitionId,
  Random,
} from '@marigoldpost/common';
import type {ObjectStore} from '@marigoldpost/platform';
import type {LoopLimits} from './program_manager_types.js';
import type {RecordCopier} from './record_copier.js';

/** Partition, holder, dependencies and limits of a program manager. */
export interface ProgramManagerOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly partition: PartitionId;
  /** Epoch that the partition directory assigned to this daemon. */
  readonly epoch: Epoch;
  /** Daemon that holds the partition: this one. */
  readonly daemon: DaemonId;
  /** Gets the limit on records that are not yet durable, in bytes. */
  readonly getMaxUncommittedBytes: () => number;
  /** Copies records to a peer while the platform is down; optional. */
  readonly copier?: RecordCopier;
  readonly loopLimits?: LoopLimits;
  /** How long an ended program and its keys are retained, in milliseconds. */
  readonly keyRetentionMs?: number;
  /** Called once, when another holder has taken over. */
  readonly onFenced?: () => void;
  /** Duration of a write after which the platform counts as down, in ms. */
  readonly stallMs?: number;
}
