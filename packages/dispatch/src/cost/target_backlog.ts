/** Work that a target still has to do for the requests of this daemon. */

/**
 * Part of the expected work that a request has left at least while it runs: it
 * has taken longer than expected, and nobody knows for how long it goes on.
 */
const minLeftShare = 0.1;

/** Expected work of one request that has not ended. */
export interface BacklogEntry {
  readonly workMs: number;
  readonly startedAtMs: number;
}

/** Requests in flight at one target, with their expected work. */
export class TargetBacklog {
  private readonly entries = new Set<BacklogEntry>();

  private constructor() {}

  /** Creates a backlog without requests. */
  static create(): TargetBacklog {
    return new TargetBacklog();
  }

  /**
   * Adds a request.
   * @param workMs - Expected time until it has ended.
   * @param nowMs - Time on the daemon's clock.
   */
  add(workMs: number, nowMs: number): BacklogEntry {
    const entry = {workMs, startedAtMs: nowMs};
    this.entries.add(entry);
    return entry;
  }

  /**
   * Removes a request that has ended.
   * @param entry - Result of `add`.
   */
  remove(entry: BacklogEntry): void {
    this.entries.delete(entry);
  }

  /**
   * Gets the work that is left, in milliseconds.
   * @param nowMs - Time on the daemon's clock.
   */
  getRemainingMs(nowMs: number): number {
    let remainingMs = 0;
    for (const {workMs, startedAtMs} of this.entries) {
      const leftMs = workMs - (nowMs - startedAtMs);
      remainingMs += Math.max(workMs * minLeftShare, leftMs);
    }
    return remainingMs;
  }
}
