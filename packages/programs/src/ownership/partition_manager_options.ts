/** What a partition manager needs and tells. */
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
  LeaseKeeper,
  ObjectStore,
  VmList,
} from '@marigoldpost/platform';
import type {OperatorsConfig} from '@marigoldpost/settings';
import type {EventLogger} from '@marigoldpost/telemetry';
import type {LoopLimits} from '../keeper/keeper_types.js';
import type {ProgramKeeper} from '../keeper/program_keeper.js';
import type {CopiedRecords, RecordCopier} from '../keeper/record_copier.js';
import type {HandoverSender} from './handover_sender.js';

/** Options of a partition manager. */
export interface PartitionManagerOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly daemon: DaemonId;
  readonly dataCentre: DataCentreId;
  readonly fleet: FleetView;
  readonly leases: Pick<LeaseKeeper, 'isHeld'>;
  readonly vmList?: VmList;
  /** Gets the text in force; nothing is claimed until there is one. */
  readonly getConfig: () => OperatorsConfig | undefined;
  readonly copier?: RecordCopier;
  /** Keeps what a holder that stops could not commit, for its successor. */
  readonly keepRecords?: KeepRecords;
  readonly handovers?: HandoverSender;
  readonly loopLimits?: LoopLimits;
  /** Logs passes that failed for another reason than the platform's absence. */
  readonly logger?: EventLogger;
  /** Longest wait of a handover for calls that must not be sent twice. */
  readonly drainMs: number;
  /** Time after which the platform counts as down, in milliseconds. */
  readonly stallMs?: number;
}

/** Keeps uncommitted records of an epoch; must not throw. */
export type KeepRecords = (
  partition: PartitionId,
  epoch: Epoch,
  records: CopiedRecords,
) => void;

/** Why a partition is no longer held here. */
export type CloseReason = 'handed_over' | 'lost' | 'stopped';

/** Told of partitions that are opened and closed here. */
export interface PartitionListener {
  /** A partition is held here now; its recovered calls are to be resumed. */
  onOpened(keeper: ProgramKeeper): void;
  /** A partition is no longer held here. */
  onClosed(partition: PartitionId, epoch: Epoch, reason: CloseReason): void;
}

/** A partition that is held here. */
export interface OwnPartition {
  readonly partition: PartitionId;
  readonly epoch: Epoch;
}
