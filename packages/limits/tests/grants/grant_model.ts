/** Holders, keepers and a faulty way between them, on a virtual clock. */
import type {VirtualClock} from '@marigoldpost/common';
import {
  type DaemonId,
  MarigoldpostError,
  SeededRandom,
  toId,
} from '@marigoldpost/common';
import {
  type GrantClient,
  GrantHolder,
  getServiceLimit,
  LimitKeeper,
  type LimitPermit,
  type LimitTerms,
  RateHolder,
} from '@marigoldpost/limits';
import type {GrantReply, GrantRequest, GrantReturn} from '@marigoldpost/peers';
import {PausableClock} from '@marigoldpost/standins';

/** What is left out of the build under test. */
export type Fault =
  | 'nothing'
  | 'wait for old grants'
  | 'check of the expiry'
  | 'check of the lease';

/** State of one holder's way to the keeper. */
export type Link =
  'open' | 'loses requests' | 'loses replies' | 'slow' | 'to former keeper';

/** One step of a run. */
export type Step =
  | {kind: 'acquire' | 'release'; holder: number}
  | {kind: 'pause'; holder: number; isPaused: boolean}
  | {kind: 'link'; holder: number; link: Link}
  | {kind: 'takeover'}
  | {kind: 'wait'; ms: number};

export const holderCount = 3;
export const limitAmount = 4;
export const maxDurationMs = 3000;
const slowMs = 1500;
const limit = getServiceLimit(toId('planner'), 'in_flight');
const rateLimit = getServiceLimit(toId('planner'), 'requests');

/** Terms of the limit on requests in flight. */
export const inFlightTerms: LimitTerms = {
  amount: limitAmount,
  quantum: 1,
  termMs: 4000,
  maxDurationMs,
};

/** Terms of the limit on requests a second. */
export const rateTerms: LimitTerms = {
  amount: limitAmount,
  quantum: 1,
  termMs: 4000,
  maxDurationMs: 0,
};

/** Daemons that keep the limit in turn; only the last one has the lease. */
export class KeeperSeries {
  private keepers: LimitKeeper[] = [];

  constructor(
    private readonly clock: VirtualClock,
    private readonly terms: LimitTerms,
    private readonly fault: Fault,
  ) {
    this.addKeeper(false);
  }

  /** Number of the keeper that requests are sent to now. */
  get newest(): number {
    return this.keepers.length - 1;
  }

  takeOver(): void {
    this.addKeeper(this.fault !== 'wait for old grants');
  }

  getKeeper(index: number): LimitKeeper {
    return this.keepers[index] as LimitKeeper;
  }

  private addKeeper(hasPredecessor: boolean): void {
    const index = this.keepers.length;
    const keeper = LimitKeeper.create({
      clock: this.clock,
      getTerms: () => this.terms,
      isHolder: () =>
        index === this.newest || this.fault === 'check of the lease',
      hasPredecessor,
    });
    this.keepers.push(keeper);
  }
}

/** Way of one holder to the keepers. */
export class FaultyClient implements GrantClient {
  link: Link = 'open';

  constructor(
    private readonly clock: VirtualClock,
    private readonly keepers: KeeperSeries,
  ) {}

  async requestGrant(request: GrantRequest): Promise<GrantReply> {
    const keeper = this.chooseKeeper();
    await this.pass('loses requests');
    const reply = keeper.handleGrantRequest(request);
    await this.pass('loses replies');
    return reply;
  }

  async returnGrant(message: GrantReturn): Promise<void> {
    const keeper = this.chooseKeeper();
    await this.pass('loses requests');
    keeper.handleGrantReturn(message);
  }

  /** The keeper is chosen at the sending: at the arrival it may be another. */
  private chooseKeeper(): LimitKeeper {
    const {newest} = this.keepers;
    const isStale = this.link === 'to former keeper';
    return this.keepers.getKeeper(isStale ? Math.max(0, newest - 1) : newest);
  }

  private async pass(lossy: Link): Promise<void> {
    if (this.link === 'slow') await this.clock.sleep(slowMs);
    if (this.link !== lossy) return;
    throw MarigoldpostError.create('peer_lost', 'lost on the way');
  }
}

interface Running {
  readonly permit: LimitPermit;
  readonly endsAtMs: number;
}

/** Holder of a limit in flight, and the requests that truly run. */
export class ModelHolder {
  readonly clock: PausableClock;
  readonly client: FaultyClient;
  private readonly holder: GrantHolder;
  private running: Running[] = [];
  private isPaused = false;

  constructor(
    private readonly trueClock: VirtualClock,
    keepers: KeeperSeries,
    index: number,
    fault: Fault,
  ) {
    this.clock = PausableClock.create(trueClock);
    this.client = new FaultyClient(trueClock, keepers);
    this.holder = GrantHolder.create({
      limit,
      daemon: toId<DaemonId>(`daemon-${index}`),
      clock: this.clock,
      random: SeededRandom.create(index),
      client: this.client,
      maxDurationMs: fault === 'check of the expiry' ? 0 : maxDurationMs,
    });
  }

  setPaused(isPaused: boolean): void {
    this.isPaused = isPaused;
    this.clock.setPaused(isPaused);
  }

  /** Asks for a permit; a request runs under it for as long as it may. */
  acquire(): void {
    if (this.isPaused) return;
    this.holder.acquire().then(
      (permit) => this.addRequest(permit),
      () => undefined,
    );
  }

  /** Ends the oldest request. */
  release(): void {
    if (this.isPaused) return;
    this.running.shift()?.permit.release();
  }

  /** Number of requests that targets run now. */
  countRunning(): number {
    const nowMs = this.trueClock.nowMs();
    for (const {permit, endsAtMs} of this.running) {
      if (nowMs >= endsAtMs && !this.isPaused) permit.release();
    }
    if (!this.isPaused) {
      this.running = this.running.filter(({endsAtMs}) => nowMs < endsAtMs);
    }
    return this.running.filter(({endsAtMs}) => nowMs < endsAtMs).length;
  }

  private addRequest(permit: LimitPermit): void {
    const endsAtMs = this.trueClock.nowMs() + maxDurationMs;
    this.running.push({permit, endsAtMs});
  }
}

/** Holder of a rate, and when it used what. */
export class RateUser {
  readonly clock: PausableClock;
  readonly client: FaultyClient;
  readonly usedAtMs: number[] = [];
  private readonly holder: RateHolder;
  private isPaused = false;

  constructor(
    private readonly trueClock: VirtualClock,
    keepers: KeeperSeries,
    index: number,
  ) {
    this.clock = PausableClock.create(trueClock);
    this.client = new FaultyClient(trueClock, keepers);
    this.holder = RateHolder.create({
      limit: rateLimit,
      daemon: toId<DaemonId>(`daemon-${index}`),
      clock: this.clock,
      random: SeededRandom.create(index),
      client: this.client,
    });
  }

  setPaused(isPaused: boolean): void {
    this.isPaused = isPaused;
    this.clock.setPaused(isPaused);
  }

  acquire(): void {
    if (this.isPaused) return;
    this.holder.acquire(1).then(
      () => this.usedAtMs.push(this.trueClock.nowMs()),
      () => undefined,
    );
  }
}
