/** Sends grant requests to the daemon that holds the limit's partition. */
import {
  type DataCentreId,
  MarigoldpostError,
  type PartitionId,
  toId,
} from '@marigoldpost/common';
import {
  GrantClient,
  getAllocatorPartition,
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
import type {LimitGrantHandler} from './limit_grant_handler.js';

const timeoutMs = 1000;

/** Parts of the daemon that a client uses. */
export interface PeerGrantClientOptions {
  readonly dataCentre: DataCentreId;
  readonly manager: PartitionManager;
  readonly locator: PartitionLocator;
  readonly grantHandler: LimitGrantHandler;
  readonly transport: PeerTransport;
}

/** Requests grants from this daemon's handler or from a peer's. */
export class PeerGrantClient extends GrantClient {
  private constructor(private readonly options: PeerGrantClientOptions) {
    super();
  }

  /**
   * Creates a client.
   * @param options - Held partitions, the local handler and the peer transport.
   */
  static create(options: PeerGrantClientOptions): PeerGrantClient {
    return new PeerGrantClient(options);
  }

  override async requestGrant(request: GrantRequest): Promise<GrantReply> {
    const {grantHandler, locator, transport} = this.options;
    const partition = this.getPartition(request.limit);
    if (this.isHeldHere(partition)) return grantHandler.grant(request);
    const reply = await transport.ask(
      locator.getHolderOrThrow(partition),
      {case: 'grantRequest', value: request},
      {timeoutMs},
    );
    if (reply.case === 'grant') return reply.value;
    const message = `a grant request for limit "${request.limit}" got reply "${reply.case ?? 'none'}", expected "grant"`;
    throw MarigoldpostError.create('internal', message);
  }

  override async returnGrant(returned: GrantReturn): Promise<void> {
    const {grantHandler, locator, transport} = this.options;
    const partition = this.getPartition(returned.limit);
    if (this.isHeldHere(partition)) {
      await grantHandler.acceptReturn(returned);
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
    return getAllocatorPartition(toId<LimitId>(limit), dataCentre, count);
  }

  private isHeldHere(partition: PartitionId): boolean {
    return this.options.manager.getProgramManager(partition) !== undefined;
  }
}
