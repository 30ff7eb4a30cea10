/** Keeper side of the limits whose partitions are held here. */
import {
  type Clock,
  type DataCentreId,
  MarigoldpostError,
  type PartitionId,
} from '@marigoldpost/common';
import {
  getKeeperPartition,
  getLimitTerms,
  type LimitId,
  LimitKeeper,
} from '@marigoldpost/limits';
import type {GrantReply, GrantRequest, GrantReturn} from '@marigoldpost/peers';
import type {PartitionManager, ProgramKeeper} from '@marigoldpost/programs';
import type {OperatorsConfig} from '@marigoldpost/settings';

/** Options of a desk. */
export interface LimitDeskOptions {
  readonly clock: Clock;
  readonly dataCentre: DataCentreId;
  readonly manager: PartitionManager;
  /** Gets the text in force; nothing until one is known. */
  readonly getConfig: () => OperatorsConfig | undefined;
}

/** Answers holders with the keeper of the limit's partition. */
export class LimitDesk {
  private readonly keepers = new Map<PartitionId, LimitKeeper>();

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
    const {clock, dataCentre, manager} = this.options;
    const limits = LimitKeeper.create({
      clock,
      getTerms: (limit) => this.getTerms(limit, dataCentre),
      isHolder: () => manager.getKeeper(partition) === keeper,
    });
    this.keepers.set(partition, limits);
  }

  /**
   * Ends the keeping of a partition's limits.
   * @param partition - The partition.
   */
  removePartition(partition: PartitionId): void {
    this.keepers.delete(partition);
  }

  /**
   * Answers a request for a share of a limit; throws `not_holder`.
   * @param request - Who wants how much.
   */
  grant(request: GrantRequest): GrantReply {
    return this.getKeeperOrThrow(request.limit).handleGrantRequest(request);
  }

  /**
   * Takes back a share of a limit; throws `not_holder`.
   * @param returned - Who gives up how much.
   */
  takeBack(returned: GrantReturn): void {
    this.getKeeperOrThrow(returned.limit).handleGrantReturn(returned);
  }

  private getKeeperOrThrow(limit: string): LimitKeeper {
    const count = this.options.getConfig()?.fleet.partitionsPerDataCentre ?? 1;
    const {dataCentre} = this.options;
    const partition = getKeeperPartition(limit as LimitId, dataCentre, count);
    const keeper = this.keepers.get(partition);
    if (keeper !== undefined) return keeper;
    const message = `limit "${limit}" is not kept here`;
    throw MarigoldpostError.create('not_holder', message);
  }

  private getTerms(limit: LimitId, dataCentre: DataCentreId) {
    const config = this.options.getConfig();
    return config && getLimitTerms(config, limit, dataCentre);
  }
}
