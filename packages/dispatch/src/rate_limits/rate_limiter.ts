/**
 * Sends a limited target no more than it takes from all entry VMs together.
 * Every request needs a permit of the one entry VM that schedules the target.
 */
import type {Clock, Timer} from '@marigoldpost/common';
import type {TargetEntry} from '@marigoldpost/sites';
import type {PermitSource} from './permit_source.js';
import type {TargetLimit, TargetLimits} from './target_limits.js';
import {maxHorizonMs, TargetPermits} from './target_permits.js';

/** After this time a request without a reply is taken into account. */
const slowReplyCheckMs = 45;

/** Limits of the targets, and the source of permits. */
export interface RateLimiterOptions {
  readonly clock: Clock;
  readonly limits: TargetLimits;
  readonly source: PermitSource;
}

/** Decides when this daemon may send a request to a target. */
export class RateLimiter {
  private readonly permits = new Map<string, TargetPermits>();
  private readonly listeners = new Set<() => void>();
  private timer: Timer | undefined;
  private timerDueMs = Number.POSITIVE_INFINITY;

  private constructor(private readonly options: RateLimiterOptions) {}

  /**
   * Creates a limiter.
   * @param options - Limits and source of permits.
   */
  static create(options: RateLimiterOptions): RateLimiter {
    return new RateLimiter(options);
  }

  /**
   * Adds a listener that is called when more requests may be sent.
   * @param listener - Dispatches queued requests.
   */
  addListener(listener: () => void): void {
    this.listeners.add(listener);
  }

  /** Notifies the listeners; called when a limit has changed. */
  notify(): void {
    for (const listener of this.listeners) listener();
  }

  /**
   * Estimates the time until a request may be sent to a target; 0 if it may be
   * sent now.
   * @param entry - Target to send to.
   * @param index - Number of requests that are to be sent to it before.
   */
  getDelayMs(entry: TargetEntry, index: number): number {
    const limit = this.getLimit(entry);
    if (limit?.limitPerS === undefined) return 0;
    const nowMs = this.options.clock.nowMs();
    return this.getPermits(limit).getDelayMs(nowMs, limit.limitPerS, index);
  }

  /**
   * Estimates the same as `getDelayMs` and changes nothing.
   * @param entry - Target to send to.
   * @param index - Number of requests that are to be sent to it before.
   */
  peekDelayMs(entry: TargetEntry, index: number): number {
    const limit = this.getLimit(entry);
    if (limit?.limitPerS === undefined) return 0;
    const nowMs = this.options.clock.nowMs();
    const known = this.permits.get(getPermitsKey(limit));
    const permits = known ?? TargetPermits.create();
    return permits.peekDelayMs(nowMs, limit.limitPerS, index);
  }

  /**
   * Gets since when a target is known to be leaving; `undefined` if it is not.
   * @param entry - Target to send to.
   */
  getLeavingSinceMs(entry: TargetEntry): number | undefined {
    return this.getLimit(entry)?.leavingSinceMs;
  }

  /**
   * Uses a permit for a request that is about to be sent.
   * @param entry - Target whose delay is 0.
   */
  take(entry: TargetEntry): void {
    const limit = this.getLimit(entry);
    if (limit?.limitPerS === undefined) return;
    this.getPermits(limit).take(this.options.clock.nowMs());
  }

  /**
   * Requests permits for requests that wait for a target; the listeners are
   * called when they may be used.
   * @param entry - Target that the requests wait for.
   * @param count - Number of waiting requests.
   * @param horizonMs - Time that waiting for the target is worth.
   */
  request(entry: TargetEntry, count: number, horizonMs: number): void {
    const limit = this.getLimit(entry);
    if (limit?.limitPerS === undefined) return;
    const nowMs = this.options.clock.nowMs();
    const permits = this.getPermits(limit);
    const wanted = count - permits.outstanding;
    const usedHorizonMs = Math.min(maxHorizonMs, horizonMs);
    if (permits.nextDueMs !== undefined) this.wakeAt(permits.nextDueMs);
    if (wanted <= 0) return;
    const requestAtMs = permits.getRequestTimeMs(usedHorizonMs);
    if (requestAtMs > nowMs) {
      this.wakeAt(requestAtMs);
      return;
    }
    permits.recordRequest(nowMs, wanted);
    this.wakeAt(nowMs + slowReplyCheckMs);
    void this.reserve(limit, permits, wanted, usedHorizonMs);
  }

  /**
   * Forgets the permits of targets that are not listed.
   * @param targets - Listed targets.
   */
  retain(targets: readonly TargetEntry[]): void {
    const listed = new Set(
      targets.map(({id, startedAtMs}) => `${id} ${startedAtMs}`),
    );
    for (const key of this.permits.keys()) {
      if (!listed.has(key)) this.permits.delete(key);
    }
  }

  private async reserve(
    limit: TargetLimit,
    permits: TargetPermits,
    count: number,
    horizonMs: number,
  ): Promise<void> {
    const {clock, source} = this.options;
    const reply = await source.reserve({limit, count, horizonMs});
    const limitPerS = limit.limitPerS ?? Number.POSITIVE_INFINITY;
    permits.recordReply(clock.nowMs(), count, reply, limitPerS);
    this.notify();
  }

  private getLimit({id, startedAtMs}: TargetEntry): TargetLimit | undefined {
    return this.options.limits.get({target: id, startedAtMs});
  }

  private getPermits(limit: TargetLimit): TargetPermits {
    const key = getPermitsKey(limit);
    const existing = this.permits.get(key);
    if (existing !== undefined) return existing;
    const added = TargetPermits.create();
    this.permits.set(key, added);
    return added;
  }

  private wakeAt(dueMs: number): void {
    if (dueMs >= this.timerDueMs) return;
    this.timer?.cancel();
    this.timerDueMs = dueMs;
    const {clock} = this.options;
    const delayMs = Math.max(1, dueMs - clock.nowMs());
    this.timer = clock.setTimer(delayMs, () => {
      this.timerDueMs = Number.POSITIVE_INFINITY;
      this.notify();
    });
  }
}

function getPermitsKey({target, startedAtMs}: TargetLimit): string {
  return `${target} ${startedAtMs}`;
}
