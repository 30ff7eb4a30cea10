/** Enforces a limit on requests or tokens per second on one daemon. */
import type {Timer} from '@marigoldpost/common';
import {GrantSession, type GrantSessionOptions} from './grant_session.js';
import {PermitQueue} from './permit_queue.js';
import {RenewalLoop} from './renewal_loop.js';
import {TokenBucket} from './token_bucket.js';

const defaultMaxWaitMs = 2000;
const msPerSecond = 1000;
/** Factor of the wanted rate over the recent rate, so that use can grow. */
const growthFactor = 1.25;

/** Session and longest wait of a limiter. */
export interface RateLimiterOptions extends GrantSessionOptions {
  /** Maximum wait for a permit, in milliseconds; 2 s by default. */
  readonly maxWaitMs?: number;
}

/** Permission to use some units now. */
export interface RatePermit {
  /**
   * Refunds unused units; later calls are ignored.
   * @param usedCost - Units that were used of those taken.
   */
  settle(usedCost: number): void;
}

/** Issues permits for units at the granted rate. */
export class RateLimiter {
  private readonly session: GrantSession;
  private readonly line: PermitQueue<RatePermit>;
  private readonly renewalLoop: RenewalLoop;
  private readonly bucket: TokenBucket;
  private serveTimer: Timer | undefined;
  private takenCost = 0;
  private takenSinceMs: number;

  private constructor(private readonly options: RateLimiterOptions) {
    const {limit, clock, maxWaitMs = defaultMaxWaitMs} = options;
    this.session = GrantSession.create(options);
    this.bucket = TokenBucket.create(clock.nowMs());
    this.line = PermitQueue.create({
      limit,
      clock,
      maxWaitMs,
      getRetryAfterMs: () => this.session.retryAfterMs,
    });
    this.renewalLoop = this.createLoop();
    this.takenSinceMs = clock.nowMs();
  }

  /**
   * Creates a limiter without a grant; the first request asks for one.
   * @param options - Limit, clock and client for the allocator.
   */
  static create(options: RateLimiterOptions): RateLimiter {
    return new RateLimiter(options);
  }

  /**
   * Waits until units may be used; throws `limit_reached` or `cancelled`.
   * @param cost - Maximum units of the request. A cost above one second's worth
   *   is admitted by a full bucket, and delays the requests after it.
   * @param signal - Aborts the wait.
   */
  async acquire(cost: number, signal?: AbortSignal): Promise<RatePermit> {
    const permit = this.line.size > 0 ? undefined : this.tryTakePermit(cost);
    if (permit !== undefined) return permit;
    const waiting = this.line.wait(cost, signal);
    this.renewalLoop.requestRenewal();
    this.scheduleServeQueue();
    return waiting;
  }

  /** Stops renewing the grant and returns it. */
  async stop(): Promise<void> {
    this.renewalLoop.stop();
    this.serveTimer?.cancel();
    // If the return fails, the grant expires by itself.
    await this.session.returnUnused(0).catch(() => undefined);
  }

  private createLoop(): RenewalLoop {
    return RenewalLoop.create({
      clock: this.options.clock,
      renew: () => this.renew(),
      onAttempted: () => this.serveQueue(),
      isNeeded: () => this.line.size > 0 || this.session.getAmount() > 0,
      getSlackMs: () => this.session.termMs,
      getRetryAfterMs: () => this.session.retryAfterMs,
    });
  }

  private tryTakePermit(cost: number): RatePermit | undefined {
    this.bucket.refill(this.options.clock.nowMs());
    if (!this.bucket.tryTake(cost)) return undefined;
    this.takenCost += cost;
    return this.createPermit(cost);
  }

  private createPermit(cost: number): RatePermit {
    const expiresAtMs = this.session.getExpiryMs();
    let isSettled = false;
    const settle = (usedCost: number) => {
      if (isSettled) return;
      isSettled = true;
      // Units of an expired grant may have been granted to another holder.
      if (this.options.clock.nowMs() >= expiresAtMs) return;
      this.bucket.refill(this.options.clock.nowMs());
      this.bucket.refund(Math.max(0, cost - usedCost));
      this.serveQueue();
    };
    return {settle};
  }

  private serveQueue(): void {
    this.line.serve((cost) => this.tryTakePermit(cost));
    if (this.line.size === 0) return;
    this.renewalLoop.requestRenewal();
    this.scheduleServeQueue();
  }

  /** Serves the queue again when the bucket covers the first request. */
  private scheduleServeQueue(): void {
    const waitMs = this.bucket.getWaitMs(this.line.getFirstCost());
    if (!Number.isFinite(waitMs)) return;
    this.serveTimer?.cancel();
    this.serveTimer = this.options.clock.setTimer(Math.ceil(waitMs) || 1, () =>
      this.serveQueue(),
    );
  }

  private async renew(): Promise<void> {
    await this.session.renew(this.takeWantedRate(), 0);
    const {clock} = this.options;
    const rate = this.session.getAmount();
    this.bucket.setRate(clock.nowMs(), rate, this.session.getExpiryMs());
  }

  /**
   * Gets the wanted rate: the recent rate with room to grow, plus the queued
   * cost as if it arrived in one second. Resets the measured use.
   */
  private takeWantedRate(): number {
    const nowMs = this.options.clock.nowMs();
    const elapsedMs = Math.max(msPerSecond, nowMs - this.takenSinceMs);
    const usedRate = (this.takenCost * msPerSecond) / elapsedMs;
    this.takenCost = 0;
    this.takenSinceMs = nowMs;
    return usedRate * growthFactor + this.line.getTotalCost();
  }
}
