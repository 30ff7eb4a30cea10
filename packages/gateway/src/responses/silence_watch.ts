/** Watches for a target that sends nothing while its response is read. */
import type {Clock, Timer} from '@marigoldpost/common';
import type {TargetBody} from './target_body.js';

/** Interval at which a response that has no new bytes is checked. */
const checkIntervalMs = 250;

/** Body and decision of a watch. */
export interface SilenceWatchOptions {
  readonly clock: Clock;
  readonly body: TargetBody;
  /**
   * Finds why a target that has sent nothing for some time is lost; `undefined`
   * while it may go on.
   */
  readonly findLoss: (silentMs: number) => string | undefined;
}

/** Aborts the body of a response once its target is known to be lost. */
export class SilenceWatch {
  private lastChunkMs: number;
  private timer: Timer | undefined;
  private hasAborted = false;

  private constructor(private readonly options: SilenceWatchOptions) {
    this.lastChunkMs = options.clock.nowMs();
    this.scheduleCheck();
  }

  /**
   * Starts a watch; `stop` ends it.
   * @param options - Body and decision.
   */
  static start(options: SilenceWatchOptions): SilenceWatch {
    return new SilenceWatch(options);
  }

  /** Whether the body was aborted because its target is lost. */
  get isLost(): boolean {
    return this.hasAborted;
  }

  /** Records that bytes have arrived. */
  recordChunk(): void {
    this.lastChunkMs = this.options.clock.nowMs();
  }

  /** Ends the watch. */
  stop(): void {
    this.timer?.cancel();
  }

  private scheduleCheck(): void {
    const {clock} = this.options;
    // A check falls on each limit of the silence, not up to an interval later.
    const silentMs = clock.nowMs() - this.lastChunkMs;
    const delayMs = checkIntervalMs - (silentMs % checkIntervalMs);
    this.timer = clock.setTimer(Math.ceil(delayMs), () => this.check());
  }

  private check(): void {
    const {clock, body, findLoss} = this.options;
    const silentMs = clock.nowMs() - this.lastChunkMs;
    // Paused by backpressure from a slow client: the target is not at fault.
    if (body.response.isPaused()) this.recordChunk();
    else if (silentMs >= checkIntervalMs) {
      const reason = findLoss(silentMs);
      if (reason !== undefined) {
        this.hasAborted = true;
        body.abort(`${reason}; no data for ${Math.round(silentMs)} ms`);
        return;
      }
    }
    this.scheduleCheck();
  }
}
