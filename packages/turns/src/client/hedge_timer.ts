/**
 * Decides when further archives are asked beside those that have been.
 *
 * Load pattern: a burst takes the processor time of an entry VM, so replies that
 * have arrived wait to be read. A delay from the request on takes every archive
 * for slow then; the further requests need the processor time that is missing,
 * and each reply becomes later still, also after the burst. The first reply
 * tells one from the other: once the entry VM has read it, it soon reads the
 * others, unless their archives are slow.
 */
import type {Clock, Timer} from '@marigoldpost/common';

/** Delays and callback of a timer. */
export interface HedgeTimerOptions {
  readonly clock: Clock;
  /** Time from the first reply until the archives without one count as slow. */
  readonly afterReplyMs: number;
  /** Time from the requests on, if no archive replies at all. */
  readonly silentMs: number;
  /** Asks further archives; called at most once. */
  readonly onDue: () => void;
}

/** Timer of the requests for one purpose. */
export class HedgeTimer {
  private timer: Timer;
  private hasReply = false;

  private constructor(private readonly options: HedgeTimerOptions) {
    const {clock, silentMs, onDue} = options;
    this.timer = clock.setTimer(silentMs, onDue);
  }

  /**
   * Starts a timer when the first archives are asked.
   * @param options - Delays and callback.
   */
  static start(options: HedgeTimerOptions): HedgeTimer {
    return new HedgeTimer(options);
  }

  /** Records that an archive has replied. */
  recordReply(): void {
    if (this.hasReply) return;
    this.hasReply = true;
    this.timer.cancel();
    const {clock, afterReplyMs, onDue} = this.options;
    this.timer = clock.setTimer(afterReplyMs, onDue);
  }

  /** Ends the timer once the requests have served their purpose. */
  cancel(): void {
    this.hasReply = true;
    this.timer.cancel();
  }
}
