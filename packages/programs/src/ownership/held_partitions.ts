/** The keepers of the partitions that are held here. */
import {
  isErrorOfKind,
  type Epoch,
  type PartitionId,
} from '@marigoldpost/common';
import {ProgramKeeper} from '../keeper/program_keeper.js';
import type {
  CloseReason,
  OwnPartition,
  PartitionListener,
  PartitionManagerOptions,
} from './partition_manager_options.js';

/** Opens, keeps and closes keepers, and tells listeners. */
export class HeldPartitions {
  private readonly keepers = new Map<PartitionId, ProgramKeeper>();
  private readonly opening = new Set<PartitionId>();
  private readonly listeners: PartitionListener[] = [];

  private constructor(private readonly options: PartitionManagerOptions) {}

  /**
   * Creates an empty set.
   * @param options - What the keepers need.
   */
  static create(options: PartitionManagerOptions): HeldPartitions {
    return new HeldPartitions(options);
  }

  /**
   * Adds a listener.
   * @param listener - The listener.
   */
  addListener(listener: PartitionListener): void {
    this.listeners.push(listener);
  }

  /**
   * Gets a keeper, or nothing.
   * @param partition - Its partition.
   */
  getKeeper(partition: PartitionId): ProgramKeeper | undefined {
    return this.keepers.get(partition);
  }

  /** Gets the partitions, in order of opening. */
  getPartitions(): OwnPartition[] {
    return [...this.keepers.values()].map((keeper) => {
      const {epoch, partition} = keeper.getStatus();
      return {partition, epoch};
    });
  }

  /**
   * Whether a partition is held here or about to be.
   * @param partition - The partition.
   */
  has(partition: PartitionId): boolean {
    return this.keepers.has(partition) || this.opening.has(partition);
  }

  /** Number of partitions held here or about to be. */
  get size(): number {
    return this.keepers.size + this.opening.size;
  }

  /**
   * Opens a partition whose epoch this daemon has; a failure leaves it closed.
   * @param partition - The partition.
   * @param epoch - The epoch.
   */
  async open(partition: PartitionId, epoch: Epoch): Promise<void> {
    if (this.has(partition)) return;
    this.opening.add(partition);
    try {
      const keeper = await this.createKeeper(partition, epoch);
      this.keepers.set(partition, keeper);
      for (const listener of this.listeners) listener.onOpened(keeper);
    } catch (error) {
      if (!isErrorOfKind(error)) throw error;
    } finally {
      this.opening.delete(partition);
    }
  }

  /**
   * Forgets a keeper that has been closed.
   * @param partition - Its partition.
   * @param reason - Why.
   */
  remove(partition: PartitionId, reason: CloseReason): void {
    const keeper = this.keepers.get(partition);
    if (keeper === undefined) return;
    this.keepers.delete(partition);
    const {epoch} = keeper.getStatus();
    for (const listener of this.listeners) {
      listener.onClosed(partition, epoch, reason);
    }
  }

  /**
   * Stops every keeper at once.
   * @param reason - Why.
   */
  stopAll(reason: CloseReason): void {
    for (const [partition, keeper] of [...this.keepers]) {
      this.retain(keeper);
      this.remove(partition, reason);
    }
  }

  /** Stops a keeper; a successor may still ask for what it did not commit. */
  private retain(keeper: ProgramKeeper): void {
    const {epoch, partition} = keeper.getStatus();
    const records = keeper.surrender();
    if (records.records.length === 0) return;
    this.options.keepRecords?.(partition, epoch, records);
  }

  private createKeeper(
    partition: PartitionId,
    epoch: Epoch,
  ): Promise<ProgramKeeper> {
    const {clock, copier, daemon, getConfig, loopLimits} = this.options;
    const {random, stallMs, store} = this.options;
    return ProgramKeeper.open({
      store,
      clock,
      random,
      partition,
      epoch,
      daemon,
      copier,
      loopLimits,
      stallMs,
      getMaxUncommittedBytes: () => getConfig()?.fleet.maxUncommittedBytes ?? 0,
      onFenced: () => this.remove(partition, 'lost'),
    });
  }
}
