/** Where partitions are. */
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

/** Options of a locator. */
export interface PartitionLocatorOptions {
  readonly dataCentre: DataCentreId;
  readonly manager: PartitionManager;
  readonly fleet: FleetView;
  readonly random: Random;
  /** Gets the text in force; nothing until one is known. */
  readonly getConfig: () => OperatorsConfig | undefined;
}

/** Finds partitions and their holders. */
export class PartitionLocator {
  private constructor(private readonly options: PartitionLocatorOptions) {}

  /**
   * Creates a locator.
   * @param options - What is known of partitions.
   */
  static create(options: PartitionLocatorOptions): PartitionLocator {
    return new PartitionLocator(options);
  }

  /** Gets every partition of the fleet. */
  getAllPartitions(): readonly PartitionId[] {
    const config = this.getConfigOrThrow();
    return [...config.dataCentres.keys()].flatMap((dataCentre) =>
      getPartitionsOf(dataCentre, config.fleet.partitionsPerDataCentre),
    );
  }

  /** Gets the partitions of one data centre. */
  getOwnPartitions(): readonly PartitionId[] {
    const {fleet} = this.getConfigOrThrow();
    return getPartitionsOf(
      this.options.dataCentre,
      fleet.partitionsPerDataCentre,
    );
  }

  /**
   * Gets the peer that holds a partition; throws `partition_unavailable`.
   * @param partition - The partition.
   */
  getHolderOrThrow(partition: PartitionId): FleetMember {
    const holder = this.options.fleet.getHolder(partition);
    if (holder !== undefined && holder.state !== 'dead') return holder;
    throw createUnavailableError(partition);
  }

  /**
   * Chooses where a new program is born: here if any partition is held here,
   * else at a daemon of the same data centre.
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
    const message = "no operators' text is in force on this daemon yet";
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
