/** Tells whether the object API replies to this VM. */
import type {Clock, Timer} from '@marigoldpost/common';
import type {ObjectStore} from '@marigoldpost/platform';
import {turnObjectPrefix} from './turn_object.js';

/** Time for which a reply is relied on. */
const resultMs = 500;
/** Time for which a write that failed tells more than reads that succeed. */
const failedWriteMs = 1000;
/** Pause before a call that had no reply is repeated. */
const retryPauseMs = 250;
/** Reply time-out; far above the latency of the object API. */
const replyTimeoutMs = 250;
/** Key that no object has: only whether there is a reply matters. */
const probedKey = `${turnObjectPrefix}probe`;

/** Object API and clock of a probe. */
export interface StoreProbeOptions {
  /** Client whose reads may be stale, which cost less. */
  readonly store: Pick<ObjectStore, 'getObject'>;
  readonly clock: Clock;
  /** Called at the first reply after a call without one. */
  readonly onReturned?: () => void;
}

/**
 * Shares the calls that test the object API. After a call without a reply, others
 * follow in the background until one has a reply.
 */
export class StoreProbe {
  private running: Promise<boolean> | undefined;
  private isFailing = false;
  private lastReplyMs = Number.NEGATIVE_INFINITY;
  private lastFailedWriteMs = Number.NEGATIVE_INFINITY;
  private timer: Timer | undefined;
  private isStopped = false;

  private constructor(private readonly options: StoreProbeOptions) {}

  /**
   * Creates a probe that has not called yet.
   * @param options - Object API and clock.
   */
  static create(options: StoreProbeOptions): StoreProbe {
    return new StoreProbe(options);
  }

  /** Whether the last call had no reply; `false` before the first one. */
  get hasFailed(): boolean {
    return this.isFailing;
  }

  /**
   * Whether the object API replies now, or did so within 500 ms; `false` at once
   * if the last call had no reply.
   */
  check(): Promise<boolean> {
    if (this.isFailing) return Promise.resolve(false);
    const silentMs = this.options.clock.nowMs() - this.lastReplyMs;
    if (silentMs < resultMs) return Promise.resolve(true);
    this.running ??= this.call().finally(() => {
      this.running = undefined;
    });
    return this.running;
  }

  /**
   * Whether the object API replies, and no write has failed within 1 s. It may
   * serve reads and refuse writes.
   */
  checkWrites(): Promise<boolean> {
    const elapsedMs = this.options.clock.nowMs() - this.lastFailedWriteMs;
    return elapsedMs < failedWriteMs ? Promise.resolve(false) : this.check();
  }

  /** Records that a write has failed. */
  recordFailedWrite(): void {
    this.lastFailedWriteMs = this.options.clock.nowMs();
  }

  /** Ends the calls in the background. */
  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
  }

  private async call(): Promise<boolean> {
    const {store, clock} = this.options;
    const replied = store.getObject(probedKey).then(
      () => {
        this.recordReply();
        return true;
      },
      () => false,
    );
    const timedOut = clock.sleep(replyTimeoutMs).then(() => false);
    const result = await Promise.race([replied, timedOut]);
    if (result) return true;
    this.isFailing = true;
    if (!this.isStopped) {
      this.timer = clock.setTimer(retryPauseMs, () => void this.call());
    }
    return false;
  }

  /** A late reply counts too: a slow object API accepts writes. */
  private recordReply(): void {
    const hasReturned = this.isFailing;
    this.isFailing = false;
    this.lastReplyMs = this.options.clock.nowMs();
    if (hasReturned) this.options.onReturned?.();
  }
}
