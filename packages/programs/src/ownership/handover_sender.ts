/** Tells a daemon of a partition that is now its own. */
import type {DaemonId, Epoch, PartitionId} from '@marigoldpost/common';

/** Sends handovers to other daemons. */
export abstract class HandoverSender {
  /**
   * Tells a daemon to open a partition; throws `peer_unavailable` or `peer_lost`.
   * @param to - The daemon.
   * @param partition - The partition.
   * @param epoch - Epoch that the directory gives it.
   */
  abstract sendHandover(
    to: DaemonId,
    partition: PartitionId,
    epoch: Epoch,
  ): Promise<void>;
}
