/** Reserves tokens of program budgets at a quorum of archives. */
import {
  type Clock,
  type DataCentreId,
  Deferred,
  getHashNumber,
  MarigoldpostError,
  type ProgramId,
} from '@marigoldpost/common';
import type {TurnId} from '@marigoldpost/sites';
import type {LedgerEntry} from '../ledger/budget_ledger.js';
import {type MergedTokens, sumMergedTokens} from '../ledger/merge_entries.js';
import {getMajority} from '../ledger/reservation_quorum.js';
import type {ReservationObjects} from '../objects/reservation_objects.js';
import type {StoreProbe} from '../objects/store_probe.js';
import type {ProgramEntries} from '../records/turn_codec.js';
import type {ArchiveClient} from './archive_client.js';
import type {ArchivePool} from './archive_pool.js';
import type {ArchiveRetries, ArchiveWait} from './archive_retries.js';
import {ReservationBallot} from './reservation_ballot.js';
import type {SettlementSender} from './settlement_sender.js';

/** Wait for archives that confirm, before the object API takes their place. */
const confirmWaitMs = 50;
/** Pause between two attempts to confirm a reservation. */
const confirmRetryMs = 50;
/** Time in which a reservation is confirmed; an archive restarts within it. */
const confirmTimeoutMs = 1500;
/** Time in which the archives learn that an attempt has been settled. */
const minContentionRetryMs = 600;
const contentionRetrySpreadMs = 600;
/** Programs whose spent budgets are kept; the oldest are dropped first. */
const maxSpentPrograms = 10_000;

/** Request of an attempt at a turn for tokens of its program's budget. */
export interface TokenRequest extends ArchiveWait {
  readonly program: ProgramId;
  readonly attempt: TurnId;
  /** Upper bound of the tokens that the attempt generates. */
  readonly tokens: number;
  /**
   * Time after which the reservation lapses unless it is confirmed; `undefined` if
   * it needs no confirmation.
   */
  readonly lapseMs?: number | undefined;
  readonly budgetTokens: number;
  /** Data centre in which the program started; `undefined` if not recorded. */
  readonly home: DataCentreId | undefined;
}

/** Archives and settlement sender that a client uses. */
export interface BudgetClientOptions {
  readonly pool: ArchivePool;
  readonly clock: Clock;
  readonly settlements: SettlementSender;
  readonly ownDataCentre: DataCentreId;
  /** Archives that the site must have; majorities of fewer need not meet. */
  readonly owedArchives: number;
  /** Records the reservations that no majority with the home has recorded. */
  readonly objects: Pick<ReservationObjects, 'record' | 'confirm'>;
  readonly probe: StoreProbe;
  /** Gets the retry delay for a call that needs an unreachable archive. */
  readonly getRetryAfterMs: () => number;
}

/** Request of an attempt, with the ballots that were held on it so far. */
interface BallotedRequest extends TokenRequest {
  readonly ballots: ReservationBallot[];
}

/**
 * Confirms a reservation, so that it does not lapse. Resolves once enough archives
 * or the object API have recorded that; `false` if none has within 1.5 s or when
 * the signal of the request aborts, after which the attempt may use no tokens.
 */
export type ConfirmReservation = () => Promise<boolean>;

/** Ledgers of several archives for one program, without the attempt itself. */
interface MergedLedgers extends MergedTokens {
  readonly repliedClients: readonly ArchiveClient[];
}

/** Why a budget does not hold an attempt, for log lines. */
type RefusalCounts = Pick<MergedLedgers, 'settledTokens'> &
  Partial<Pick<MergedLedgers, 'heldTokens' | 'openAttempts'>>;

/** Decides by quorum whether an attempt may use tokens of its budget. */
export class BudgetClient {
  /** Tokens that attempts of programs with spent budgets have used at least. */
  private readonly settledTokens = new Map<ProgramId, number>();

  private constructor(private readonly options: BudgetClientOptions) {}

  /**
   * Creates a client.
   * @param options - Pool of archives, clock and settlement sender.
   */
  static create(options: BudgetClientOptions): BudgetClient {
    return new BudgetClient(options);
  }

