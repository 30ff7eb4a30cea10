/** Notifies peers of partitions that are handed over to them. */
import {create} from '@bufbuild/protobuf';
import {
  type DaemonId,
  type Epoch,
  MarigoldpostError,
  type PartitionId,
} from '@marigoldpost/common';
import {HandoverSchema, type PeerTransport} from '@marigoldpost/peers';
import type {FleetView} from '@marigoldpost/platform';
import {HandoverSender} from '@marigoldpost/programs';

const timeoutMs = 3000;

/** The fleet's members, and the transport to them. */
export interface PeerHandoverSenderOptions {
  readonly fleet: FleetView;
  readonly transport: PeerTransport;
}

/** Sends handovers over the peer protocol. */
export class PeerHandoverSender extends HandoverSender {
  private constructor(private readonly options: PeerHandoverSenderOptions) {
    super();
  }

  /**
   * Creates a sender.
   * @param options - The fleet's members, and the transport to them.
   */
  static create(options: PeerHandoverSenderOptions): PeerHandoverSender {
    return new PeerHandoverSender(options);
  }

  override async sendHandover(
    to: DaemonId,
    partition: PartitionId,
    epoch: Epoch,
  ): Promise<void> {
    const peer = this.options.fleet.getMember(to);
    if (peer === undefined) {
      const message = `cannot hand over partition "${partition}": daemon "${to}" is not a known member`;
      throw MarigoldpostError.create('peer_unavailable', message);
    }
    const value = create(HandoverSchema, {partition, epoch: BigInt(epoch)});
    const request = {case: 'handover', value} as const;
    await this.options.transport.ask(peer, request, {timeoutMs});
  }
}
