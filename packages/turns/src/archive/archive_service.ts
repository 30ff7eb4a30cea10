/** Handles the requests that other daemons send to an archive. */
import {create} from '@bufbuild/protobuf';
import {
  MarigoldpostError,
  type ProgramId,
  toId,
  toUint32,
} from '@marigoldpost/common';
import {
  AcknowledgementSchema,
  ArchiveStatusSchema,
  ChainSchema,
  FoundTurnsSchema,
  LedgerSchema,
  type PeerReplyBody,
  type PeerRequestBody,
  ReserveReplySchema,
} from '@marigoldpost/peers';
import type {TurnId} from '@marigoldpost/sites';
import type {ArchivePool} from '../client/archive_pool.js';
import type {DiskId} from '../log/disk_identity.js';
import {
  fromTurnMessage,
  type ProgramEntries,
  toLedgerMessage,
  toTurnMessage,
} from '../records/turn_codec.js';
import {type Archive, maxChainPartBytes} from './archive.js';

const acknowledgement: PeerReplyBody = {
  case: 'acknowledgement',
  value: create(AcknowledgementSchema),
};

/** The majorities of two lists that differ by one archive always meet. */
const maxUnknownVoters = 1;

type RequestOf<Case extends PeerRequestBody['case']> = Extract<
  PeerRequestBody,
  {case: Case}
>['value'];

/** Archive, its peers and completeness of a service. */
export interface ArchiveServiceOptions {
  /** Archive that executes the requests. */
  readonly archive: Archive;
  /** Clients of the other archives. */
  readonly pool: ArchivePool;
  /**
   * Tells whether the archive's ledger includes what its peers recorded while it
   * was down, for a requester that leaves out the votes of the named disks.
   */
  readonly isComplete: (supersededDisks: readonly DiskId[]) => boolean;
}

/**
 * Gets the most bytes of a reply that may be large; 0 for others.
 * @param request - Request of a peer.
 */
export function getMaxReplyBytes({case: kind}: PeerRequestBody): number {
  return kind === 'fetchChain' ? maxChainPartBytes : 0;
}

/** Maps peer requests to operations of one archive. */
export class ArchiveService {
  private readonly archive: Archive;

  private constructor(private readonly options: ArchiveServiceOptions) {
    this.archive = options.archive;
  }

  /**
   * Creates a service.
   * @param options - Archive, list of archives and completeness.
   */
  static create(options: ArchiveServiceOptions): ArchiveService {
    return new ArchiveService(options);
  }

  /**
   * Handles one request; throws `invalid_request` for a request that archives
   * do not serve.
   * @param request - Decoded body of the request.
   */
  async answer(request: PeerRequestBody): Promise<PeerReplyBody> {
    switch (request.case) {
      case 'reserveTokens':
        return this.reserve(request.value);
      case 'settleTokens':
        await this.archive.settle(toSettledLedgers(request.value));
        return acknowledgement;
      case 'fetchLedger':
        return this.fetchLedger(request.value);
      case 'storeTurns':
        return this.storeTurns(request.value);
      case 'fetchChain':
        return this.fetchChain(request.value);
      case 'findTurns':
        return this.findTurns(request.value);
      case 'archiveProbe':
        await this.archive.checkDisk();
        return {case: 'archiveStatus', value: this.getStatus()};
      default:
        throw MarigoldpostError.create(
          'invalid_request',
          `an archive does not serve requests of kind "${request.case}"`,
        );
    }
  }

  private async reserve(
    request: RequestOf<'reserveTokens'>,
  ): Promise<PeerReplyBody> {
    const named = toDisks(request.superseded?.disks ?? []);
    const registered = this.options.pool.supersededDisks;
    await this.archive.recordSupersededDisks([...named, ...registered]);
    // Builds that name no disks do not understand a reply that does.
    const unnamed =
      request.superseded === undefined ? [] : this.findUnnamed(named);
    if (unnamed.length > 0) {
      const reply = {isGranted: false, supersededDisks: unnamed};
      return {case: 'reserve', value: create(ReserveReplySchema, reply)};
    }
    const result = await this.archive.reserve({
      program: toId<ProgramId>(request.program),
      attempt: toId<TurnId>(request.attempt),
      tokens: request.tokens,
      budgetTokens: request.budgetTokens,
      isForced: request.isForced,
      counter: request.counter,
      lapseMs: request.lapseMs,
    });
    const {isGranted, heldTokens, settledTokens, isExact} = result;
    const isComplete =
      this.options.isComplete(named) && !this.lacksVoters(request.voters);
    const reply = {
      isGranted,
      heldTokens: toUint32(heldTokens),
      settledTokens: toUint32(settledTokens),
      isComplete,
      isExact,
    };
    return {case: 'reserve', value: create(ReserveReplySchema, reply)};
  }

