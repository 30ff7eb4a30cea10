/** Requests to one archive, and whether it answers. */
import {create} from '@bufbuild/protobuf';
import {
  type Clock,
  type DataCentreId,
  MarigoldpostError,
  type ProgramId,
  toId,
} from '@marigoldpost/common';
import {
  ArchiveProbeSchema,
  FetchChainSchema,
  FetchLedgerSchema,
  FindTurnsSchema,
  type PeerReplyBody,
  type PeerRequestBody,
  type PeerRequester,
  ReserveTokensSchema,
  SettleTokensSchema,
  StoreTurnsSchema,
} from '@marigoldpost/peers';
import type {TurnId} from '@marigoldpost/sites';
import type {ArchiveMember} from '../directory/archive_directory.js';
import type {Reservation} from '../ledger/budget_ledger.js';
import type {DiskId} from '../log/disk_identity.js';
import {
  fromLedgerMessage,
  fromTurnMessage,
  type ProgramEntries,
  toTurnMessage,
} from '../records/turn_codec.js';
import type {PartialChain, TurnRecord} from '../records/turn_record.js';

/** Longest wait for one reply: far above a sync and a way between zones. */
const replyTimeoutMs = 400;
/** A silent archive is left out for at least this long. */
const silenceMs = 600;
/** Pause between two probes of a silent archive. */
const probePauseMs = 200;

/** What an archive says of a reservation. */
export interface ArchiveReservation {
  readonly isGranted: boolean;
  readonly heldTokens: number;
  /** Whether it knows what its peers recorded while it was away. */
  readonly isComplete: boolean;
}

/** What an archive says of turns that it was asked for. */
export interface FoundTurnsReply {
  readonly isHeld: readonly boolean[];
  readonly disk: DiskId;
  readonly isComplete: boolean;
}

/** Options of a client. */
export interface ArchiveClientOptions {
  readonly member: ArchiveMember;
  readonly transport: PeerRequester;
  readonly clock: Clock;
  /** Ends the probes of a silent archive. */
  readonly signal: AbortSignal;
  /** Called when the archive falls silent or answers again. */
  readonly onReachability?: (
    member: ArchiveMember,
    isReachable: boolean,
  ) => void;
}

/** Client of one archive; requests to a silent one fail at once. */
export class ArchiveClient {
  private silentSinceMs: number | undefined;

  private constructor(private readonly options: ArchiveClientOptions) {}

  /**
   * Creates a client; it connects with the first request.
   * @param options - The archive and how it is reached.
   */
  static create(options: ArchiveClientOptions): ArchiveClient {
    return new ArchiveClient(options);
  }

  /** The archive. */
  get member(): ArchiveMember {
    return this.options.member;
  }

  /** Data centre of the archive. */
  get dataCentre(): DataCentreId {
    return this.options.member.dataCentre;
  }

  /** Whether the last request was answered. */
  get isReachable(): boolean {
    return this.silentSinceMs === undefined;
  }

  /**
   * Reserves tokens.
   * @param reservation - What to reserve.
   */
  async reserve(reservation: Reservation): Promise<ArchiveReservation> {
    const reply = await this.ask({
      case: 'reserveTokens',
      value: create(ReserveTokensSchema, {...reservation}),
    });
    if (reply.case === 'reserve') return reply.value;
    throw this.createUnexpected(reply);
  }

  /**
   * Merges ledger entries; resolves once they are durable.
   * @param ledgers - Settled entries by program.
   */
  async settle(ledgers: readonly ProgramEntries[]): Promise<void> {
    const settlements = ledgers.flatMap(({program, entries}) =>
      entries.map(({attempt, tokens}) => ({program, attempt, tokens})),
    );
    await this.askAcknowledged({
      case: 'settleTokens',
      value: create(SettleTokensSchema, {settlements}),
    });
  }

  /**
   * Gets ledgers.
   * @param program - One program; all when left out.
   */
  async fetchLedgers(program?: ProgramId): Promise<ProgramEntries[]> {
    const reply = await this.ask({
      case: 'fetchLedger',
      value: create(FetchLedgerSchema, {program}),
    });
    if (reply.case !== 'ledger') throw this.createUnexpected(reply);
    return reply.value.programs.map(fromLedgerMessage);
  }

  /**
   * Stores turns; resolves once they are durable there.
   * @param records - The turns.
   */
  async storeTurns(records: readonly TurnRecord[]): Promise<void> {
    await this.askAcknowledged({
      case: 'storeTurns',
      value: create(StoreTurnsSchema, {turns: records.map(toTurnMessage)}),
    });
  }

  /**
   * Gets a turn and the turns before it.
   * @param turn - The turn.
   */
  async fetchChain(turn: TurnId): Promise<PartialChain> {
    const reply = await this.ask({
      case: 'fetchChain',
      value: create(FetchChainSchema, {turn}),
    });
    if (reply.case !== 'chain') throw this.createUnexpected(reply);
    const {turns, missing} = reply.value;
    return {
      turns: turns.map(fromTurnMessage),
      missing: missing === '' ? undefined : toId<TurnId>(missing),
    };
  }

  /**
   * Asks which turns the archive holds.
   * @param turns - The turns.
   */
  async findTurns(turns: readonly TurnId[]): Promise<FoundTurnsReply> {
    const reply = await this.ask({
      case: 'findTurns',
      value: create(FindTurnsSchema, {turns: [...turns]}),
    });
    if (reply.case !== 'foundTurns') throw this.createUnexpected(reply);
    const {isHeld, status} = reply.value;
    return {
      isHeld,
      disk: toId<DiskId>(status?.disk ?? ''),
      isComplete: status?.isComplete ?? false,
    };
  }

  /** Probes the archive while it is silent, until it answers. */
  private async probeUntilBack(sinceMs: number): Promise<void> {
    const {clock, transport, signal} = this.options;
    const {daemon, address} = this.member;
    for (;;) {
      await clock.sleep(probePauseMs, signal);
      try {
        const value = create(ArchiveProbeSchema);
        await transport.ask(
          {daemon, address},
          {case: 'archiveProbe', value},
          replyTimeoutMs,
        );
        if (clock.nowMs() - sinceMs >= silenceMs) break;
      } catch {
        // Still silent; the next probe follows.
      }
    }
    this.silentSinceMs = undefined;
    this.options.onReachability?.(this.member, true);
  }

  private async askAcknowledged(request: PeerRequestBody): Promise<void> {
    const reply = await this.ask(request);
    if (reply.case !== 'acknowledgement') throw this.createUnexpected(reply);
  }

  private async ask(request: PeerRequestBody): Promise<PeerReplyBody> {
    const {daemon, address} = this.member;
    if (this.silentSinceMs !== undefined) {
      throw MarigoldpostError.create(
        'archive_unavailable',
        `archive "${daemon}" has not answered lately`,
      );
    }
    try {
      return await this.options.transport.ask(
        {daemon, address},
        request,
        replyTimeoutMs,
      );
    } catch (error) {
      this.noteSilence();
      throw error;
    }
  }

  private noteSilence(): void {
    if (this.silentSinceMs !== undefined) return;
    const nowMs = this.options.clock.nowMs();
    this.silentSinceMs = nowMs;
    this.options.onReachability?.(this.member, false);
    // Only the end of the process ends the probes with an error.
    this.probeUntilBack(nowMs).catch(() => undefined);
  }

  private createUnexpected(reply: PeerReplyBody): MarigoldpostError {
    return MarigoldpostError.create(
      'archive_unavailable',
      `archive "${this.member.daemon}" sent an unexpected reply: ${reply.case}`,
    );
  }
}
