/** Decides when a holder talks to its keeper. */
import type {Clock, Timer} from '@marigoldpost/common';

/** Renewals within one slack, so that a lost one does no harm. */
const renewalsPerSlack = 3;
const failureRetryMs = 500;
const minRenewalMs = 100;

/** What a loop drives. */
export interface RenewalLoopOptions {
  readonly clock: Clock;
  /** Talks to the keeper. */
  readonly renew: () => Promise<void>;
  /** Called after each try. */
  readonly onRenewed: () => void;
  /** Whether there is something to renew. */
  readonly isNeeded: () => boolean;
  /** Gets how long a grant outlives the longest request, in milliseconds. */
  readonly getSlackMs: () => number;
  /** Gets when the keeper wants to be asked again; 0 when it does not say. */
  readonly getRetryAfterMs: () => number;
}

/** Renews while there is need, one message at a time. */
export class RenewalLoop {
  private timer: Timer | undefined;
  private dueMs = Number.POSITIVE_INFINITY;
  private isBusy = false;
  private isStopped = false;
  private lastMs = Number.NEGATIVE_INFINITY;

  private constructor(private readonly options: RenewalLoopOptions) {}

  /**
   * Creates a loop that is not running.
   * @param options - What it drives.
   */
  static create(options: RenewalLoopOptions): RenewalLoop {
    return new RenewalLoop(options);
  }

  /** Renews as soon as the keeper allows. */
  requestNow(): void {
    const sinceMs = this.options.clock.nowMs() - this.lastMs;
    const gapMs = Math.max(minRenewalMs, this.options.getRetryAfterMs());
    this.schedule(Math.max(0, gapMs - sinceMs));
  }

  /** Ends the loop. */
  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
  }

  private schedule(delayMs: number): void {
    if (this.isBusy || this.isStopped) return;
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
    this.isBusy = true;
    this.lastMs = this.options.clock.nowMs();
    const isRenewed = await this.tryRenew();
    this.isBusy = false;
    this.options.onRenewed();
    if (!this.options.isNeeded()) return;
    this.schedule(isRenewed ? this.getIntervalMs() : failureRetryMs);
  }

  private async tryRenew(): Promise<boolean> {
    try {
      await this.options.renew();
      return true;
    } catch {
      // What is held stays usable until it lapses; the next try may succeed.
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