  /** A sealed archive replies with its status, which acknowledges nothing. */
  private async storeTurns({
    turns,
  }: RequestOf<'storeTurns'>): Promise<PeerReplyBody> {
    if (this.archive.isSealed) {
      return {case: 'archiveStatus', value: this.getStatus()};
    }
    await this.archive.storeTurns(turns.map(fromTurnMessage));
    return acknowledgement;
  }

  /**
   * Whether a requester counts the votes of at least two archives less than are
   * registered: its majorities may not meet those of others. A vote for it does not
   * count until it has read of them.
   */
  private lacksVoters(voters: number): boolean {
    if (voters === 0) return false;
    const {pool, archive} = this.options;
    const isVoter =
      pool.isOwnDiskRegistered(archive.disk) &&
      !pool.supersededDisks.has(archive.disk) &&
      !archive.supersededDisks.has(archive.disk);
    // Requesters may have named disks that no registration names yet.
    const others = pool
      .getVoters()
      .filter(({member}) => !archive.supersededDisks.has(member.disk));
    const registered = others.length + (isVoter ? 1 : 0);
    return registered - voters > maxUnknownVoters;
  }

  /** Finds superseded disks whose votes a requester still counts. */
  private findUnnamed(named: readonly DiskId[]): DiskId[] {
    const {archive, pool} = this.options;
    const registered = pool.supersededDisks;
    return [...new Set([...registered, ...archive.supersededDisks])].filter(
      (disk) => !named.includes(disk),
    );
  }

  private async fetchLedger({
    program,
    isPaged,
    afterProgram,
    supersededDisks,
  }: RequestOf<'fetchLedger'>): Promise<PeerReplyBody> {
    const {archive} = this;
    await archive.recordSupersededDisks(toDisks(supersededDisks));
    if (program !== undefined || !isPaged) {
      const ledgers =
        program === undefined
          ? archive.getLedgers()
          : [archive.getLedger(toId<ProgramId>(program))];
      const programs = ledgers.map(toLedgerMessage);
      return {case: 'ledger', value: create(LedgerSchema, {programs})};
    }
    const part = archive.getLedgersAfter(toId<ProgramId>(afterProgram));
    const value = create(LedgerSchema, {
      programs: part.ledgers.map(toLedgerMessage),
      hasMore: part.hasMore,
    });
    return {case: 'ledger', value};
  }

  private async fetchChain({
    turn,
    retainedMs,
    isContinued,
  }: RequestOf<'fetchChain'>): Promise<PeerReplyBody> {
    const id = toId<TurnId>(turn);
    if (isContinued && this.archive.hasExpired(id)) {
      return {case: 'chain', value: create(ChainSchema, {isExpired: true})};
    }
    const remainingMs = toUint32(this.archive.getRemainingMs(id));
    if (retainedMs > 0) this.archive.retainTurn(id, retainedMs);
    const chain = await this.archive.readChain(id);
    const turns = chain.turns.map(toTurnMessage);
    const missing = chain.missing ?? '';
    return {
      case: 'chain',
      value: create(ChainSchema, {turns, missing, remainingMs}),
    };
  }

  private findTurns({
    turns,
    retainedMs,
    absentDisk,
  }: RequestOf<'findTurns'>): PeerReplyBody {
    for (const [index, turn] of turns.entries()) {
      const turnMs = retainedMs[index] ?? 0;
      // A turn that has expired must not seem to expire now since it was looked for.
      if (turnMs > 0) this.archive.retainTurn(toId<TurnId>(turn), turnMs);
    }
    const ids = turns.map((turn) => toId<TurnId>(turn));
    const isDamaged = ids.map((id) => this.archive.isDamaged(id));
    const isHeld = ids.map(
      (id, index) => this.archive.hasTurn(id) || isDamaged[index] === true,
    );
    const disk = toId<DiskId>(absentDisk);
    const isAbsentReached = this.options.pool.isReached(disk);
    const status = this.getStatus();
    const reply = {isHeld, isDamaged, status, isAbsentReached};
    return {case: 'foundTurns', value: create(FoundTurnsSchema, reply)};
  }

  private getStatus() {
    return create(ArchiveStatusSchema, {
      disk: this.archive.disk,
      isComplete: this.options.isComplete([]),
    });
  }
}

function toDisks(disks: readonly string[]): DiskId[] {
  return disks.map((disk) => toId<DiskId>(disk));
}

function toSettledLedgers({
  settlements,
}: RequestOf<'settleTokens'>): ProgramEntries[] {
  return settlements.map(({program, attempt, tokens}) => ({
    program: toId<ProgramId>(program),
    entries: [{attempt: toId<TurnId>(attempt), tokens, isSettled: true}],
  }));
}
