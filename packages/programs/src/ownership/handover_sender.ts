/** Notification of a daemon that a partition has been handed over to it. */
import type {DaemonId, Epoch, PartitionId} from '@marigoldpost/common';

/** Notifies other daemons of the partitions handed over to them. */
export abstract class HandoverSender {
  /**
   * Tells a daemon to open a partition; throws `peer_unavailable` or
   * `peer_lost`.
   * @param to - New holder.
   * @param partition - Partition that was handed over.
   * @param epoch - Epoch that the partition directory assigned to the new
   * holder.
   */
  abstract sendHandover(
    to: DaemonId,
    partition: PartitionId,
    epoch: Epoch,
  ): Promise<void>;
}
