/** Requests one reservation from archives until their votes decide it. */
import {type Clock, Deferred, getHashNumber} from '@marigoldpost/common';
import type {Reservation} from '../ledger/budget_ledger.js';
import {
  decideReservation,
  getMajority,
  isHomeMajority,
  isRecordedAtQuorum,
  type ReservationDecision,
  type ReservationLocation,
  type ReservationVote,
} from '../ledger/reservation_quorum.js';
import type {DiskId} from '../log/disk_identity.js';
import type {ArchiveClient} from './archive_client.js';
import {HedgeTimer} from './hedge_timer.js';

/**
 * Delays after which the remaining archives are asked too: after the first reply,
 * and if there is none.
 */
const hedgeDelays = {afterReplyMs: 30, silentMs: 500};

/**
 * Outcome of a ballot; `spent` if attempts that have ended leave too few tokens,
 * which no later vote can change.
 */
export type BallotResult = ReservationDecision | 'spent';

type ArchiveVote = Pick<ReservationVote, 'answer' | 'isComplete' | 'isExact'>;

/** Archives and reservation that a ballot covers. */
export interface ReservationBallotOptions {
  readonly clients: readonly ArchiveClient[];
  /** Disks of archives that are left out of the clients. */
  readonly supersededDisks: ReadonlySet<DiskId>;
  /** Called with disks that an archive has named since it leaves out more. */
  readonly onSuperseded: (disks: readonly DiskId[]) => void;
  readonly clock: Clock;
  readonly location: ReservationLocation;
  readonly reservation: Omit<Reservation, 'counter'>;
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
  /** Archives that a request was sent to; none is sent to unreachable ones. */
  private readonly sentIndexes = new Set<number>();
  private outcome: BallotResult = 'pending';
  private highestSettledTokens = 0;
  private hasSupersededVoter = false;
  private timer: HedgeTimer | undefined;
  private unaskedIndexes: number[];
  /** Archive whose count of the program is relied on, if any is registered. */
  private readonly counter: ArchiveClient | undefined;