  /**
   * Reserves tokens; gets the confirmation of the reservation. Throws
   * `tokens_spent` when the budget does not hold them, `limit_reached` when
   * concurrent attempts compete for the rest of it, and `archive_unavailable` when
   * too few archives reply to decide. In all cases the attempt has then been
   * settled with 0 tokens. Waits up to 1.5 s for archives that have just become
   * unreachable, since a restart takes about that long.
   * @param request - Attempt, tokens and budget.
   */
  async reserve(request: TokenRequest): Promise<ConfirmReservation> {
    const settledTokens = this.settledTokens.get(request.program) ?? 0;
    if (isOverBudget(request, settledTokens)) {
      throw createTokensSpentError(request, {settledTokens});
    }
    const {pool, owedArchives, settlements} = this.options;
    const retries = pool.createRetries(request);
    const ballots: ReservationBallot[] = [];
    const balloted = {...request, ballots};
    for (;;) {
      const ballot = await this.requestWithWait(balloted, retries);
      const failure =
        ballot === undefined
          ? this.createUnavailableError(request)
          : await this.decideByBallot(balloted, ballot);
      if (failure === undefined) {
        return () => this.confirm(request, ballots);
      }
      const isFinal = failure.kind !== 'archive_unavailable';
      if (!isFinal && (await retries.waitForReturn(owedArchives))) continue;
      // `recordSpent` settles the attempt where its only ballot has recorded it.
      const isSettled = ballots.length === 1 && ballot?.result === 'spent';
      if (!isSettled && ballots.some(({mayBeRecorded}) => mayBeRecorded)) {
        await settlements.record(request.program, request.attempt, 0);
      }
      throw failure;
    }
  }

  private confirm(
    request: TokenRequest,
    ballots: readonly ReservationBallot[],
  ): Promise<boolean> {
    const {signal} = request;
    const ended = Deferred.create<boolean>();
    const end = () => ended.resolve(false);
    if (signal.aborted) end();
    signal.addEventListener('abort', end, {once: true});
    const confirmed = this.confirmWithRetries(request, ballots);
    return Promise.race([confirmed, ended.promise]).finally(() =>
      signal.removeEventListener('abort', end),
    );
  }

  private async confirmWithRetries(
    request: TokenRequest,
    ballots: readonly ReservationBallot[],
  ): Promise<boolean> {
    const {clock, pool} = this.options;
    const endMs = clock.nowMs() + confirmTimeoutMs;
    while (!request.signal.aborted && clock.nowMs() < endMs) {
      // The last ballot is the one that has recorded the reservation.
      const atArchives =
        ballots.at(-1)?.confirm(pool.supersededDisks) ?? Promise.resolve(false);
      const waited = Deferred.create<boolean>();
      const timer = clock.setTimer(confirmWaitMs, () => waited.resolve(false));
      const isConfirmed = await Promise.race([atArchives, waited.promise]);
      timer.cancel();
      if (isConfirmed) return true;
      const inObjects = this.confirmInObjects(request);
      if (await isAnyTrue([atArchives, inObjects])) return true;
      await clock.sleep(confirmRetryMs);
    }
    return false;
  }

  /** Confirms a reservation where archives that do not reply read of it later. */
  private async confirmInObjects(request: TokenRequest): Promise<boolean> {
    const {objects, probe} = this.options;
    if (!(await probe.checkWrites())) return false;
    // An attempt whose call has ended is settled already.
    if (request.signal.aborted) return false;
    try {
      await objects.confirm(request);
      return true;
    } catch {
      probe.recordFailedWrite();
      return false;
    }
  }

  /** Gets the error that rejects an attempt after its ballot, if any. */
  private async decideByBallot(
    request: BallotedRequest,
    ballot: ReservationBallot,
  ): Promise<MarigoldpostError | undefined> {
    const {result} = ballot;
    if (result === 'granted' && this.isOnEnoughDisks(ballot)) return undefined;
    if (result === 'spent') {
      const {settledTokens} = ballot;
      return createTokensSpentError(request, {settledTokens});
    }
    return this.reserveByMergedLedgers(request, ballot);
  }

  private recordSpent(request: TokenRequest, ballot: ReservationBallot): void {
    const {program, attempt} = request;
    this.settledTokens.delete(program);
    this.settledTokens.set(program, ballot.settledTokens);
    const [oldest] = this.settledTokens.keys();
    if (this.settledTokens.size > maxSpentPrograms && oldest !== undefined) {
      this.settledTokens.delete(oldest);
    }
    void ballot.waitForReplies().then(() => {
      if (!ballot.mayBeRecorded) return;
      this.options.settlements.add(program, attempt, 0);
    });
  }

