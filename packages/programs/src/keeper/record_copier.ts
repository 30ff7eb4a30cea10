/** Copies of records that the platform could not take yet. */
import type {Epoch, PartitionId} from '@marigoldpost/common';

/** Records of one epoch that another daemon keeps. */
export interface CopiedRecords {
  /** Sequence number of the first record. */
  readonly firstSequence: number;
  /** JSON text of each record, in order. */
  readonly records: readonly string[];
}

/** Keeps uncommitted records at one other daemon of the data centre. */
export abstract class RecordCopier {
  /**
   * Copies records. Throws `peer_unavailable` when no daemon took them, and
   * `fenced` when a successor has already taken the epoch's copies.
   * @param partition - Their partition.
   * @param epoch - Epoch that they were made in.
   * @param firstSequence - Sequence number of the first record; copies that
   * start before it and overlap are replaced.
   * @param records - JSON text of each record, in order.
   */
  abstract copyRecords(
    partition: PartitionId,
    epoch: Epoch,
    firstSequence: number,
    records: readonly string[],
  ): Promise<void>;

  /**
   * Gets every copy that the other daemons keep of one epoch, which must have
   * been sealed; from then on they take no more copies of it.
   * @param partition - The partition.
   * @param epoch - The epoch.
   */
  abstract fetchCopies(
    partition: PartitionId,
    epoch: Epoch,
  ): Promise<readonly CopiedRecords[]>;
}
