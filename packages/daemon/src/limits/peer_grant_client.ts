/** Brings requests for grants to the keepers of limits, here or at a peer. */
import {
  type DataCentreId,
  MarigoldpostError,
  type PartitionId,
  toId,
} from '@marigoldpost/common';
import {
  GrantClient,
  getKeeperPartition,
  type LimitId,
} from '@marigoldpost/limits';
import type {
  GrantReply,
  GrantRequest,
  GrantReturn,
  PeerTransport,
} from '@marigoldpost/peers';
import type {PartitionManager} from '@marigoldpost/programs';
import type {PartitionLocator} from '../calls/partition_locator.js';
import type {LimitDesk} from './limit_desk.js';

const timeoutMs = 1000;

/** Options of a client. */
export interface PeerGrantClientOptions {
  readonly dataCentre: DataCentreId;
  readonly manager: PartitionManager;
  readonly locator: PartitionLocator;
  readonly desk: LimitDesk;
  readonly transport: PeerTransport;
}

/** Client that finds the keeper of each limit. */
export class PeerGrantClient extends GrantClient {
  private constructor(private readonly options: PeerGrantClientOptions) {
    super();
  }

  /**
   * Creates a client.
   * @param options - Partitions and peers.
   */
  static create(options: PeerGrantClientOptions): PeerGrantClient {
    return new PeerGrantClient(options);
  }

  override async requestGrant(request: GrantRequest): Promise<GrantReply> {
    const {desk, locator, transport} = this.options;
    const partition = this.getPartition(request.limit);
    if (this.isHeldHere(partition)) return desk.grant(request);
    const reply = await transport.ask(
      locator.getHolderOrThrow(partition),
      {case: 'grantRequest', value: request},
      {timeoutMs},
    );
    if (reply.case === 'grant') return reply.value;
    const message = `a peer answered a grant request with "${reply.case ?? 'nothing'}"`;
    throw MarigoldpostError.create('internal', message);
  }

  override async returnGrant(returned: GrantReturn): Promise<void> {
    const {desk, locator, transport} = this.options;
    const partition = this.getPartition(returned.limit);
    if (this.isHeldHere(partition)) {
      await desk.takeBack(returned);
      return;
    }
    await transport.ask(
      locator.getHolderOrThrow(partition),
      {case: 'grantReturn', value: returned},
      {timeoutMs},
    );
  }

  private getPartition(limit: string): PartitionId {
    const {dataCentre, locator} = this.options;
    const count = locator.getOwnPartitions().length;
    return getKeeperPartition(toId<LimitId>(limit), dataCentre, count);
  }

  private isHeldHere(partition: PartitionId): boolean {
    return this.options.manager.getKeeper(partition) !== undefined;
  }
}
