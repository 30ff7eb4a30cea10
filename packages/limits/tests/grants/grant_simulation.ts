/** Simulated holders, allocators and faulty links, on a virtual clock. */
import type {VirtualClock} from '@marigoldpost/common';
import {
  type DaemonId,
  MarigoldpostError,
  SeededRandom,
  toId,
} from '@marigoldpost/common';
import {
  type GrantClient,
  ConcurrencyLimiter,
  getServiceLimit,
  LimitAllocator,
  type LimitPermit,
  type LimitTerms,
  RateLimiter,
} from '@marigoldpost/limits';
import type {GrantReply, GrantRequest, GrantReturn} from '@marigoldpost/peers';
import {PausableClock} from '@marigoldpost/standins';

/** Safeguard that the simulated build lacks; `nothing` for a correct build. */
export type Fault =
  | 'nothing'
  | 'wait for old grants'
  | 'check of the expiry'
  | 'check of the lease';

/** State of the link from a holder to the allocator. */
export type Link =
  'open' | 'loses requests' | 'loses replies' | 'slow' | 'to former keeper';

/** One step of a simulated run. */
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

/** Terms of the limit on requests per second. */
export const rateTerms: LimitTerms = {
  amount: limitAmount,
  quantum: 1,
  termMs: 4000,
  maxDurationMs: 0,
};

/** Successive allocators of the limit; only the last one has the lease. */
export class AllocatorSeries {
  private allocators: LimitAllocator[] = [];

  constructor(
    private readonly clock: VirtualClock,
    private readonly terms: LimitTerms,
    private readonly fault: Fault,
  ) {
    this.addAllocator(false);
  }

  /** Index of the current allocator. */
  get newest(): number {
    return this.allocators.length - 1;
  }

  takeOver(): void {
    this.addAllocator(this.fault !== 'wait for old grants');
  }

  getAllocator(index: number): LimitAllocator {
    return this.allocators[index] as LimitAllocator;
  }

  private addAllocator(hasPredecessor: boolean): void {
    const index = this.allocators.length;
    const allocator = LimitAllocator.create({
      clock: this.clock,
      getTerms: () => this.terms,
      holdsPartition: () =>
        index === this.newest || this.fault === 'check of the lease',
      hasPredecessor,
    });
    this.allocators.push(allocator);
  }
}

/** Faulty link from one holder to the allocators. */
export class FaultyClient implements GrantClient {
  link: Link = 'open';

  constructor(
    private readonly clock: VirtualClock,
    private readonly allocators: AllocatorSeries,
  ) {}

  async requestGrant(request: GrantRequest): Promise<GrantReply> {
    const allocator = this.chooseAllocator();
    await this.transmit('loses requests');
    const reply = allocator.handleGrantRequest(request);
    await this.transmit('loses replies');
    return reply;
  }

  async returnGrant(message: GrantReturn): Promise<void> {
    const allocator = this.chooseAllocator();
    await this.transmit('loses requests');
    allocator.handleGrantReturn(message);
  }

  /** Chosen when sending; on arrival another allocator may be current. */
  private chooseAllocator(): LimitAllocator {
    const {newest} = this.allocators;
    const isStale = this.link === 'to former keeper';
    return this.allocators.getAllocator(
      isStale ? Math.max(0, newest - 1) : newest,
    );
  }

  private async transmit(lossy: Link): Promise<void> {
    if (this.link === 'slow') await this.clock.sleep(slowMs);
    if (this.link !== lossy) return;
    throw MarigoldpostError.create(
      'peer_lost',
      'message lost on the simulated link',
    );
  }
}

interface Running {
  readonly permit: LimitPermit;
  readonly endsAtMs: number;
}

/** Holder of an in-flight limit, and the requests that run at targets. */
export class TestHolder {
  readonly clock: PausableClock;
  readonly client: FaultyClient;
  private readonly holder: ConcurrencyLimiter;
  private running: Running[] = [];
  private isPaused = false;

  constructor(
    private readonly trueClock: VirtualClock,
    allocators: AllocatorSeries,
    index: number,
    fault: Fault,
  ) {
    this.clock = PausableClock.create(trueClock);
    this.client = new FaultyClient(trueClock, allocators);
    this.holder = ConcurrencyLimiter.create({
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

  /** Acquires a permit, and runs a request of maximum duration under it. */
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

  /** Releases finished requests and counts those that run at targets. */
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

/** Holder of a rate limit, and the times at which it used a unit. */
export class TestRateHolder {
  readonly clock: PausableClock;
  readonly client: FaultyClient;
  readonly usedAtMs: number[] = [];
  private readonly holder: RateLimiter;
  private isPaused = false;

  constructor(
    private readonly trueClock: VirtualClock,
    allocators: AllocatorSeries,
    index: number,
  ) {
    this.clock = PausableClock.create(trueClock);
    this.client = new FaultyClient(trueClock, allocators);
    this.holder = RateLimiter.create({
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