  /**
   * Decides by the merged ledgers, since each archive's own ledger may lag
   * behind the others, and those that have recorded the attempt may not be those
   * that recorded others while the home was down or cut off. Gets the error that
   * rejects the attempt, if any.
   */
  private async reserveByMergedLedgers(
    request: BallotedRequest,
    ballot: ReservationBallot,
  ): Promise<MarigoldpostError | undefined> {
    const {budgetTokens, tokens} = request;
    const leftTokens = budgetTokens - tokens;
    if (ballot.result === 'refused') {
      const {clients} = ballot;
      const ledgers = await readLedgers(request, clients);
      if (ledgers.settledTokens > leftTokens) {
        return createTokensSpentError(request, ledgers);
      }
      if (ledgers.heldTokens > leftTokens) {
        const isMajority =
          ledgers.repliedClients.length >= getMajority(clients.length);
        if (!isMajority) return this.createUnavailableError(request);
        return ledgers.firmTokens > leftTokens
          ? createTokensSpentError(request, ledgers)
          : createContentionError(request, ledgers);
      }
    }
    const isRecorded =
      ballot.result === 'granted' ||
      (ballot.result === 'contended' && ballot.isKnownAsContended);
    const recorded = isRecorded
      ? ballot
      : await this.requestReservation(request, true);
    if (
      recorded.isOutdated ||
      (recorded.result !== 'contended' && recorded.result !== 'granted')
    ) {
      return this.createUnavailableError(request);
    }
    const lists = await this.recordInObjects(request, recorded);
    if (lists === undefined) return this.createUnavailableError(request);
    // Concurrent attempts may be contended as well. Of two, at least one sees
    // the other now, since both are recorded at a quorum.
    const {grantingClients} = recorded;
    const ledgers = await readLedgers(request, grantingClients, lists);
    if (ledgers.settledTokens > leftTokens) {
      return createTokensSpentError(request, ledgers);
    }
    if (!recorded.isQuorum(ledgers.repliedClients)) {
      return this.createUnavailableError(request);
    }
    return ledgers.heldTokens > leftTokens
      ? createContentionError(request, ledgers)
      : undefined;
  }

  /**
   * Records a reservation in the object API unless enough disks have; gets what all entry VMs have recorded of its program.
   * `undefined` if the object API has not acknowledged it, or has another list of
   * archives.
   */
  private async recordInObjects(
    request: TokenRequest,
    ballot: ReservationBallot,
  ): Promise<LedgerEntry[][] | undefined> {
    const {objects, probe} = this.options;
    if (this.isOnEnoughDisks(ballot)) return [];
    // Its reply time-out is shorter than that of a write.
    if (!(await probe.checkWrites())) return undefined;
    // An attempt whose wait was aborted is settled already.
    if (request.signal.aborted) return undefined;
    try {
      return await objects.record(request);
    } catch {
      probe.recordFailedWrite();
      // The attempt is rejected, and settled with 0 tokens.
      return undefined;
    }
  }

  /**
   * Requests a reservation again each time an archive has returned; `undefined`
   * if no ballot decides it.
   */
  private async requestWithWait(
    request: BallotedRequest,
    retries: ArchiveRetries,
  ): Promise<ReservationBallot | undefined> {
    const {owedArchives} = this.options;
    for (;;) {
      const ballot = await this.requestReservation(request, false);
      if (ballot.isOutdated) continue;
      if (await this.isDecided(ballot)) return ballot;
      if (!(await retries.waitForReturn(owedArchives))) return undefined;
    }
  }

  /**
   * Whether no archive that returns is needed for a decision: the object API
   * takes the place of archives that are missing.
   */
  private async isDecided(ballot: ReservationBallot): Promise<boolean> {
    const {result} = ballot;
    if (result === 'unavailable') return false;
    if (result === 'spent' || this.isOnEnoughDisks(ballot)) return true;
    return result === 'refused' || this.options.probe.checkWrites();
  }

  /**
   * Whether a majority that includes the home has recorded a reservation, on more
   * disks than may be lost. Another one needs the object API.
   */
  private isOnEnoughDisks(ballot: ReservationBallot | undefined): boolean {
    if (ballot?.isAtHomeMajority !== true) return false;
    return ballot.grantingClients.length >= this.options.owedArchives;
  }

