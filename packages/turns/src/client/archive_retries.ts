/** Waits of one request for archives that are unreachable or not registered. */
import type {Clock} from '@marigoldpost/common';
import type {ArchivePool} from './archive_pool.js';

/**
 * Longest wait of a request. Clients abandon a stream without events after 2 s,
 * and an archive that hangs has used 0.4 s of them.
 */
const longestWaitMs = 1500;
/** Time for a last attempt at an archive that hangs, and to end the call. */
const lastAttemptMs = 500;

/**
 * Longest time of a request that can end well without its last attempt; shorter
 * than the 2 s after which clients abandon a stream without events.
 */
export const longestOptionalMs = 1900;

/** How long a request waits for archives that are unreachable. */
export interface ArchiveWait {
  /** Longest wait, in milliseconds. */
  readonly maxWaitMs: number;
  /** Ends the wait when aborted. */
  readonly signal: AbortSignal;
  /** Ends the wait early if the request can end well without another attempt. */
  readonly copySignal?: AbortSignal;
}

/** Decides when a request that too few archives answered is sent again. */
export class ArchiveRetries {
  private readonly endMs: number;
  /** End of waits of a request that can do without another attempt. */
  private readonly optionalEndMs: number;
  /**
   * When a request ends that can do without its last attempt, also while that
   * attempt is running.
   */
  readonly optionalAttemptEndMs: number;
  private returnCount: number;

  private constructor(
    private readonly pool: ArchivePool,
    private readonly clock: Clock,
    private readonly wait: ArchiveWait,
  ) {
    const {maxWaitMs} = wait;
    this.endMs = clock.nowMs() + Math.min(maxWaitMs, longestWaitMs);
    const optionalWaitMs = Math.min(maxWaitMs - lastAttemptMs, longestWaitMs);
    this.optionalEndMs = clock.nowMs() + optionalWaitMs;
    this.optionalAttemptEndMs =
      clock.nowMs() + Math.min(maxWaitMs, longestOptionalMs);
    this.returnCount = pool.returnCount;
  }

  /**
   * Creates the retries of a request that starts now.
   * @param pool - Archives that the request is sent to.
   * @param clock - Clock of the waits.
   * @param wait - Longest wait and what ends it.
   */
  static create(
    pool: ArchivePool,
    clock: Clock,
    wait: ArchiveWait,
  ): ArchiveRetries {
    return new ArchiveRetries(pool, clock, wait);
  }

  /**
   * Waits until an archive has returned or has been registered since the last
   * attempt, or the object API has replied again; `false` if no further attempt
   * should follow.
   * @param owedCount - Archives that the site must have; while fewer are
   *   registered, another one is waited for.
   * @param isOptional - Whether the request can end well without another
   *   attempt; time is then left for its end.
   */
  async waitForReturn(owedCount = 0, isOptional = false): Promise<boolean> {
    const {pool, wait} = this;
    const endMs = isOptional ? this.optionalEndMs : this.endMs;
    const {copySignal = wait.signal} = wait;
    const signal = isOptional ? copySignal : wait.signal;
    for (;;) {
      const maxWaitMs = endMs - this.clock.nowMs();
      if (maxWaitMs <= 0 || signal.aborted) return false;
      const {returnCount} = pool;
      if (returnCount !== this.returnCount) {
        this.returnCount = returnCount;
        return true;
      }
      const isChanged = await pool.waitForChange(
        {maxWaitMs, signal},
        owedCount,
        isOptional,
      );
      if (!isChanged) return false;
    }
  }
}
