/**
 * Requests that targets have just completed. Guards against this load pattern:
 * many clients send the same request, and all targets that run it are lost at
 * the same time.
 */
import type {Clock} from '@marigoldpost/common';
import type {TargetRun} from './recent_crashes.js';

/**
 * Time for which a completion excuses a request. Not above the time that entry
 * VMs take to stop a request everywhere, so that a request which targets used to
 * complete is stopped as soon as others once it crashes them.
 */
const validityMs = 3000;

/** Limit of the requests that are kept; the oldest are evicted first. */
const maxRequests = 2048;

/** Completions that this daemon has seen, by the identity of the request. */
export class RecentCompletions {
  private readonly completedAtMs = new Map<string, number>();

  private constructor(private readonly clock: Clock) {}

  /**
   * Creates an instance without completions.
   * @param clock - Clock of the daemon.
   */
  static create(clock: Clock): RecentCompletions {
    return new RecentCompletions(clock);
  }

  /**
   * Records that a target has completed a request.
   * @param identity - Identity of the request.
   */
  add(identity: string): void {
    // Reinserts the key, so that the map is ordered by time.
    this.completedAtMs.delete(identity);
    this.completedAtMs.set(identity, this.clock.nowMs());
    if (this.completedAtMs.size <= maxRequests) return;
    const [oldest] = this.completedAtMs.keys();
    if (oldest !== undefined) this.completedAtMs.delete(oldest);
  }

  /**
   * Whether a request completed shortly before a run, or since, so that the
   * target of the run was lost for another reason.
   * @param identity - Identity of the request.
   * @param run - Start and end of the run.
   */
  excuses(identity: string, {runStartedAtMs}: TargetRun): boolean {
    const completedAtMs = this.completedAtMs.get(identity);
    if (completedAtMs === undefined) return false;
    return runStartedAtMs <= completedAtMs + validityMs;
  }
}
