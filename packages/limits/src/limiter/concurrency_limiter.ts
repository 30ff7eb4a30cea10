/** Enforces a limit on requests in flight on one daemon. */
import {GrantSession, type GrantSessionOptions} from './grant_session.js';
import {PermitQueue} from './permit_queue.js';
import {RenewalLoop} from './renewal_loop.js';

const defaultMaxWaitMs = 2000;
/** Interval after which the peak demand restarts, which frees unused units. */
const peakWindowMs = 5000;

/** Session, longest request and longest wait of a limiter. */
export interface ConcurrencyLimiterOptions extends GrantSessionOptions {
  /** Maximum duration of a request, in milliseconds. */
  readonly maxDurationMs: number;
  /** Maximum wait for a permit, in milliseconds; 2 s by default. */
  readonly maxWaitMs?: number;
}

/** Permission to have one request in flight. */
export interface LimitPermit {
  /** Time by which the request must have ended, on the daemon's clock. */
  readonly expiresAtMs: number;

  /** Releases the permit when the request has ended; idempotent. */
  release(): void;
}

/** Issues permits up to the granted amount. */
export class ConcurrencyLimiter {
  private readonly session: GrantSession;
  private readonly line: PermitQueue<LimitPermit>;
  private readonly renewalLoop: RenewalLoop;
  private inUse = 0;
  private peakDemand = 0;
  private peakSinceMs: number;

  private constructor(private readonly options: ConcurrencyLimiterOptions) {
    const {limit, clock, maxWaitMs = defaultMaxWaitMs} = options;
    this.session = GrantSession.create(options);
    this.line = PermitQueue.create({
      limit,
      clock,
      maxWaitMs,
      getRetryAfterMs: () => this.session.retryAfterMs,
    });
    this.renewalLoop = this.createLoop();
    this.peakSinceMs = clock.nowMs();
  }

  /**
   * Creates a limiter without a grant; the first request asks for one.
   * @param options - Limit, clock and client for the allocator.
   */
  static create(options: ConcurrencyLimiterOptions): ConcurrencyLimiter {
    return new ConcurrencyLimiter(options);
  }

  /**
   * Gets a permit without waiting. Returns undefined if requests are queued,
   * the grant is used up, or it expires within the maximum request duration.
   */
  tryAcquire(): LimitPermit | undefined {
    if (this.line.size > 0) return undefined;
    return this.tryTakePermit();
  }

  /**
   * Waits for a permit; throws `limit_reached` or `cancelled`.
   * @param signal - Aborts the wait.
   */
  async acquire(signal?: AbortSignal): Promise<LimitPermit> {
    const permit = this.tryAcquire();
    if (permit !== undefined) return permit;
    const waiting = this.line.wait(1, signal);
    this.updatePeakDemand();
    this.renewalLoop.requestRenewal();
    return waiting;
  }

  /** Number of requests in flight. */
  getInUse(): number {
    return this.inUse;
  }

  /** Stops renewing the grant and returns its unused part. */
  async stop(): Promise<void> {
    this.renewalLoop.stop();
    // If the return fails, the grant expires by itself.
    await this.session.returnUnused(this.inUse).catch(() => undefined);
  }

  private createLoop(): RenewalLoop {
    const {clock, maxDurationMs} = this.options;
    return RenewalLoop.create({
      clock,
      renew: () => this.renew(),
      onAttempted: () => this.serveQueue(),
      isNeeded: () => this.getDemand() > 0 || this.session.getAmount() > 0,
      getSlackMs: () => this.session.termMs - maxDurationMs,
      getRetryAfterMs: () => this.session.retryAfterMs,
    });
  }

  private tryTakePermit(): LimitPermit | undefined {
    const {clock, maxDurationMs} = this.options;
    const expiresAtMs = this.session.getExpiryMs();
    if (clock.nowMs() + maxDurationMs >= expiresAtMs) return undefined;
    if (this.inUse + 1 > this.session.getAmount()) return undefined;
    this.inUse += 1;
    this.updatePeakDemand();
    return this.createPermit(expiresAtMs);
  }

  private createPermit(expiresAtMs: number): LimitPermit {
    let isReleased = false;
    const release = () => {
      if (isReleased) return;
      isReleased = true;
      this.inUse -= 1;
      this.serveQueue();
    };
    return {expiresAtMs, release};
  }

  private serveQueue(): void {
    this.line.serve(() => this.tryTakePermit());
    if (this.line.size > 0) this.renewalLoop.requestRenewal();
  }

  private async renew(): Promise<void> {
    const wanted = this.takeWantedAmount();
    this.session.lowerAmount(Math.max(wanted, this.inUse));
    await this.session.renew(wanted, this.inUse);
  }

  /** Gets the peak demand of the last interval, and restarts it when due. */
  private takeWantedAmount(): number {
    const nowMs = this.options.clock.nowMs();
    const wanted = Math.max(this.peakDemand, this.getDemand());
    if (nowMs - this.peakSinceMs >= peakWindowMs) {
      this.peakDemand = this.getDemand();
      this.peakSinceMs = nowMs;
    }
    return wanted;
  }

  private getDemand(): number {
    return this.inUse + this.line.size;
  }

  private updatePeakDemand(): void {
    this.peakDemand = Math.max(this.peakDemand, this.getDemand());
  }
}
