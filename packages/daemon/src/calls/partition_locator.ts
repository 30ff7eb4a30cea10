/** Locates partitions and their holders. */
import {
  type DataCentreId,
  getPartitionId,
  MarigoldpostError,
  type PartitionId,
  type Random,
} from '@marigoldpost/common';
import type {FleetMember, FleetView} from '@marigoldpost/platform';
import type {PartitionManager} from '@marigoldpost/programs';
import type {OperatorsConfig} from '@marigoldpost/settings';

const retryAfterMs = 500;

/** Parts of the daemon that a locator uses. */
export interface PartitionLocatorOptions {
  readonly dataCentre: DataCentreId;
  readonly manager: PartitionManager;
  readonly fleet: FleetView;
  readonly random: Random;
  /** Gets the operators' configuration; `undefined` until one is active. */
  readonly getConfig: () => OperatorsConfig | undefined;
}

/** Lists partitions, finds their holders and chooses one for a program. */
export class PartitionLocator {
  private constructor(private readonly options: PartitionLocatorOptions) {}

  /**
   * Creates a locator.
   * @param options - Held partitions, the fleet and the configuration.
   */
  static create(options: PartitionLocatorOptions): PartitionLocator {
    return new PartitionLocator(options);
  }

  /** Gets the partitions of every data centre. */
  getAllPartitions(): readonly PartitionId[] {
    const config = this.getConfigOrThrow();
    return [...config.dataCentres.keys()].flatMap((dataCentre) =>
      getPartitionsOf(dataCentre, config.fleet.partitionsPerDataCentre),
    );
  }

  /** Gets the partitions of the daemon's data centre. */
  getOwnPartitions(): readonly PartitionId[] {
    const {fleet} = this.getConfigOrThrow();
    return getPartitionsOf(
      this.options.dataCentre,
      fleet.partitionsPerDataCentre,
    );
  }

  /**
   * Gets the peer that holds a partition. Throws `partition_unavailable` if no
   * peer announces it, or if that peer is dead.
   * @param partition - A partition that this daemon does not hold.
   */
  getHolderOrThrow(partition: PartitionId): FleetMember {
    const holder = this.options.fleet.getHolder(partition);
    if (holder !== undefined && holder.state !== 'dead') return holder;
    throw createUnavailableError(partition);
  }

  /**
   * Chooses the partition of a new program: one that this daemon holds, if any,
   * else one that another daemon of the same data centre holds. Throws
   * `partition_unavailable` if there is none.
   */
  chooseForNewProgram(): PartitionId {
    const {manager, random} = this.options;
    const held = manager.getPartitions();
    const own = held[random.nextInteger(held.length)];
    if (own !== undefined) return own.partition;
    const candidates = this.getOwnPartitions().filter((partition) =>
      this.hasAliveHolder(partition),
    );
    const chosen = candidates[random.nextInteger(candidates.length)];
    if (chosen !== undefined) return chosen;
    throw createUnavailableError(this.getOwnPartitions()[0]);
  }

  private hasAliveHolder(partition: PartitionId): boolean {
    return this.options.fleet.getHolder(partition)?.state === 'alive';
  }

  private getConfigOrThrow(): OperatorsConfig {
    const config = this.options.getConfig();
    if (config !== undefined) return config;
    const message =
      "the daemon has not received the operators' configuration yet";
    throw MarigoldpostError.create('platform_unavailable', message);
  }
}

function getPartitionsOf(
  dataCentre: DataCentreId,
  count: number,
): PartitionId[] {
  return Array.from({length: count}, (_unused, index) =>
    getPartitionId(dataCentre, index),
  );
}

function createUnavailableError(
  partition: PartitionId | undefined,
): MarigoldpostError {
  const message = `partition "${partition ?? 'any'}" has no reachable holder at the moment`;
  return MarigoldpostError.create('partition_unavailable', message, {
    retryAfterMs,
  });
}
