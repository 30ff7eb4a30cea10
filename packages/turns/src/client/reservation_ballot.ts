/** Requests one reservation from archives until their votes decide it. */
import {
  type Clock,
  Deferred,
  getHashNumber,
  type Timer,
} from '@marigoldpost/common';
import type {Reservation} from '../ledger/budget_ledger.js';
import {
  decideReservation,
  getMajority,
  type ReservationAnswer,
  type ReservationDecision,
  type ReservationLocation,
  type ReservationVote,
} from '../ledger/reservation_quorum.js';
import type {ArchiveClient} from './archive_client.js';

/** Delay after which the remaining archives are asked too (hedging). */
const hedgeDelayMs = 30;

/**
 * Outcome of a ballot; `spent` if attempts that have ended leave too few tokens,
 * which no later vote can change.
 */
export type BallotResult = ReservationDecision | 'spent';

/** Archives and reservation that a ballot covers. */
export interface ReservationBallotOptions {
  readonly clients: readonly ArchiveClient[];
  readonly clock: Clock;
  readonly location: ReservationLocation;
  readonly reservation: Reservation;
}

/**
 * Collects the votes of archives on one reservation. It asks only a majority at
 * first, since each message costs processor time at both ends. It asks all
 * others as soon as one archive refuses, fails, is incomplete or is slow.
 */
export class ReservationBallot {
  private readonly votes: ReservationVote[];
  private readonly decided = Deferred.create<BallotResult>();
  private readonly requests: Promise<void>[] = [];
  private highestSettledTokens = 0;
  private timer: Timer | undefined;
  private unaskedIndexes: number[];

  private constructor(private readonly options: ReservationBallotOptions) {
    const {clients} = options;
    this.votes = clients.map(({dataCentre}) => ({
      dataCentre,
      answer: 'pending',
      isComplete: false,
    }));
    this.unaskedIndexes = orderClients(options);
  }

  /**
   * Creates a ballot that has asked no archive yet.
   * @param options - Archives, clock, data centres and reservation.
   */
  static create(options: ReservationBallotOptions): ReservationBallot {
    return new ReservationBallot(options);
  }

  /** Requests votes until they decide on the reservation. */
  async run(): Promise<BallotResult> {
    const {clients, clock} = this.options;
    this.timer = clock.setTimer(hedgeDelayMs, () =>
      this.requestVotes(clients.length),
    );
    this.requestVotes(getMajority(clients.length));
    this.decide();
    try {
      return await this.decided.promise;
    } finally {
      this.timer.cancel();
    }
  }

  /** Tokens that the program's attempts have used at least. */
  get settledTokens(): number {
    return this.highestSettledTokens;
  }

  /** Whether an archive may have recorded the reservation, once all replied. */
  async mayBeRecorded(): Promise<boolean> {
    await Promise.all(this.requests);
    return this.votes.some(
      ({answer}) => answer === 'granted' || answer === 'failed',
    );
  }

  private requestVotes(maxCount: number): void {
    const nextIndexes = this.unaskedIndexes.slice(0, maxCount);
    this.unaskedIndexes = this.unaskedIndexes.slice(maxCount);
    for (const index of nextIndexes) {
      this.requests.push(this.requestVote(index));
    }
  }

  private async requestVote(index: number): Promise<void> {
    const {clients, reservation} = this.options;
    const client = clients[index] as ArchiveClient;
    try {
      const reply = await client.reserve(reservation);
      const answer = reply.isGranted ? 'granted' : 'refused';
      this.highestSettledTokens = Math.max(
        this.highestSettledTokens,
        reply.settledTokens,
      );
      this.recordVote(index, answer, reply.isComplete);
    } catch {
      // The pool reports unreachable archives; here the vote is a failure.
      this.recordVote(index, 'failed', false);
    }
  }

  private recordVote(
    index: number,
    answer: ReservationAnswer,
    isComplete: boolean,
  ): void {
    const {dataCentre} = this.options.clients[index] as ArchiveClient;
    this.votes[index] = {dataCentre, answer, isComplete};
    if (answer === 'refused' && this.isSpent) {
      this.unaskedIndexes = [];
      this.decided.resolve('spent');
      return;
    }
    const isCompleteGrant = answer === 'granted' && isComplete;
    if (!isCompleteGrant) this.requestVotes(this.options.clients.length);
    this.decide();
  }

  private get isSpent(): boolean {
    const {tokens, budgetTokens} = this.options.reservation;
    return this.highestSettledTokens + tokens > budgetTokens;
  }

  private decide(): void {
    const decision = decideReservation(this.votes, this.options.location);
    if (decision !== 'pending') this.decided.resolve(decision);
  }
}

/**
 * Orders client indexes: the home and own data centres first, then the other
 * reachable archives by hash of the program, unreachable ones last.
 */
function orderClients({
  clients,
  location,
  reservation,
}: ReservationBallotOptions): number[] {
  const getRank = ({isReachable, dataCentre, member}: ArchiveClient) => {
    if (!isReachable) return 2;
    if (dataCentre === location.home || dataCentre === location.own) return -1;
    // Asks the same archives for all turns of a program, so that their ledgers
    // already have its entries.
    const hashRange = 2 ** 32;
    return getHashNumber(`${reservation.program} ${member.daemon}`) / hashRange;
  };
  return clients
    .map((client, index) => ({index, rank: getRank(client)}))
    .toSorted((left, right) => left.rank - right.rank)
    .map(({index}) => index);
}
