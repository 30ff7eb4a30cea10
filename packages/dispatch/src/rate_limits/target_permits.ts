/** Permits of this daemon to send requests to one limited target. */
import type {ScheduledPermits} from './permit_scheduler.js';

/**
 * Time for which a permit can be used. A later request would fall into a window
 * for which others hold the permits.
 */
const permitValidityMs = 300;
/** Delay of a permit that has not been requested yet; about one round trip. */
const requestDelayMs = 2;
/** A request for permits that takes longer no longer counts as under way. */
const slowRequestMs = 40;
/**
 * Longest time for which permits are reserved ahead. Requests that wait longer
 * stay in the queues of the entry VMs, which order them by rank.
 */
export const maxHorizonMs = 1000;
/** Bounds of the pause after a reply that did not grant every permit. */
const minPauseMs = 25;
const maxPauseMs = 500;
/** Part of the time per permit of one entry VM after which it asks again. */
const pauseShare = 0.25;
/** Expected delay while requests for permits stay without a reply. */
const noReplyDelayMs = 250;
const msPerSecond = 1000;

/** Permits that were granted, requested or denied. */
export class TargetPermits {
  private dueTimesMs: number[] = [];
  private pendingCount = 0;
  private requestedAtMs = 0;
  private nextFreeMs = 0;
  private pausedUntilMs = 0;
  private requesters = 1;

  private constructor() {}

  /** Creates permits for a target of which none was requested yet. */
  static create(): TargetPermits {
    return new TargetPermits();
  }

  /** Number of permits that are granted or requested. */
  get outstanding(): number {
    return this.dueTimesMs.length + this.pendingCount;
  }

  /** When the next granted permit may be used; `undefined` without one. */
  get nextDueMs(): number | undefined {
    return this.dueTimesMs[0];
  }

  /**
   * Gets the earliest time at which a request for permits may be granted.
   * @param horizonMs - Longest time until a permit may be used.
   */
  getRequestTimeMs(horizonMs: number): number {
    return Math.max(this.pausedUntilMs, this.nextFreeMs - horizonMs);
  }

  /**
   * Estimates the time until a request may be sent; 0 if it may be sent now.
   * @param nowMs - Time on the daemon's clock.
   * @param limitPerS - Limit of the target.
   * @param index - Number of requests that use permits before this one.
   */
  getDelayMs(nowMs: number, limitPerS: number, index: number): number {
    this.removeExpired(nowMs);
    return this.peekDelayMs(nowMs, limitPerS, index);
  }

  /**
   * Estimates the same as `getDelayMs` without removing expired permits.
   * @param nowMs - Time on the daemon's clock.
   * @param limitPerS - Limit of the target.
   * @param index - Number of requests that use permits before this one.
   */
  peekDelayMs(nowMs: number, limitPerS: number, index: number): number {
    const dueTimesMs = this.dueTimesMs.filter(
      (dueMs) => dueMs >= nowMs - permitValidityMs,
    );
    const dueMs = dueTimesMs[index];
    if (dueMs !== undefined) return Math.max(0, dueMs - nowMs);
    const isSlow =
      this.pendingCount > 0 && nowMs - this.requestedAtMs > slowRequestMs;
    const firstMs = isSlow ? noReplyDelayMs : requestDelayMs;
    const freeMs = Math.max(firstMs, this.nextFreeMs - nowMs);
    // Beyond the horizon, any of the requesters may get the next free permit.
    const competing = freeMs > maxHorizonMs ? 1 : 0;
    const ahead = index - dueTimesMs.length + competing;
    return freeMs + ahead * this.getIntervalMs(limitPerS);
  }

  /**
   * Uses the next permit; false if none may be used now.
   * @param nowMs - Time on the daemon's clock.
   */
  take(nowMs: number): boolean {
    this.removeExpired(nowMs);
    const [dueMs] = this.dueTimesMs;
    if (dueMs === undefined || dueMs > nowMs) return false;
    this.dueTimesMs.shift();
    return true;
  }

  /**
   * Records that permits were requested.
   * @param nowMs - Time on the daemon's clock.
   * @param count - Number of permits.
   */
  recordRequest(nowMs: number, count: number): void {
    if (this.pendingCount === 0) this.requestedAtMs = nowMs;
    this.pendingCount += count;
  }

  /**
   * Records the reply to a request for permits.
   * @param nowMs - Time on the daemon's clock.
   * @param count - Number of permits that were requested.
   * @param reply - Granted permits.
   * @param limitPerS - Limit of the target.
   */
  recordReply(
    nowMs: number,
    count: number,
    reply: ScheduledPermits,
    limitPerS: number,
  ): void {
    this.pendingCount -= count;
    this.requestedAtMs = nowMs;
    this.nextFreeMs = nowMs + reply.nextDelayMs;
    this.requesters = Math.max(1, reply.requesters);
    const added = reply.delaysMs.map((delayMs) => nowMs + delayMs);
    this.dueTimesMs = [...this.dueTimesMs, ...added].toSorted(
      (left, right) => left - right,
    );
    if (added.length >= count) return;
    const pauseMs = this.getIntervalMs(limitPerS) * pauseShare;
    this.pausedUntilMs =
      nowMs + Math.max(minPauseMs, Math.min(maxPauseMs, pauseMs));
    this.nextFreeMs = Math.max(this.nextFreeMs, nowMs + minPauseMs);
  }

  /** Mean time per permit of one of the entry VMs that ask for them. */
  private getIntervalMs(limitPerS: number): number {
    return (this.requesters * msPerSecond) / limitPerS;
  }

  private removeExpired(nowMs: number): void {
    while ((this.dueTimesMs[0] ?? nowMs) < nowMs - permitValidityMs) {
      this.dueTimesMs.shift();
    }
  }
}
