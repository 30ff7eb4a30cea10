/** Handles the requests of peers. */
import {create} from '@bufbuild/protobuf';
import {
  type DaemonId,
  MarigoldpostError,
  type PartitionId,
  toEpoch,
  toId,
} from '@marigoldpost/common';
import {
  AcknowledgementSchema,
  CallEventSchema,
  CopiedRecordsSchema,
  type CopyRecords,
  type FetchCopies,
  type Handover,
  type Membership,
  OperationReplySchema,
  type PeerReplyBody,
  type PeerRequestBody,
  type RelayCall,
  type RelayOperation,
} from '@marigoldpost/peers';
import type {ConfigFollower} from '@marigoldpost/operations';
import type {
  Call,
  CopiedRecords,
  PartitionManager,
} from '@marigoldpost/programs';
import type {CallRunner} from '../calls/call_runner.js';
import type {LimitGrantHandler} from '../limits/limit_grant_handler.js';
import type {ProgramOperation} from '../programs/program_operation.js';
import type {ProgramOperationRunner} from '../programs/program_operation_runner.js';
import type {RecordCopyStore} from './record_copy_store.js';

/** Parts of a daemon that handle peers' requests. */
export interface PeerRequestHandlerOptions {
  readonly membership: Membership;
  readonly manager: PartitionManager;
  readonly runner: CallRunner;
  /** Runs operations on the programs that this daemon holds. */
  readonly operator: ProgramOperationRunner;
  readonly copies: RecordCopyStore;
  readonly grantHandler: LimitGrantHandler;
  readonly follower: ConfigFollower;
}

/** Dispatches peers' requests to the parts of a daemon. */
export class PeerRequestHandler {
  private constructor(private readonly options: PeerRequestHandlerOptions) {}

  /**
   * Creates a handler.
   * @param options - Parts of the daemon that handle the requests.
   */
  static create(options: PeerRequestHandlerOptions): PeerRequestHandler {
    return new PeerRequestHandler(options);
  }

  /**
   * Handles one request: yields the events of a relayed call, or one reply.
   * @param sender - The daemon that sent the request.
   * @param request - Body of the request; its case selects the handler.
   * @param signal - Aborted when the sender cancels the request.
   */
  async *handle(
    sender: DaemonId,
    request: PeerRequestBody,
    signal: AbortSignal,
  ): AsyncGenerator<PeerReplyBody> {
    if (request.case === 'relayCall') {
      yield* this.handleCall(request.value, signal);
    } else {
      yield await this.handleUnary(sender, request);
    }
  }

  private async *handleCall(
    relayed: RelayCall,
    signal: AbortSignal,
  ): AsyncGenerator<PeerReplyBody> {
    const partition = toId<PartitionId>(relayed.partition);
    const programManager = this.options.manager.getProgramManager(partition);
    if (programManager === undefined) {
      const message = `partition "${partition}" is not held by this daemon`;
      throw MarigoldpostError.create('not_holder', message);
    }
    const call = JSON.parse(relayed.callJson) as Call;
    for await (const event of this.options.runner.runCall(
      programManager,
      call,
      signal,
    )) {
      const eventJson = JSON.stringify(event);
      const value = create(CallEventSchema, {eventJson});
      yield {case: 'callEvent', value};
    }
  }

  private async handleUnary(
    sender: DaemonId,
    request: PeerRequestBody,
  ): Promise<PeerReplyBody> {
    const {membership, grantHandler, follower} = this.options;
    switch (request.case) {
      case 'heartbeat': {
        const value = membership.handleHeartbeat(request.value);
        return {case: 'heartbeat', value};
      }
      case 'grantRequest':
        return {case: 'grant', value: await grantHandler.grant(request.value)};
      case 'grantReturn':
        await grantHandler.acceptReturn(request.value);
        return createAcknowledgement();
      case 'copyRecords':
        return this.handleCopy(request.value);
      case 'fetchCopies':
        return this.handleFetchCopies(request.value);
      case 'fetchConfig':
        return {case: 'config', value: follower.handleFetch(request.value)};
      case 'handover':
        return this.handleHandover(request.value);
      case 'relayOperation':
        return this.handleOperation(request.value);
      default: {
        const message = `daemon "${sender}" sent a request of unknown kind "${request.case ?? 'none'}"`;
        throw MarigoldpostError.create('invalid_request', message);
      }
    }
  }

  private handleCopy(copy: CopyRecords): PeerReplyBody {
    const partition = toId<PartitionId>(copy.partition);
    this.options.copies.addRecords(partition, toEpoch(Number(copy.epoch)), {
      firstSequence: Number(copy.firstSequence),
      records: copy.recordsJson,
    });
    return createAcknowledgement();
  }

  /**
   * The requesting daemon has sealed the epoch. If this daemon still holds the
   * partition in that epoch, it releases the partition and returns the
   * uncommitted records.
   */
  private handleFetchCopies({partition, epoch}: FetchCopies): PeerReplyBody {
    const id = toId<PartitionId>(partition);
    const sealedEpoch = toEpoch(Number(epoch));
    const {manager, copies} = this.options;
    const storedCopies = copies.sealRecords(id, sealedEpoch);
    const records: CopiedRecords | undefined =
      manager.releasePartition(id, sealedEpoch) ?? storedCopies;
    const value = create(CopiedRecordsSchema, {
      firstSequence: BigInt(records?.firstSequence ?? 0),
      recordsJson: [...(records?.records ?? [])],
    });
    return {case: 'copiedRecords', value};
  }

  private async handleHandover(handover: Handover): Promise<PeerReplyBody> {
    const partition = toId<PartitionId>(handover.partition);
    const epoch = toEpoch(Number(handover.epoch));
    await this.options.manager.acceptHandover(partition, epoch);
    return createAcknowledgement();
  }

  private async handleOperation(
    relayed: RelayOperation,
  ): Promise<PeerReplyBody> {
    const operation = JSON.parse(relayed.operationJson) as ProgramOperation;
    const result = await this.options.operator.runLocally(operation);
    const resultJson = JSON.stringify(result);
    return {
      case: 'operation',
      value: create(OperationReplySchema, {resultJson}),
    };
  }
}

function createAcknowledgement(): PeerReplyBody {
  return {case: 'acknowledgement', value: create(AcknowledgementSchema)};
}