  private async requestReservation(
    request: BallotedRequest,
    isForced: boolean,
  ): Promise<ReservationBallot> {
    const {pool, clock, ownDataCentre, owedArchives} = this.options;
    const isListKnown = pool.getClients().length >= owedArchives;
    const location = {home: request.home, own: ownDataCentre};
    const ballot = ReservationBallot.create({
      clients: isListKnown ? pool.getVoters() : [],
      supersededDisks: pool.supersededDisks,
      onSuperseded: (disks) => pool.addSupersededDisks(disks),
      clock,
      location,
      reservation: {...request, isForced},
    });
    request.ballots.push(ballot);
    await ballot.run();
    if (ballot.result === 'spent') this.recordSpent(request, ballot);
    return ballot;
  }

  private createUnavailableError({
    program,
    tokens,
  }: TokenRequest): MarigoldpostError {
    return MarigoldpostError.create(
      'archive_unavailable',
      `too few archives granted ${tokens} tokens to program "${program}"`,
      {retryAfterMs: this.options.getRetryAfterMs()},
    );
  }
}

/**
 * Merges the ledgers of the archives that reply and those of entry VMs, without
 * the attempt itself.
 */
async function readLedgers(
  {program, attempt}: TokenRequest,
  clients: readonly ArchiveClient[],
  entryLedgers: ReadonlyArray<readonly LedgerEntry[]> = [],
): Promise<MergedLedgers> {
  const isInObjects = entryLedgers.length > 0;
  const replies = await Promise.allSettled(
    clients.map((client) => fetchCompleteLedgers(client, program, isInObjects)),
  );
  const archiveLedgers = replies.flatMap((reply) =>
    reply.status === 'fulfilled' ? reply.value.map(({entries}) => entries) : [],
  );
  const lists = [...archiveLedgers, ...entryLedgers].map((entries) =>
    entries.filter((entry) => entry.attempt !== attempt),
  );
  return {
    ...sumMergedTokens(lists),
    repliedClients: clients.filter(
      (_client, index) => replies[index]?.status === 'fulfilled',
    ),
  };
}

/**
 * Gets the ledgers of an archive; fails if it has lost its disk meanwhile, and
 * with it what it recorded before. Its ledger may be complete again: a majority
 * has what it lost, but of a reservation in the object API maybe nobody, if that
 * was written after the archive had read the object API.
 */
async function fetchCompleteLedgers(
  client: ArchiveClient,
  program: ProgramId,
  isInObjects: boolean,
): Promise<ProgramEntries[]> {
  const ledgers = await client.fetchLedgers(program);
  const {isComplete, disk} = await client.findTurns([]);
  const isSameDisk = disk === client.member.disk;
  if (isComplete && (isSameDisk || !isInObjects)) return ledgers;
  throw MarigoldpostError.create(
    'archive_unavailable',
    `the ledger of archive "${client.member.daemon}" is not complete, or on another disk`,
  );
}

/** Whether one of several promises resolves to `true`; none may reject. */
async function isAnyTrue(
  promises: ReadonlyArray<Promise<boolean>>,
): Promise<boolean> {
  const first = Deferred.create<boolean>();
  for (const promise of promises) {
    void promise.then((isTrue) => {
      if (isTrue) first.resolve(true);
    });
  }
  void Promise.all(promises).then(() => first.resolve(false));
  return first.promise;
}

/** What ended attempts have used is final, so such a refusal is too. */
function isOverBudget(
  {tokens, budgetTokens}: TokenRequest,
  settledTokens: number,
): boolean {
  return settledTokens > 0 && settledTokens + tokens > budgetTokens;
}

/** Spreads the retries of the attempts that saw each other. */
function createContentionError(
  {program, attempt, tokens}: TokenRequest,
  counts: MergedLedgers,
): MarigoldpostError {
  const spreadMs = getHashNumber(attempt) % contentionRetrySpreadMs;
  return MarigoldpostError.create(
    'limit_reached',
    `concurrent attempts of program "${program}" leave no room for ${tokens} tokens`,
    {
      retryAfterMs: minContentionRetryMs + spreadMs,
      counts: toRefusalCounts(counts),
    },
  );
}

function createTokensSpentError(
  {program, budgetTokens}: TokenRequest,
  counts: RefusalCounts,
): MarigoldpostError {
  return MarigoldpostError.create(
    'tokens_spent',
    `reservation of program "${program}" exceeds its budget of ${budgetTokens} tokens`,
    {counts: toRefusalCounts(counts)},
  );
}

function toRefusalCounts({
  settledTokens,
  heldTokens,
  openAttempts,
}: RefusalCounts): Record<string, number> {
  return {
    settledTokens,
    ...(heldTokens === undefined ? {} : {heldTokens}),
    ...(openAttempts === undefined ? {} : {openAttempts}),
  };
}
