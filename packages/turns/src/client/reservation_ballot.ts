/** One round of asking archives for a reservation. */
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
  type ReservationPlace,
  type ReservationVote,
} from '../ledger/reservation_quorum.js';
import type {ArchiveClient} from './archive_client.js';

/** An archive that takes longer than this gets help from all others. */
const hedgeMs = 30;

/** Options of a ballot. */
export interface ReservationBallotOptions {
  readonly clients: readonly ArchiveClient[];
  readonly clock: Clock;
  readonly place: ReservationPlace;
  readonly reservation: Reservation;
}

/**
 * Ballot of one reservation. It asks a majority first, since each message costs
 * processor time at both ends, and all others as soon as one of them does not
 * simply grant it.
 */
export class ReservationBallot {
  private readonly votes: ReservationVote[];
  private readonly decided = Deferred.create<ReservationDecision>();
  private timer: Timer | undefined;
  private unasked: number[];

  private constructor(private readonly options: ReservationBallotOptions) {
    const {clients} = options;
    this.votes = clients.map(({dataCentre}) => ({
      dataCentre,
      answer: 'pending',
      isComplete: false,
    }));
    this.unasked = orderClients(options);
  }

  /**
   * Creates a ballot.
   * @param options - Whom to ask, and what for.
   */
  static create(options: ReservationBallotOptions): ReservationBallot {
    return new ReservationBallot(options);
  }

  /** Asks until it is decided. */
  async run(): Promise<ReservationDecision> {
    const {clients, clock} = this.options;
    this.timer = clock.setTimer(hedgeMs, () => this.ask(clients.length));
    this.ask(getMajority(clients.length));
    this.decide();
    try {
      return await this.decided.promise;
    } finally {
      this.timer.cancel();
    }
  }

  private ask(most: number): void {
    const asked = this.unasked.slice(0, most);
    this.unasked = this.unasked.slice(most);
    for (const index of asked) void this.askArchive(index);
  }

  private async askArchive(index: number): Promise<void> {
    const {clients, reservation} = this.options;
    const client = clients[index] as ArchiveClient;
    try {
      const reply = await client.reserve(reservation);
      const answer = reply.isGranted ? 'granted' : 'refused';
      this.setVote(index, answer, reply.isComplete);
    } catch {
      // The pool reports archives that fall silent; here it is one vote less.
      this.setVote(index, 'failed', false);
    }
  }

  private setVote(
    index: number,
    answer: ReservationAnswer,
    isComplete: boolean,
  ): void {
    const {dataCentre} = this.options.clients[index] as ArchiveClient;
    this.votes[index] = {dataCentre, answer, isComplete};
    const isPlain = answer === 'granted' && isComplete;
    if (!isPlain) this.ask(this.options.clients.length);
    this.decide();
  }

  private decide(): void {
    const decision = decideReservation(this.votes, this.options.place);
    if (decision !== 'pending') this.decided.resolve(decision);
  }
}

/** Indexes of the clients: those that must be heard, then by the program. */
function orderClients({
  clients,
  place,
  reservation,
}: ReservationBallotOptions): number[] {
  const getRank = ({isReachable, dataCentre, member}: ArchiveClient) => {
    if (!isReachable) return 2;
    if (dataCentre === place.home || dataCentre === place.own) return -1;
    // The same archives for all turns of a program, so that they know it.
    const range = 2 ** 32;
    return getHashNumber(`${reservation.program} ${member.daemon}`) / range;
  };
  return clients
    .map((client, index) => ({index, rank: getRank(client)}))
    .toSorted((left, right) => left.rank - right.rank)
    .map(({index}) => index);
}
