/** Keeper side of the limits whose partitions are held here. */
import {
  type Clock,
  type DataCentreId,
  MarigoldpostError,
  type PartitionId,
  toId,
} from '@marigoldpost/common';
import {
  getKeeperPartition,
  getLimitTerms,
  type LimitId,
  LimitKeeper,
} from '@marigoldpost/limits';
import type {GrantReply, GrantRequest, GrantReturn} from '@marigoldpost/peers';
import type {
  GrantNote,
  PartitionManager,
  ProgramKeeper,
} from '@marigoldpost/programs';
import type {OperatorsConfig} from '@marigoldpost/settings';

/** Options of a desk. */
export interface LimitDeskOptions {
  readonly clock: Clock;
  readonly dataCentre: DataCentreId;
  readonly manager: PartitionManager;
  /** Gets the text in force; nothing until one is known. */
  readonly getConfig: () => OperatorsConfig | undefined;
}

/** Fractions of a limit in which bounds are noted, so that few are written. */
const noteSteps = 16;

/** A partition and the limits that it keeps. */
interface KeptLimits {
  readonly keeper: ProgramKeeper;
  readonly limits: LimitKeeper;
}

/** Answers holders with the keeper of the limit's partition. */
export class LimitDesk {
  private readonly kept = new Map<PartitionId, KeptLimits>();

  private constructor(private readonly options: LimitDeskOptions) {}

  /**
   * Creates a desk without partitions.
   * @param options - Clock, partitions and limits.
   */
  static create(options: LimitDeskOptions): LimitDesk {
    return new LimitDesk(options);
  }

  /**
   * Starts to keep the limits of a partition.
   * @param keeper - The partition's keeper, just opened.
   */
  addPartition(keeper: ProgramKeeper): void {
    const {partition} = keeper.getStatus();
    const {clock, manager} = this.options;
    const limits = LimitKeeper.create({
      clock,
      getTerms: (limit) => this.getTerms(limit),
      isHolder: () => manager.getKeeper(partition) === keeper,
      formerGrants: keeper.getGrantNotes(),
    });
    this.kept.set(partition, {keeper, limits});
  }

  /**
   * Ends the keeping of a partition's limits.
   * @param partition - The partition.
   */
  removePartition(partition: PartitionId): void {
    this.kept.delete(partition);
  }

  /**
   * Answers a request for a share of a limit. A successor must know of every
   * grant, so a higher bound is noted before the answer. Throws `not_holder`.
   * @param request - Who wants how much.
   */
  async grant(request: GrantRequest): Promise<GrantReply> {
    const kept = this.getKeptOrThrow(request.limit);
    const reply = kept.limits.handleGrantRequest(request);
    await this.noteBound(kept, request);
    await this.removeLapsed(kept, request.limit);
    return reply;
  }

  /**
   * Takes back a share of a limit; throws `not_holder`.
   * @param returned - Who gives up how much.
   */
  async takeBack(returned: GrantReturn): Promise<void> {
    const kept = this.getKeptOrThrow(returned.limit);
    kept.limits.handleGrantReturn(returned);
    await this.noteBound(kept, returned);
  }

  private async noteBound(
    {keeper, limits}: KeptLimits,
    {limit, holder}: Pick<GrantNote, 'limit' | 'holder'>,
  ): Promise<void> {
    const id = toId<LimitId>(limit);
    const step = (this.getTerms(id)?.amount ?? 0) / noteSteps;
    const units = limits.getHolderOutstanding(id, holder);
    const amount = step > 0 ? Math.ceil(units / step) * step : units;
    const noted = keeper
      .getGrantNotes()
      .find((note) => note.limit === limit && note.holder === holder);
    if (amount === (noted?.amount ?? 0)) return;
    await keeper.noteGrant({limit, holder, amount});
  }

  /** Forgets holders whose grants, also a predecessor's, are over. */
  private async removeLapsed(
    {keeper, limits}: KeptLimits,
    limit: string,
  ): Promise<void> {
    for (const note of keeper.getGrantNotes()) {
      if (note.limit !== limit) continue;
      const id = toId<LimitId>(limit);
      if (limits.getHolderOutstanding(id, note.holder) > 0) continue;
      await keeper.noteGrant({limit, holder: note.holder, amount: 0});
    }
  }

  private getKeptOrThrow(limit: string): KeptLimits {
    const count = this.options.getConfig()?.fleet.partitionsPerDataCentre ?? 1;
    const {dataCentre} = this.options;
    const partition = getKeeperPartition(
      toId<LimitId>(limit),
      dataCentre,
      count,
    );
    const kept = this.kept.get(partition);
    if (kept !== undefined) return kept;
    const message = `limit "${limit}" is not kept here`;
    throw MarigoldpostError.create('not_holder', message);
  }

  private getTerms(limit: LimitId) {
    const {dataCentre} = this.options;
    const config = this.options.getConfig();
    return config && getLimitTerms(config, limit, dataCentre);
  }
}
