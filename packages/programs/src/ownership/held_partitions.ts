/** Program managers of the partitions that this daemon holds. */
import {
  isErrorOfKind,
  type Epoch,
  type PartitionId,
} from '@marigoldpost/common';
import {ProgramManager} from '../execution/program_manager.js';
import type {
  CloseReason,
  PartitionWithEpoch,
  PartitionListener,
  PartitionManagerOptions,
} from './partition_manager_options.js';

/** Opens and stops the program managers, and notifies listeners. */
export class HeldPartitions {
  private readonly managers = new Map<PartitionId, ProgramManager>();
  private readonly opening = new Set<PartitionId>();
  private readonly listeners: PartitionListener[] = [];

  private constructor(private readonly options: PartitionManagerOptions) {}

  /**
   * Creates an instance without partitions.
   * @param options - Dependencies of the program managers.
   */
  static create(options: PartitionManagerOptions): HeldPartitions {
    return new HeldPartitions(options);
  }

  /**
   * Adds a listener.
   * @param listener - Notified of partitions that are opened or closed later.
   */
  addListener(listener: PartitionListener): void {
    this.listeners.push(listener);
  }

  /**
   * Gets the program manager of a partition, or undefined when it is not open.
   * @param partition - Partition id.
   */
  getProgramManager(partition: PartitionId): ProgramManager | undefined {
    return this.managers.get(partition);
  }

  /** Gets the open partitions with their epochs, in order of opening. */
  getPartitions(): PartitionWithEpoch[] {
    return [...this.managers.values()].map((manager) => {
      const {epoch, partition} = manager.getStatus();
      return {partition, epoch};
    });
  }

  /**
   * Whether a partition is open or being opened here.
   * @param partition - Partition id.
   */
  has(partition: PartitionId): boolean {
    return this.managers.has(partition) || this.opening.has(partition);
  }

  /** Number of partitions that are open or being opened here. */
  get size(): number {
    return this.managers.size + this.opening.size;
  }

  /**
   * Opens a partition whose epoch this daemon has claimed. When the opening
   * fails with a known error, the partition remains closed.
   * @param partition - Partition id.
   * @param epoch - Epoch assigned to this daemon.
   */
  async open(partition: PartitionId, epoch: Epoch): Promise<void> {
    if (this.has(partition)) return;
    this.opening.add(partition);
    try {
      const manager = await this.openProgramManager(partition, epoch);
      this.managers.set(partition, manager);
      for (const listener of this.listeners) listener.onOpened(manager);
    } catch (error) {
      if (!isErrorOfKind(error)) throw error;
    } finally {
      this.opening.delete(partition);
    }
  }

  /**
   * Removes a partition whose program manager has stopped, and notifies
   * listeners.
   * @param partition - Partition id.
   * @param reason - Reason that listeners receive.
   */
  remove(partition: PartitionId, reason: CloseReason): void {
    const manager = this.managers.get(partition);
    if (manager === undefined) return;
    this.managers.delete(partition);
    const {epoch} = manager.getStatus();
    for (const listener of this.listeners) {
      listener.onClosed(partition, epoch, reason);
    }
  }

  /**
   * Stops all program managers immediately.
   * @param reason - Reason that listeners receive.
   */
  stopAll(reason: CloseReason): void {
    for (const [partition, manager] of [...this.managers]) {
      this.stopAndKeepRecords(manager);
      this.remove(partition, reason);
    }
  }

  /**
   * Stops a program manager and retains its uncommitted records, since a
   * successor may still request them.
   */
  private stopAndKeepRecords(manager: ProgramManager): void {
    const {epoch, partition} = manager.getStatus();
    const records = manager.stopAndGetUncommitted();
    if (records.records.length === 0) return;
    this.options.keepRecords?.(partition, epoch, records);
  }

  private openProgramManager(
    partition: PartitionId,
    epoch: Epoch,
  ): Promise<ProgramManager> {
    const {clock, copier, daemon, getConfig, loopLimits} = this.options;
    const {random, stallMs, store} = this.options;
    return ProgramManager.open({
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
