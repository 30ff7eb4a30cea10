/** Replication of records that are not yet durable at the platform. */
import type {Epoch, PartitionId} from '@marigoldpost/common';

/** Consecutive records of one epoch that another daemon has copies of. */
export interface CopiedRecords {
  /** Sequence number of the first record. */
  readonly firstSequence: number;
  /** JSON text of each record, in order. */
  readonly records: readonly string[];
}

/** Copies uncommitted records to another daemon of the data centre. */
export abstract class RecordCopier {
  /**
   * Copies records. Throws `peer_unavailable` when no daemon accepts them, and
   * `fenced` when a successor has already fetched the epoch's copies.
   * @param partition - Partition of the records.
   * @param epoch - Epoch in which the records were added.
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
   * Gets all copies that other daemons have of one epoch, which must have been
   * sealed. Afterwards they reject further copies of that epoch.
   * @param partition - Partition that is being recovered.
   * @param epoch - Sealed epoch whose copies are fetched.
   */
  abstract fetchCopies(
    partition: PartitionId,
    epoch: Epoch,
  ): Promise<readonly CopiedRecords[]>;
}
