/** Copies uncommitted records to a peer of the same data centre. */
import {create} from '@bufbuild/protobuf';
import {
  type DataCentreId,
  type Epoch,
  isErrorOfKind,
  MarigoldpostError,
  type PartitionId,
} from '@marigoldpost/common';
import {
  CopyRecordsSchema,
  FetchCopiesSchema,
  type PeerTransport,
} from '@marigoldpost/peers';
import type {FleetMember, FleetView} from '@marigoldpost/platform';
import {type CopiedRecords, RecordCopier} from '@marigoldpost/programs';
import type {RecordCopyStore} from './record_copy_store.js';

const timeoutMs = 1000;

/** The fleet, the transport and the local store of copies. */
export interface PeerRecordCopierOptions {
  readonly dataCentre: DataCentreId;
  readonly fleet: FleetView;
  readonly transport: PeerTransport;
  /** Copies that this daemon stores for its peers. */
  readonly copies: RecordCopyStore;
}

/** Copies records over the peer protocol. */
export class PeerRecordCopier extends RecordCopier {
  private constructor(private readonly options: PeerRecordCopierOptions) {
    super();
  }

  /**
   * Creates a copier.
   * @param options - The fleet, the transport and the local store of copies.
   */
  static create(options: PeerRecordCopierOptions): PeerRecordCopier {
    return new PeerRecordCopier(options);
  }

  override async copyRecords(
    partition: PartitionId,
    epoch: Epoch,
    firstSequence: number,
    records: readonly string[],
  ): Promise<void> {
    const value = create(CopyRecordsSchema, {
      partition,
      epoch: BigInt(epoch),
      firstSequence: BigInt(firstSequence),
      recordsJson: [...records],
    });
    const peers = this.getPeers().filter(canStoreCopies);
    for (const peer of peers) {
      if (await this.tryCopy(peer, value)) return;
    }
    const message = `no daemon of data centre "${this.options.dataCentre}" accepted copies of partition "${partition}"`;
    throw MarigoldpostError.create('peer_unavailable', message);
  }

  override async fetchCopies(
    partition: PartitionId,
    epoch: Epoch,
  ): Promise<readonly CopiedRecords[]> {
    const value = create(FetchCopiesSchema, {partition, epoch: BigInt(epoch)});
    const fetches = this.getPeers().map((peer) => this.tryFetch(peer, value));
    const copies = await Promise.all(fetches);
    // The former holder may have sent its copies to this daemon.
    const own = this.options.copies.sealRecords(partition, epoch);
    return [own, ...copies].filter((copied) => copied !== undefined);
  }

  /** Gets peers in a fixed order, so that copies go to the same peer. */
  private getPeers(): FleetMember[] {
    const {fleet, dataCentre} = this.options;
    return fleet
      .getMembers()
      .filter((member) => member.dataCentre === dataCentre)
      .filter(({state}) => state !== 'dead')
      .sort((left, right) => (left.daemon < right.daemon ? -1 : 1));
  }

  private async tryCopy(
    peer: FleetMember,
    value: ReturnType<typeof create<typeof CopyRecordsSchema>>,
  ): Promise<boolean> {
    try {
      const request = {case: 'copyRecords', value} as const;
      await this.options.transport.ask(peer, request, {timeoutMs});
      return true;
    } catch (error) {
      // A successor holds the partition; trying other peers would hide that.
      if (isErrorOfKind(error, 'fenced')) throw error;
      return false;
    }
  }

  private async tryFetch(
    peer: FleetMember,
    value: ReturnType<typeof create<typeof FetchCopiesSchema>>,
  ): Promise<CopiedRecords | undefined> {
    try {
      const request = {case: 'fetchCopies', value} as const;
      const reply = await this.options.transport.ask(peer, request, {
        timeoutMs,
      });
      if (reply.case !== 'copiedRecords') return undefined;
      const {firstSequence, recordsJson} = reply.value;
      if (recordsJson.length === 0) return undefined;
      return {firstSequence: Number(firstSequence), records: recordsJson};
    } catch {
      // The peer is unreachable; other peers may have copies too.
      return undefined;
    }
  }
}

function canStoreCopies({state, isDraining}: FleetMember): boolean {
  return state === 'alive' && !isDraining;
}
