/** Schedules the renewals of a grant. */
import type {Clock, Timer} from '@marigoldpost/common';

/** Renewals within one slack time, so that a lost one does no harm. */
const renewalsPerSlack = 3;
const retryDelayMs = 500;
const minRenewalMs = 100;

/** Callbacks and clock of a renewal loop. */
export interface RenewalLoopOptions {
  readonly clock: Clock;
  /** Renews the grant at the allocator; rejects on failure. */
  readonly renew: () => Promise<void>;
  /** Called after each attempt, successful or not. */
  readonly onAttempted: () => void;
  /** Whether a grant is held or wanted; the loop pauses otherwise. */
  readonly isNeeded: () => boolean;
  /** Gets the time that a grant outlives the longest request, in ms. */
  readonly getSlackMs: () => number;
  /** Gets the retry delay that the allocator asked for; 0 if none. */
  readonly getRetryAfterMs: () => number;
}

/** Renews a grant while it is needed, one request at a time. */
export class RenewalLoop {
  private timer: Timer | undefined;
  private dueMs = Number.POSITIVE_INFINITY;
  private isRenewing = false;
  private isStopped = false;
  private lastStartMs = Number.NEGATIVE_INFINITY;

  private constructor(private readonly options: RenewalLoopOptions) {}

  /**
   * Creates a loop without a scheduled renewal.
   * @param options - Callbacks and clock.
   */
  static create(options: RenewalLoopOptions): RenewalLoop {
    return new RenewalLoop(options);
  }

  /** Schedules a renewal as soon as the allocator permits one. */
  requestRenewal(): void {
    const sinceMs = this.options.clock.nowMs() - this.lastStartMs;
    const gapMs = Math.max(minRenewalMs, this.options.getRetryAfterMs());
    this.schedule(Math.max(0, gapMs - sinceMs));
  }

  /** Cancels the scheduled renewal; none is scheduled after it. */
  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
  }

  private schedule(delayMs: number): void {
    if (this.isRenewing || this.isStopped) return;
    const dueMs = this.options.clock.nowMs() + delayMs;
    if (dueMs >= this.dueMs) return;
    this.timer?.cancel();
    this.dueMs = dueMs;
    this.timer = this.options.clock.setTimer(delayMs, () => {
      void this.run();
    });
  }

  private async run(): Promise<void> {
    this.dueMs = Number.POSITIVE_INFINITY;
    if (!this.options.isNeeded()) return;
    this.isRenewing = true;
    this.lastStartMs = this.options.clock.nowMs();
    const isRenewed = await this.tryRenew();
    this.isRenewing = false;
    this.options.onAttempted();
    if (!this.options.isNeeded()) return;
    this.schedule(isRenewed ? this.getIntervalMs() : retryDelayMs);
  }

  private async tryRenew(): Promise<boolean> {
    try {
      await this.options.renew();
      return true;
    } catch {
      // The current grant stays usable until it expires; the loop retries.
      return false;
    }
  }

  private getIntervalMs(): number {
    const {getSlackMs, getRetryAfterMs} = this.options;
    const intervalMs = Math.max(minRenewalMs, getSlackMs() / renewalsPerSlack);
    const retryAfterMs = getRetryAfterMs();
    return retryAfterMs > 0 ? Math.min(intervalMs, retryAfterMs) : intervalMs;
  }
}
