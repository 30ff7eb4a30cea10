/** Options and notifications of a partition manager. */
import type {
  Clock,
  DaemonId,
  DataCentreId,
  Epoch,
  PartitionId,
  Random,
} from '@marigoldpost/common';
import type {
  FleetView,
  LeaseRenewer,
  ObjectStore,
  VmList,
} from '@marigoldpost/platform';
import type {OperatorsConfig} from '@marigoldpost/settings';
import type {EventLogger} from '@marigoldpost/telemetry';
import type {LoopLimits} from '../execution/program_manager_types.js';
import type {ProgramManager} from '../execution/program_manager.js';
import type {CopiedRecords, RecordCopier} from '../execution/record_copier.js';
import type {HandoverSender} from './handover_sender.js';

/** Identity, dependencies and limits of a partition manager. */
export interface PartitionManagerOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly daemon: DaemonId;
  readonly dataCentre: DataCentreId;
  readonly fleet: FleetView;
  readonly leases: Pick<LeaseRenewer, 'isHeld'>;
  readonly vmList?: VmList;
  /** Gets the operators' configuration; no partition is claimed without one. */
  readonly getConfig: () => OperatorsConfig | undefined;
  readonly copier?: RecordCopier;
  /** Retains the uncommitted records of a stopped holder for its successor. */
  readonly keepRecords?: KeepRecords;
  readonly handovers?: HandoverSender;
  readonly loopLimits?: LoopLimits;
  /** Logs passes that fail although the platform is available. */
  readonly logger?: EventLogger;
  /** Longest wait of a handover for calls that must not run twice, in ms. */
  readonly drainMs: number;
  /** Duration of a write after which the platform counts as down, in ms. */
  readonly stallMs?: number;
}

/** Retains the uncommitted records of an epoch; must not throw. */
export type KeepRecords = (
  partition: PartitionId,
  epoch: Epoch,
  records: CopiedRecords,
) => void;

/** Reason that a partition is no longer held here. */
export type CloseReason = 'handed_over' | 'lost' | 'stopped';

/** Notified of partitions that are opened and closed here. */
export interface PartitionListener {
  /** A partition was opened; the listener resumes its recovered calls. */
  onOpened(manager: ProgramManager): void;
  /** A partition was removed: it is no longer held here. */
  onClosed(partition: PartitionId, epoch: Epoch, reason: CloseReason): void;
}

/** A partition that is held here, with the epoch of its holder. */
export interface PartitionWithEpoch {
  readonly partition: PartitionId;
  readonly epoch: Epoch;
}
