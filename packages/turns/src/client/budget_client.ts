/** Reserves tokens of programs at the archives. */
import {
  type Clock,
  type DataCentreId,
  MarigoldpostError,
  type ProgramId,
} from '@marigoldpost/common';
import type {TurnId} from '@marigoldpost/sites';
import {sumMergedTokens} from '../ledger/merge_entries.js';
import type {ReservationDecision} from '../ledger/reservation_quorum.js';
import type {ArchivePool} from './archive_pool.js';
import {getUnavailableRetryMs} from './chain_reader.js';
import {ReservationBallot} from './reservation_ballot.js';
import type {SettlementSender} from './settlement_sender.js';

/** What an attempt at a turn needs of its program's budget. */
export interface TokenRequest {
  readonly program: ProgramId;
  readonly attempt: TurnId;
  /** Most tokens that the attempt generates. */
  readonly tokens: number;
  readonly budgetTokens: number;
  /** Data centre in which the program began. */
  readonly home: DataCentreId;
}

/** Options of a client. */
export interface BudgetClientOptions {
  readonly pool: ArchivePool;
  readonly clock: Clock;
  readonly settlements: SettlementSender;
  readonly ownDataCentre: DataCentreId;
}

/** Client of the budgets. */
export class BudgetClient {
  private constructor(private readonly options: BudgetClientOptions) {}

  /**
   * Creates a client.
   * @param options - The archives.
   */
  static create(options: BudgetClientOptions): BudgetClient {
    return new BudgetClient(options);
  }

  /**
   * Reserves tokens. Throws `tokens_spent` when the budget does not hold them,
   * `archive_unavailable` when that cannot be known; nothing is reserved then.
   * @param request - What to reserve.
   */
  async reserve(request: TokenRequest): Promise<void> {
    const decision = await this.askArchives(request, false);
    if (decision === 'granted') return;
    if (decision === 'refused' && (await this.isWithinBudget(request))) {
      if ((await this.askArchives(request, true)) === 'granted') return;
    }
    this.options.settlements.add(request.program, request.attempt, 0);
    if (decision === 'refused') throw createSpent(request);
    throw MarigoldpostError.create(
      'archive_unavailable',
      `the budget of program "${request.program}" cannot be counted`,
      {retryAfterMs: getUnavailableRetryMs(this.options.pool)},
    );
  }

  private async askArchives(
    request: TokenRequest,
    isForced: boolean,
  ): Promise<ReservationDecision> {
    const {pool, clock, ownDataCentre} = this.options;
    const place = {home: request.home, own: ownDataCentre};
    const ballot = ReservationBallot.create({
      clients: pool.getClients(),
      clock,
      place,
      reservation: {...request, isForced},
    });
    return ballot.run();
  }

  /** Archives lag each other; together they know what is really used. */
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

function createSpent({program, budgetTokens}: TokenRequest): MarigoldpostError {
  return MarigoldpostError.create(
    'tokens_spent',
    `program "${program}" has spent its budget of ${budgetTokens} tokens`,
  );
}
