/** Handles grant requests for limits whose partitions this daemon holds. */
import {
  type Clock,
  type DataCentreId,
  MarigoldpostError,
  type PartitionId,
  toId,
} from '@marigoldpost/common';
import {
  getAllocatorPartition,
  getLimitTerms,
  type LimitId,
  LimitAllocator,
} from '@marigoldpost/limits';
import type {GrantReply, GrantRequest, GrantReturn} from '@marigoldpost/peers';
import type {
  GrantBound,
  PartitionManager,
  ProgramManager,
} from '@marigoldpost/programs';
import type {OperatorsConfig} from '@marigoldpost/settings';

/** Parts of the daemon that a handler uses. */
export interface LimitGrantHandlerOptions {
  readonly clock: Clock;
  readonly dataCentre: DataCentreId;
  readonly manager: PartitionManager;
  /** Gets the operators' configuration; `undefined` until one is active. */
  readonly getConfig: () => OperatorsConfig | undefined;
}

/**
 * Steps per limit to which recorded bounds are rounded up; coarse steps keep
 * journal writes rare.
 */
const boundSteps = 16;

/** Program manager of a held partition, and the allocator of its limits. */
interface PartitionLimits {
  readonly programManager: ProgramManager;
  readonly limits: LimitAllocator;
}

/** Grants shares of limits, and records them in the limit's partition. */
export class LimitGrantHandler {
  private readonly limitsByPartition = new Map<PartitionId, PartitionLimits>();

  private constructor(private readonly options: LimitGrantHandlerOptions) {}

  /**
   * Creates a handler without partitions.
   * @param options - Clock, held partitions and configuration.
   */
  static create(options: LimitGrantHandlerOptions): LimitGrantHandler {
    return new LimitGrantHandler(options);
  }

  /**
   * Starts to allocate the limits of a partition.
   * @param programManager - Manager of the partition, which was just opened.
   */
  addPartition(programManager: ProgramManager): void {
    const {partition} = programManager.getStatus();
    const {clock, manager} = this.options;
    const limits = LimitAllocator.create({
      clock,
      getTerms: (limit) => this.getTerms(limit),
      holdsPartition: () =>
        manager.getProgramManager(partition) === programManager,
      formerGrants: programManager.getGrantBounds(),
    });
    this.limitsByPartition.set(partition, {programManager, limits});
  }

  /**
   * Stops allocating a partition's limits.
   * @param partition - A partition that this daemon no longer holds.
   */
  removePartition(partition: PartitionId): void {
    this.limitsByPartition.delete(partition);
  }

  /**
   * Grants a share of a limit. A successor must know of every grant, so a
   * higher bound is recorded before the reply. Throws `not_holder` if the
   * limit's partition is not held here.
   * @param request - The limit, the requesting holder and the amount.
   */
  async grant(request: GrantRequest): Promise<GrantReply> {
    const partitionLimits = this.getLimitsOrThrow(request.limit);
    const reply = partitionLimits.limits.handleGrantRequest(request);
    await this.recordBound(partitionLimits, request);
    await this.removeEndedBounds(partitionLimits, request.limit);
    return reply;
  }

  /**
   * Accepts a returned share of a limit. Throws `not_holder` if the limit's
   * partition is not held here.
   * @param returned - The limit, the returning holder and the amount.
   */
  async acceptReturn(returned: GrantReturn): Promise<void> {
    const partitionLimits = this.getLimitsOrThrow(returned.limit);
    partitionLimits.limits.handleGrantReturn(returned);
    await this.recordBound(partitionLimits, returned);
  }

  private async recordBound(
    {programManager, limits}: PartitionLimits,
    {limit, holder}: Pick<GrantBound, 'limit' | 'holder'>,
  ): Promise<void> {
    const id = toId<LimitId>(limit);
    const step = (this.getTerms(id)?.amount ?? 0) / boundSteps;
    const units = limits.getHolderOutstanding(id, holder);
    const amount = step > 0 ? Math.ceil(units / step) * step : units;
    const recorded = programManager
      .getGrantBounds()
      .find((note) => note.limit === limit && note.holder === holder);
    if (amount === (recorded?.amount ?? 0)) return;
    await programManager.recordGrantBound({limit, holder, amount});
  }

  /** Removes bounds of holders that have no grant left, a predecessor's too. */
  private async removeEndedBounds(
    {programManager, limits}: PartitionLimits,
    limit: string,
  ): Promise<void> {
    for (const note of programManager.getGrantBounds()) {
      if (note.limit !== limit) continue;
      const id = toId<LimitId>(limit);
      if (limits.getHolderOutstanding(id, note.holder) > 0) continue;
      await programManager.recordGrantBound({
        limit,
        holder: note.holder,
        amount: 0,
      });
    }
  }

  private getLimitsOrThrow(limit: string): PartitionLimits {
    const count = this.options.getConfig()?.fleet.partitionsPerDataCentre ?? 1;
    const {dataCentre} = this.options;
    const partition = getAllocatorPartition(
      toId<LimitId>(limit),
      dataCentre,
      count,
    );
    const partitionLimits = this.limitsByPartition.get(partition);
    if (partitionLimits !== undefined) return partitionLimits;
    const message = `limit "${limit}" belongs to partition "${partition}", which this daemon does not hold`;
    throw MarigoldpostError.create('not_holder', message);
  }

  private getTerms(limit: LimitId) {
    const {dataCentre} = this.options;
    const config = this.options.getConfig();
    return config && getLimitTerms(config, limit, dataCentre);
  }
}
