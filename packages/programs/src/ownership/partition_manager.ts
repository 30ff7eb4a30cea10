/** The partitions that one daemon holds. */
import type {DaemonId, Epoch, PartitionId} from '@marigoldpost/common';
import type {ProgramKeeper} from '../keeper/program_keeper.js';

/** Told of partitions that are opened and closed here. */
export interface PartitionListener {
  /** A partition is held here now; its recovered calls are to be resumed. */
  onOpened(keeper: ProgramKeeper): void;
  /** A partition is no longer held here. */
  onClosed(partition: PartitionId, reason: 'handed_over' | 'lost'): void;
}

/** Claims, takes over, balances and hands over partitions. */
export abstract class PartitionManager {
  /** Starts to claim partitions. */
  abstract start(): Promise<void>;

  /** Stops at once, without handing over. */
  abstract stop(): Promise<void>;

  /**
   * Gets the keeper of a partition, if it is held here and open.
   * @param partition - The partition.
   */
  abstract getKeeper(partition: PartitionId): ProgramKeeper | undefined;

  /** Gets the partitions held here, with their epochs. */
  abstract getPartitions(): ReadonlyArray<{
    readonly partition: PartitionId;
    readonly epoch: Epoch;
  }>;

  /**
   * Hands a partition to another daemon, after its journal is flushed.
   * @param partition - The partition.
   * @param to - The daemon, which must be told with the epoch returned.
   */
  abstract handOver(partition: PartitionId, to: DaemonId): Promise<void>;

  /** Hands every partition over, each to the alive daemon that has fewest. */
  abstract handOverAll(): Promise<void>;

  /**
   * Opens a partition that its holder has handed to this daemon.
   * @param partition - The partition.
   * @param epoch - Epoch that the directory gives this daemon.
   */
  abstract acceptHandover(partition: PartitionId, epoch: Epoch): Promise<void>;

  /**
   * Adds a listener.
   * @param listener - The listener.
   */
  abstract addListener(listener: PartitionListener): void;
}