  private constructor(private readonly options: ReservationBallotOptions) {
    const {clients} = options;
    this.counter = chooseCounter(options);
    this.votes = clients.map((client) => ({
      dataCentre: client.dataCentre,
      answer: 'pending',
      isComplete: false,
      isExact: false,
      isCounter: client === this.counter,
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
  async run(): Promise<void> {
    const {clients, clock} = this.options;
    this.timer = HedgeTimer.start({
      ...hedgeDelays,
      clock,
      onDue: () => this.requestVotes(clients.length),
    });
    this.requestVotes(getMajority(clients.length));
    this.decide();
    try {
      this.outcome = await this.decided.promise;
    } finally {
      this.timer.cancel();
    }
  }

  /** Result of the ballot, once it has run. */
  get result(): BallotResult {
    return this.outcome;
  }

  /** Archives that the ballot covers. */
  get clients(): readonly ArchiveClient[] {
    return this.options.clients;
  }

  /**
   * Whether an archive leaves out one of the voters, so that a ballot without it
   * has to decide.
   */
  get isOutdated(): boolean {
    return this.hasSupersededVoter;
  }

  /** Tokens that the program's attempts have used at least. */
  get settledTokens(): number {
    return this.highestSettledTokens;
  }

  /** Archives that have recorded the reservation, of those that replied. */
  get grantingClients(): readonly ArchiveClient[] {
    const {clients} = this.options;
    return clients.filter((_client, index) => {
      const vote = this.votes[index];
      return vote?.answer === 'granted' && vote.isComplete;
    });
  }

  /** Whether a majority that includes the program's home has recorded it. */
  get isAtHomeMajority(): boolean {
    return isHomeMajority(this.votes, this.options.location);
  }

  /** Whether every archive that has recorded it counts it as contended. */
  get isKnownAsContended(): boolean {
    return this.votes.every(
      ({answer, isExact}) => answer !== 'granted' || !isExact,
    );
  }

  /**
   * Whether some of the archives that have recorded the reservation are a
   * quorum without the others.
   * @param clients - Archives to count.
   */
  isQuorum(clients: readonly ArchiveClient[]): boolean {
    const votes = this.votes.map((vote, index): ReservationVote => {
      const client = this.options.clients[index];
      const isCounted = client !== undefined && clients.includes(client);
      // No quorum counts the vote of an archive with an incomplete ledger.
      const isIncomplete = vote.answer === 'granted' && !vote.isComplete;
      if (isCounted || isIncomplete || vote.answer === 'failed') return vote;
      // One that replied takes part in other quorums, so it is not down.
      return {...vote, answer: 'refused'};
    });
    return isRecordedAtQuorum(votes, this.options.location);
  }

  /** Whether an archive has recorded the reservation, or may do so yet. */
  get mayBeRecorded(): boolean {
    return [...this.sentIndexes].some(
      (index) => this.votes[index]?.answer !== 'refused',
    );
  }

  /** Resolves once each archive that was asked has replied or failed. */
  async waitForReplies(): Promise<void> {
    await Promise.all(this.requests);
  }

  /**
   * Confirms the reservation, so that it does not lapse, at so many archives that
   * have recorded it that each majority has one of them. `false` if too few
   * acknowledge that, or not the counter, which may be part of a quorum without the
   * others: that of an isolated home.
   * @param supersededDisks - Disks that are left out by now.
   */
  async confirm(supersededDisks: ReadonlySet<DiskId>): Promise<boolean> {
    const {counter} = this;
    const isVoter = ({member}: ArchiveClient) =>
      !supersededDisks.has(member.disk);
    const voters = this.options.clients.filter(isVoter).length;
    const needed = voters - getMajority(voters) + 1;
    const getRank = (client: ArchiveClient) => {
      if (client === counter) return 0;
      return client.dataCentre === counter?.dataCentre ? 2 : 1;
    };
    const clients = this.grantingClients
      .filter(isVoter)
      .toSorted((left, right) => getRank(left) - getRank(right));
    const confirmAt = (some: readonly ArchiveClient[]) =>
      Promise.all(
        some.map((client) => this.confirmAt(client, supersededDisks, voters)),
      );
    const first = await confirmAt(clients.slice(0, needed));
    const others = first.includes(false) ? clients.slice(needed) : [];
    const replies = [...first, ...(await confirmAt(others))];
    const hasCounter = clients[0] === counter && first[0] === true;
    return hasCounter && replies.filter(Boolean).length >= needed;
  }

  private async confirmAt(
    client: ArchiveClient,
    supersededDisks: ReadonlySet<DiskId>,
    voters: number,
  ): Promise<boolean> {
    const confirmed = {
      ...this.options.reservation,
      counter: this.counter?.member.disk ?? '',
      isForced: false,
      lapseMs: undefined,
    };
    try {
      const reply = await client.reserve(confirmed, supersededDisks, voters);
      this.recordSuperseded(reply.supersededDisks);
      return reply.isGranted;
    } catch {
      // The pool reports unreachable archives.
      return false;
    }
  }

  private requestVotes(maxCount: number): void {
    const nextIndexes = this.unaskedIndexes.slice(0, maxCount);
    this.unaskedIndexes = this.unaskedIndexes.slice(maxCount);
    for (const index of nextIndexes) {
      this.requests.push(this.requestVote(index));
    }
  }

  private async requestVote(index: number): Promise<void> {
    const {clients, reservation, supersededDisks} = this.options;
    const client = clients[index] as ArchiveClient;
    const counter = this.counter?.member.disk ?? '';
    if (client.isReachable) this.sentIndexes.add(index);
    try {
      const request = {...reservation, counter};
      const reply = await client.reserve(
        request,
        supersededDisks,
        clients.length,
      );
      this.timer?.recordReply();
      this.recordSuperseded(reply.supersededDisks);
      const answer = reply.isGranted ? 'granted' : 'refused';
      this.highestSettledTokens = Math.max(
        this.highestSettledTokens,
        reply.settledTokens,
      );
      const {isComplete, isExact} = reply;
      this.recordVote(index, {answer, isComplete, isExact});
    } catch {
      // The pool reports unreachable archives; here the vote is a failure.
      const vote = {isComplete: false, isExact: false};
      this.recordVote(index, {...vote, answer: 'failed'});
    }
  }

  private recordVote(index: number, vote: ArchiveVote): void {
    const {answer, isComplete} = vote;
    const pending = this.votes[index] as ReservationVote;
    this.votes[index] = {...pending, ...vote};
    if (answer === 'refused' && this.isSpent) {
      this.unaskedIndexes = [];
      this.decided.resolve('spent');
      return;
    }
    const isCompleteGrant = answer === 'granted' && isComplete;
    if (!isCompleteGrant) this.requestVotes(this.options.clients.length);
    this.decide();
  }

  private recordSuperseded(disks: readonly DiskId[]): void {
    const {supersededDisks, onSuperseded} = this.options;
    if (disks.every((disk) => supersededDisks.has(disk))) return;
    this.hasSupersededVoter = true;
    onSuperseded(disks);
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
 * Chooses the archive whose count of the program is relied on: one of its home,
 * since every quorum includes an archive there.
 */
function chooseCounter({
  clients,
  location,
  reservation,
}: ReservationBallotOptions): ArchiveClient | undefined {
  const atHome = clients.filter(({dataCentre}) => dataCentre === location.home);
  const getRank = ({member}: ArchiveClient) =>
    getHashNumber(`${reservation.program} ${member.disk}`);
  return (atHome.length > 0 ? atHome : clients).reduce<
    ArchiveClient | undefined
  >((best, client) => {
    if (best === undefined) return client;
    return getRank(client) > getRank(best) ? client : best;
  }, undefined);
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
    if (dataCentre === location.home) return -2;
    if (dataCentre === location.own) return -1;
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
