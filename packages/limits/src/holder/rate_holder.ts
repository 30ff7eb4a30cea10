/** One daemon's use of a limit on requests or tokens a second. */
import type {Timer} from '@marigoldpost/common';
import {GrantSession, type GrantSessionOptions} from './grant_session.js';
import {RenewalLoop} from './renewal_loop.js';
import {TokenBucket} from './token_bucket.js';
import {WaitingLine} from './waiting_line.js';

const defaultMaxWaitMs = 2000;
const msPerSecond = 1000;
/** More than the use of late is asked for, so that it can grow. */
const growth = 1.25;

/** Options of a holder. */
export interface RateHolderOptions extends GrantSessionOptions {
  /** Longest wait for a permit, in milliseconds; 2 s by default. */
  readonly maxWaitMs?: number;
}

/** Right to use some units now. */
export interface RatePermit {
  /**
   * Gives back what was not used; a second call changes nothing.
   * @param usedCost - What was used of the cost taken.
   */
  settle(usedCost: number): void;
}

/** Hands out units within the granted rate. */
export class RateHolder {
  private readonly session: GrantSession;
  private readonly line: WaitingLine<RatePermit>;
  private readonly loop: RenewalLoop;
  private readonly bucket: TokenBucket;
  private serveTimer: Timer | undefined;
  private takenCost = 0;
  private takenSinceMs: number;

  private constructor(private readonly options: RateHolderOptions) {
    const {limit, clock, maxWaitMs = defaultMaxWaitMs} = options;
    this.session = GrantSession.create(options);
    this.bucket = TokenBucket.create(clock.nowMs());
    this.line = WaitingLine.create({
      limit,
      clock,
      maxWaitMs,
      getRetryAfterMs: () => this.session.retryAfterMs,
    });
    this.loop = this.createLoop();
    this.takenSinceMs = clock.nowMs();
  }

  /**
   * Creates a holder without a grant; it asks for one when it is needed.
   * @param options - Limit, clock and way to the keeper.
   */
  static create(options: RateHolderOptions): RateHolder {
    return new RateHolder(options);
  }

  /**
   * Waits until units may be used; throws `limit_reached` or `cancelled`.
   * @param cost - Units, at worst; above a second's worth they pass when a
   *   whole second's worth is there, and hold back what comes next.
   * @param signal - Gives up.
   */
  async acquire(cost: number, signal?: AbortSignal): Promise<RatePermit> {
    const permit = this.line.size > 0 ? undefined : this.tryTake(cost);
    if (permit !== undefined) return permit;
    const waiting = this.line.wait(cost, signal);
    this.loop.requestNow();
    this.scheduleServe();
    return waiting;
  }

  /** Ends the renewals and gives the rate back. */
  async stop(): Promise<void> {
    this.loop.stop();
    this.serveTimer?.cancel();
    // Without an answer the grant lapses by itself.
    await this.session.giveBack(0).catch(() => undefined);
  }

  private createLoop(): RenewalLoop {
    return RenewalLoop.create({
      clock: this.options.clock,
      renew: () => this.renew(),
      onRenewed: () => this.serveLine(),
      isNeeded: () => this.line.size > 0 || this.session.getAmount() > 0,
      getSlackMs: () => this.session.termMs,
      getRetryAfterMs: () => this.session.retryAfterMs,
    });
  }

  private tryTake(cost: number): RatePermit | undefined {
    this.bucket.refill(this.options.clock.nowMs());
    if (!this.bucket.take(cost)) return undefined;
    this.takenCost += cost;
    return this.createPermit(cost);
  }

  private createPermit(cost: number): RatePermit {
    const expiresAtMs = this.session.getExpiryMs();
    let isSettled = false;
    const settle = (usedCost: number) => {
      if (isSettled) return;
      isSettled = true;
      // What a lapsed grant left over belongs to whoever has the rate now.
      if (this.options.clock.nowMs() >= expiresAtMs) return;
      this.bucket.refill(this.options.clock.nowMs());
      this.bucket.giveBack(Math.max(0, cost - usedCost));
      this.serveLine();
    };
    return {settle};
  }

  private serveLine(): void {
    this.line.serve((cost) => this.tryTake(cost));
    if (this.line.size === 0) return;
    this.loop.requestNow();
    this.scheduleServe();
  }

  /** Looks again when the bucket has what the first request needs. */
  private scheduleServe(): void {
    const waitMs = this.bucket.getWaitMs(this.line.getFirstCost());
    if (!Number.isFinite(waitMs)) return;
    this.serveTimer?.cancel();
    this.serveTimer = this.options.clock.setTimer(Math.ceil(waitMs) || 1, () =>
      this.serveLine(),
    );
  }

  private async renew(): Promise<void> {
    await this.session.renew(this.takeWantedRate(), 0);
    const {clock} = this.options;
    const rate = this.session.getAmount();
    this.bucket.setRate(clock.nowMs(), rate, this.session.getExpiryMs());
  }

  /** Gets the rate of late, with what waits as if it came in one second. */
  private takeWantedRate(): number {
    const nowMs = this.options.clock.nowMs();
    const elapsedMs = Math.max(msPerSecond, nowMs - this.takenSinceMs);
    const usedRate = (this.takenCost * msPerSecond) / elapsedMs;
    this.takenCost = 0;
    this.takenSinceMs = nowMs;
    return usedRate * growth + this.line.getTotalCost();
  }
}
