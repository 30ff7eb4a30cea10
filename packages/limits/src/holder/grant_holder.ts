/** One daemon's use of a limit on requests in flight. */
import {GrantSession, type GrantSessionOptions} from './grant_session.js';
import {RenewalLoop} from './renewal_loop.js';
import {WaitingLine} from './waiting_line.js';

const defaultMaxWaitMs = 2000;
/** Unused units are given back after this long, in milliseconds. */
const idleMs = 5000;

/** Options of a holder. */
export interface GrantHolderOptions extends GrantSessionOptions {
  /** Longest time that one request may be in flight, in milliseconds. */
  readonly maxDurationMs: number;
  /** Longest wait for a permit, in milliseconds; 2 s by default. */
  readonly maxWaitMs?: number;
}

/** Right to have one request in flight. */
export interface LimitPermit {
  /** When the request must have ended, on the holder's clock. */
  readonly expiresAtMs: number;

  /** Ends the request; a second call changes nothing. */
  release(): void;
}

/** Hands out permits within the grant. */
export class GrantHolder {
  private readonly session: GrantSession;
  private readonly line: WaitingLine<LimitPermit>;
  private readonly loop: RenewalLoop;
  private inUse = 0;
  private peak = 0;
  private peakSinceMs: number;

  private constructor(private readonly options: GrantHolderOptions) {
    const {limit, clock, maxWaitMs = defaultMaxWaitMs} = options;
    this.session = GrantSession.create(options);
    this.line = WaitingLine.create({
      limit,
      clock,
      maxWaitMs,
      getRetryAfterMs: () => this.session.retryAfterMs,
    });
    this.loop = this.createLoop();
    this.peakSinceMs = clock.nowMs();
  }

  /**
   * Creates a holder without a grant; it asks for one when it is needed.
   * @param options - Limit, clock and way to the keeper.
   */
  static create(options: GrantHolderOptions): GrantHolder {
    return new GrantHolder(options);
  }

  /**
   * Takes a permit at once, or nothing when the grant does not allow it for
   * as long as the request may take.
   */
  tryAcquire(): LimitPermit | undefined {
    if (this.line.size > 0) return undefined;
    return this.tryTake();
  }

  /**
   * Waits for a permit; throws `limit_reached` or `cancelled`.
   * @param signal - Gives up.
   */
  async acquire(signal?: AbortSignal): Promise<LimitPermit> {
    const permit = this.tryAcquire();
    if (permit !== undefined) return permit;
    const waiting = this.line.wait(1, signal);
    this.notePeak();
    this.loop.requestNow();
    return waiting;
  }

  /** Number of requests in flight. */
  getInUse(): number {
    return this.inUse;
  }

  /** Ends the renewals and gives back what is not in use. */
  async stop(): Promise<void> {
    this.loop.stop();
    // Without an answer the grant lapses by itself.
    await this.session.giveBack(this.inUse).catch(() => undefined);
  }

  private createLoop(): RenewalLoop {
    const {clock, maxDurationMs} = this.options;
    return RenewalLoop.create({
      clock,
      renew: () => this.renew(),
      onRenewed: () => this.serveLine(),
      isNeeded: () => this.getDemand() > 0 || this.session.getAmount() > 0,
      getSlackMs: () => this.session.termMs - maxDurationMs,
      getRetryAfterMs: () => this.session.retryAfterMs,
    });
  }

  private tryTake(): LimitPermit | undefined {
    const {clock, maxDurationMs} = this.options;
    const expiresAtMs = this.session.getExpiryMs();
    if (clock.nowMs() + maxDurationMs >= expiresAtMs) return undefined;
    if (this.inUse + 1 > this.session.getAmount()) return undefined;
    this.inUse += 1;
    this.notePeak();
    return this.createPermit(expiresAtMs);
  }

  private createPermit(expiresAtMs: number): LimitPermit {
    let isReleased = false;
    const release = () => {
      if (isReleased) return;
      isReleased = true;
      this.inUse -= 1;
      this.serveLine();
    };
    return {expiresAtMs, release};
  }

  private serveLine(): void {
    this.line.serve(() => this.tryTake());
    if (this.line.size > 0) this.loop.requestNow();
  }

  private async renew(): Promise<void> {
    const wanted = this.takeWanted();
    this.session.lowerAmount(Math.max(wanted, this.inUse));
    await this.session.renew(wanted, this.inUse);
  }

  /** Gets the most that was needed of late. */
  private takeWanted(): number {
    const nowMs = this.options.clock.nowMs();
    const wanted = Math.max(this.peak, this.getDemand());
    if (nowMs - this.peakSinceMs >= idleMs) {
      this.peak = this.getDemand();
      this.peakSinceMs = nowMs;
    }
    return wanted;
  }

  private getDemand(): number {
    return this.inUse + this.line.size;
  }

  private notePeak(): void {
    this.peak = Math.max(this.peak, this.getDemand());
  }
}
