/** Reserves tokens of program budgets at a quorum of archives. */
import {
  type Clock,
  type DataCentreId,
  getHashNumber,
  MarigoldpostError,
  type ProgramId,
} from '@marigoldpost/common';
import type {TurnId} from '@marigoldpost/sites';
import {sumMergedTokens} from '../ledger/merge_entries.js';
import type {ArchivePool} from './archive_pool.js';
import type {ArchiveWait} from './archive_retries.js';
import {getArchiveRetryAfterMs} from './chain_reader.js';
import {type BallotResult, ReservationBallot} from './reservation_ballot.js';
import type {SettlementSender} from './settlement_sender.js';

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
  readonly budgetTokens: number;
  /** Data centre in which the program started. */
  readonly home: DataCentreId;
}

/** Archives and settlement sender that a client uses. */
export interface BudgetClientOptions {
  readonly pool: ArchivePool;
  readonly clock: Clock;
  readonly settlements: SettlementSender;
  readonly ownDataCentre: DataCentreId;
}

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
   * Reserves tokens. Throws `tokens_spent` when they exceed the budget,
   * `limit_reached` when concurrent attempts compete for the rest of it, and
   * `archive_unavailable` when too few archives reply to decide. In all cases
   * the attempt is settled with 0 tokens. Waits up to 1.5 s for archives that
   * have just become unreachable, since a restart takes about that long.
   * @param request - Attempt, tokens and budget.
   */
  async reserve(request: TokenRequest): Promise<void> {
    if (this.isKnownAsSpent(request)) throw createTokensSpentError(request);
    const decision = await this.requestWithWait(request);
    if (decision === 'granted') return;
    if (decision === 'spent') throw createTokensSpentError(request);
    if (decision === 'refused' && (await this.isWithinBudget(request))) {
      if ((await this.requestReservation(request, true)) === 'granted') {
        // Concurrent attempts may have been forced as well. Of two, at least one
        // sees the other now, since both are recorded at a majority.
        if (await this.isWithinBudget(request)) return;
        this.options.settlements.add(request.program, request.attempt, 0);
        throw createContentionError(request);
      }
    }
    this.options.settlements.add(request.program, request.attempt, 0);
    if (decision === 'refused') throw createTokensSpentError(request);
    throw MarigoldpostError.create(
      'archive_unavailable',
      `too few archives granted ${request.tokens} tokens to program "${request.program}"`,
      {retryAfterMs: getArchiveRetryAfterMs(this.options.pool)},
    );
  }

  /** What ended attempts have used is final, so such a refusal is too. */
  private isKnownAsSpent({
    program,
    tokens,
    budgetTokens,
  }: TokenRequest): boolean {
    const settledTokens = this.settledTokens.get(program) ?? 0;
    return settledTokens > 0 && settledTokens + tokens > budgetTokens;
  }

  private recordSpent(request: TokenRequest, ballot: ReservationBallot): void {
    const {program, attempt} = request;
    this.settledTokens.delete(program);
    this.settledTokens.set(program, ballot.settledTokens);
    const [oldest] = this.settledTokens.keys();
    if (this.settledTokens.size > maxSpentPrograms && oldest !== undefined) {
      this.settledTokens.delete(oldest);
    }
    void ballot.mayBeRecorded().then((mayBeRecorded) => {
      if (mayBeRecorded) this.options.settlements.add(program, attempt, 0);
    });
  }

  /** Requests a reservation again each time an archive has returned. */
  private async requestWithWait(request: TokenRequest): Promise<BallotResult> {
    const retries = this.options.pool.createRetries(request);
    for (;;) {
      const decision = await this.requestReservation(request, false);
      if (decision !== 'unavailable') return decision;
      if (!(await retries.waitForReturn())) return decision;
    }
  }

  private async requestReservation(
    request: TokenRequest,
    isForced: boolean,
  ): Promise<BallotResult> {
    const {pool, clock, ownDataCentre} = this.options;
    const location = {home: request.home, own: ownDataCentre};
    const ballot = ReservationBallot.create({
      clients: pool.getClients(),
      clock,
      location,
      reservation: {...request, isForced},
    });
    const result = await ballot.run();
    if (result === 'spent') this.recordSpent(request, ballot);
    return result;
  }

  /**
   * Checks the budget against the merged ledgers of all archives, since each
   * archive's own ledger may lag behind the others.
   */
  private async isWithinBudget(request: TokenRequest): Promise<boolean> {
    const {program, attempt, tokens, budgetTokens} = request;
    const replies = await Promise.allSettled(
      this.options.pool
        .getClients()
        .map((client) => client.fetchLedgers(program)),
    );
    const lists = replies.flatMap((reply) =>
      reply.status === 'fulfilled'
        ? reply.value.map(({entries}) =>
            entries.filter((entry) => entry.attempt !== attempt),
          )
        : [],
    );
    return sumMergedTokens(lists) + tokens <= budgetTokens;
  }
}

/** Spreads the retries of the attempts that saw each other. */
function createContentionError({
  program,
  attempt,
  tokens,
}: TokenRequest): MarigoldpostError {
  const spreadMs = getHashNumber(attempt) % contentionRetrySpreadMs;
  return MarigoldpostError.create(
    'limit_reached',
    `concurrent attempts of program "${program}" leave no room for ${tokens} tokens`,
    {retryAfterMs: minContentionRetryMs + spreadMs},
  );
}

function createTokensSpentError({
  program,
  budgetTokens,
}: TokenRequest): MarigoldpostError {
  return MarigoldpostError.create(
    'tokens_spent',
    `reservation of program "${program}" exceeds its budget of ${budgetTokens} tokens`,
  );
}
