/** Sends requests to one archive and tracks whether it is reachable. */
import {create} from '@bufbuild/protobuf';
import {
  type Clock,
  type DataCentreId,
  isErrorOfKind,
  MarigoldpostError,
  type ProgramId,
  toId,
  toUint32,
} from '@marigoldpost/common';
import {
  ArchiveProbeSchema,
  type ExchangeLoads,
  type ExchangeQuarantines,
  FetchChainSchema,
  FetchLedgerSchema,
  FindTurnsSchema,
  type LoadSums,
  type PeerReplyBody,
  type PeerRequestBody,
  type PeerRequester,
  type QuarantineChanges,
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

/**
 * Reply time-out; far above a disk sync plus the latency between data centres.
 */
const replyTimeoutMs = 400;
/** Least time for which an archive that failed to reply stays unreachable. */
const minUnreachableMs = 600;
/** Failures of the archive itself; any other is one of the request. */
const unreachableKinds = ['peer_lost', 'archive_unavailable'] as const;
/** Pause between two probes of an unreachable archive. */
const probeIntervalMs = 200;

/** Reply of an archive to a reservation. */
export interface ReservationReply {
  readonly isGranted: boolean;
  readonly heldTokens: number;
  /** Tokens used by the program's settled attempts; 0 if not known. */
  readonly settledTokens: number;
  /** Whether its ledger includes what its peers recorded while it was down. */
  readonly isComplete: boolean;
  /** Whether it knows of no contended reservation of the program. */
  readonly isExact: boolean;
  /** Superseded disks, if the request counted the vote of one of them. */
  readonly supersededDisks: readonly DiskId[];
}

/** A chain as far as an archive stores it. */
export interface ChainPart extends PartialChain {
  /** How much longer the archive retained its newest turn before the request. */
  readonly remainingMs: number;
  /** Whether the archive sent nothing, as its newest turn expired too long ago. */
  readonly isExpired: boolean;
}

/** How a chain is to be used. */
export interface ChainUse {
  /** How much longer the archive should retain the chain at least. */
  readonly retainedMs: number;
  /** Whether a new turn is to continue it, which an archive may refuse. */
  readonly isContinued: boolean;
}

/** Which of the requested turns an archive stores, in request order. */
export interface FoundTurnsReply {
  readonly isHeld: readonly boolean[];
  /** Whether it holds the turn, but cannot read its entry. */
  readonly isDamaged: readonly boolean[];
  readonly disk: DiskId;
  readonly isComplete: boolean;
}

/**
 * Is told that an archive has become unreachable or reachable again.
 * @param reason - Error that made it unreachable, or what made it reachable.
 */
export type ReachabilityListener = (
  member: ArchiveMember,
  isReachable: boolean,
  reason: string,
) => void;

/** Archive, transport and callbacks of a client. */
export interface ArchiveClientOptions {
  readonly member: ArchiveMember;
  readonly transport: PeerRequester;
  readonly clock: Clock;
  /** Stops the probes of an unreachable archive when aborted. */
  readonly signal: AbortSignal;
  /** Called when the archive becomes unreachable or reachable again. */
  readonly onReachabilityChanged?: ReachabilityListener;
  /** Called when a probe has got no reply, see `isSilent`. */
  readonly onSilent?: () => void;
}

/**
 * Client of one archive. While the archive is unreachable, requests fail at
 * once with `archive_unavailable` and probes run in the background.
 */
export class ArchiveClient {
  private unreachableSinceMs: number | undefined;
  private lastReplyMs = Number.NEGATIVE_INFINITY;
  private repliedDisk: DiskId | undefined;
  private isProbing = true;
  private isProbeUnanswered = false;

  private constructor(private readonly options: ArchiveClientOptions) {}

  /**
   * Creates a client; it connects on the first request.
   * @param options - Archive, transport and clock.
   */
  static create(options: ArchiveClientOptions): ArchiveClient {
    return new ArchiveClient(options);
  }

  /** Directory entry of the archive. */
  get member(): ArchiveMember {
    return this.options.member;
  }

  /**
   * Disk that the archive named in its last status; until then, the one of its
   * directory entry, which is behind after the loss of a disk.
   */
  get disk(): DiskId {
    return this.repliedDisk ?? this.member.disk;
  }

  /** When the archive last replied; `-Infinity` before its first reply. */
  get repliedAtMs(): number {
    return this.lastReplyMs;
  }

  /** Data centre in which the archive runs. */
  get dataCentre(): DataCentreId {
    return this.options.member.dataCentre;
  }

  /** Whether requests are sent: not from a failure until a probe succeeds. */
  get isReachable(): boolean {
    return this.unreachableSinceMs === undefined;
  }

  /** When the archive became unreachable; `undefined` while it is reachable. */
  get unreachableAtMs(): number | undefined {
    return this.unreachableSinceMs;
  }

  /**
   * Whether the last probe of the unreachable archive, over a new connection, got
   * no reply at all. A VM on which only the process is down refuses it.
   */
  get isSilent(): boolean {
    return this.isProbeUnanswered;
  }

  /** Ends the probes for good, since the archive is no longer registered so. */
  stopProbes(): void {
    this.isProbing = false;
  }

  /**
   * Reserves tokens in the archive's ledger.
   * @param reservation - Attempt, its tokens and the program's budget.
   * @param supersededDisks - Disks whose votes are not counted.
   * @param voters - Number of archives whose votes are counted.
   */
  async reserve(
    reservation: Reservation,
    supersededDisks: ReadonlySet<DiskId>,
    voters: number,
  ): Promise<ReservationReply> {
    const superseded = {disks: [...supersededDisks]};
    const {lapseMs, tokens, budgetTokens, ...identity} = reservation;
    const value = {
      ...identity,
      tokens: toUint32(tokens),
      budgetTokens: toUint32(Math.floor(budgetTokens)),
      ...(lapseMs === undefined ? {} : {lapseMs: toUint32(lapseMs)}),
      superseded,
      voters,
    };
    const reply = await this.sendRequest({
      case: 'reserveTokens',
      value: create(ReserveTokensSchema, value),
    });
    if (reply.case !== 'reserve') throw this.createReplyError(reply);
    const disks = reply.value.supersededDisks.map((disk) => toId<DiskId>(disk));
    return {...reply.value, supersededDisks: disks};
  }

  /**
   * Merges settled entries into the archive's ledger; resolves once they are
   * durable there.
   * @param ledgers - Settled entries by program.
   */
  async settle(ledgers: readonly ProgramEntries[]): Promise<void> {
    const settlements = ledgers.flatMap(({program, entries}) =>
      entries.map((entry) => {
        const {attempt} = entry;
        return {program, attempt, tokens: toUint32(entry.tokens)};
      }),
    );
    await this.requestAcknowledgement({
      case: 'settleTokens',
      value: create(SettleTokensSchema, {settlements}),
    });
  }

  /**
   * Gets ledger entries by program.
   * @param program - Program to get; every program when omitted.
   */
  fetchLedgers(program?: ProgramId): Promise<ProgramEntries[]> {
    return this.fetchLedgerParts(program, []);
  }

  /**
   * Gets all ledger entries, after which the archive records no reservation that
   * counts the vote of superseded disks, its own one included.
   * @param disks - Disks that are superseded, or are about to be.
   */
  fetchFinalLedgers(disks: Iterable<DiskId>): Promise<ProgramEntries[]> {
    return this.fetchLedgerParts(undefined, [...disks]);
  }

  private async fetchLedgerParts(
    program: ProgramId | undefined,
    supersededDisks: DiskId[],
  ): Promise<ProgramEntries[]> {
    const ledgers: ProgramEntries[] = [];
    for (;;) {
      const afterProgram = ledgers.at(-1)?.program ?? '';
      const value = create(FetchLedgerSchema, {
        program,
        isPaged: program === undefined,
        afterProgram,
        supersededDisks,
      });
      const reply = await this.sendRequest({case: 'fetchLedger', value});
      if (reply.case !== 'ledger') throw this.createReplyError(reply);
      ledgers.push(...reply.value.programs.map(fromLedgerMessage));
      if (!reply.value.hasMore) return ledgers;
    }
  }

  /**
   * Stores turns on the archive; resolves once they are durable there.
   * @param records - Finished turns.
   */
  async storeTurns(records: readonly TurnRecord[]): Promise<void> {
    await this.requestAcknowledgement({
      case: 'storeTurns',
      value: create(StoreTurnsSchema, {turns: records.map(toTurnMessage)}),
    });
  }

  /**
   * Gets a turn and its ancestors, as far as the archive stores them.
   * @param turn - Newest turn of the chain.
   * @param use - How the chain is to be used; omitted if it is only read.
   */
  async fetchChain(turn: TurnId, use?: ChainUse): Promise<ChainPart> {
    const retainedMs = toUint32(use?.retainedMs ?? 0);
    const value = {turn, retainedMs, isContinued: use?.isContinued ?? false};
    const reply = await this.sendRequest({
      case: 'fetchChain',
      value: create(FetchChainSchema, value),
    });
    if (reply.case !== 'chain') throw this.createReplyError(reply);
    const {turns, missing, remainingMs, isExpired} = reply.value;
    return {
      remainingMs,
      isExpired,
      turns: turns.map(fromTurnMessage),
      missing: missing === '' ? undefined : toId<TurnId>(missing),
    };
  }

  /**
   * Queries which turns the archive stores.
   * @param turns - Ids of the turns.
   * @param retainedMs - For each turn, how much longer the archive should retain
   *   it at least; empty to leave that as it is.
   */
  async findTurns(
    turns: readonly TurnId[],
    retainedMs: readonly number[] = [],
  ): Promise<FoundTurnsReply> {
    const reply = await this.sendRequest({
      case: 'findTurns',
      value: create(FindTurnsSchema, {
        turns: [...turns],
        retainedMs: retainedMs.map(toUint32),
      }),
    });
    if (reply.case !== 'foundTurns') throw this.createReplyError(reply);
    const {isHeld, isDamaged, status} = reply.value;
    if (status === undefined) throw this.createReplyError(reply);
    const disk = toId<DiskId>(status.disk);
    this.repliedDisk = disk;
    const {isComplete} = status;
    return {isHeld, isDamaged, disk, isComplete};
  }

  /**
   * Asks whether the archive reaches one that this daemon does not reach.
   * @param disk - Disk of that archive.
   */
  async reachesArchive(disk: DiskId): Promise<boolean> {
    const reply = await this.sendRequest({
      case: 'findTurns',
      value: create(FindTurnsSchema, {absentDisk: disk}),
    });
    if (reply.case !== 'foundTurns') throw this.createReplyError(reply);
    return reply.value.isAbsentReached;
  }

  /**
   * Exchanges quarantine entries; `undefined` if the archive does not reply.
   * Does not mark the archive unreachable, since one of an earlier version
   * rejects the request.
   * @param value - Entries to send and the revision that the sender has.
   */
  async exchangeQuarantines(
    value: ExchangeQuarantines,
  ): Promise<QuarantineChanges | undefined> {
    const {daemon, address} = this.member;
    const request = {case: 'exchangeQuarantines', value} as const;
    try {
      const reply = await this.options.transport.ask(
        {daemon, address},
        request,
        replyTimeoutMs,
      );
      return reply.case === 'quarantineChanges' ? reply.value : undefined;
    } catch {
      return undefined;
    }
  }

  /**
   * Exchanges the loads of targets; `undefined` if the archive does not reply, or
   * is of a version that rejects the request.
   * @param value - Requests of this daemon at targets.
   */
  async exchangeLoads(value: ExchangeLoads): Promise<LoadSums | undefined> {
    const {daemon, address} = this.member;
    try {
      const reply = await this.options.transport.ask(
        {daemon, address},
        {case: 'exchangeLoads', value},
        replyTimeoutMs,
      );
      return reply.case === 'loadSums' ? reply.value : undefined;
    } catch {
      return undefined;
    }
  }

  /** Probes the archive until it replies, for at least `minUnreachableMs`. */
  private async probeUntilReachable(sinceMs: number): Promise<void> {
    const {clock, transport, signal} = this.options;
    const {daemon, address} = this.member;
    for (;;) {
      await clock.sleep(probeIntervalMs, signal);
      if (!this.isProbing) return;
      const startMs = clock.nowMs();
      try {
        const value = create(ArchiveProbeSchema);
        const reply = await transport.ask(
          {daemon, address},
          {case: 'archiveProbe', value},
          replyTimeoutMs,
        );
        this.lastReplyMs = clock.nowMs();
        this.isProbeUnanswered = false;
        if (reply.case === 'archiveStatus') {
          this.repliedDisk = toId<DiskId>(reply.value.disk);
        }
        if (clock.nowMs() - sinceMs >= minUnreachableMs) break;
      } catch {
        // Still unreachable; the next probe follows.
        this.isProbeUnanswered = clock.nowMs() - startMs >= replyTimeoutMs;
        if (this.isProbeUnanswered) this.options.onSilent?.();
      }
    }
    this.isProbeUnanswered = false;
    this.unreachableSinceMs = undefined;
    const reason = 'it replied to a probe';
    this.options.onReachabilityChanged?.(this.member, true, reason);
  }

  private async requestAcknowledgement(
    request: PeerRequestBody,
  ): Promise<void> {
    const reply = await this.sendRequest(request);
    if (reply.case !== 'acknowledgement') throw this.createReplyError(reply);
  }

  private async sendRequest(request: PeerRequestBody): Promise<PeerReplyBody> {
    const {daemon, address} = this.member;
    if (this.unreachableSinceMs !== undefined) {
      throw MarigoldpostError.create(
        'archive_unavailable',
        `archive "${daemon}" is unreachable; requests resume after a probe succeeds`,
      );
    }
    try {
      const reply = await this.options.transport.ask(
        {daemon, address},
        request,
        replyTimeoutMs,
      );
      this.lastReplyMs = this.options.clock.nowMs();
      return reply;
    } catch (error) {
      if (isErrorOfKind(error, ...unreachableKinds)) {
        this.markUnreachable(error);
      }
      throw error;
    }
  }

  private markUnreachable({kind, message}: MarigoldpostError): void {
    if (this.unreachableSinceMs !== undefined) return;
    const nowMs = this.options.clock.nowMs();
    this.unreachableSinceMs = nowMs;
    const reason = `${kind}: ${message}`;
    this.options.onReachabilityChanged?.(this.member, false, reason);
    // The probes reject only when the signal is aborted at process stop.
    this.probeUntilReachable(nowMs).catch(() => undefined);
  }

  private createReplyError(reply: PeerReplyBody): MarigoldpostError {
    return MarigoldpostError.create(
      'archive_unavailable',
      `archive "${this.member.daemon}" sent a reply of unexpected kind "${reply.case}"`,
    );
  }
}
