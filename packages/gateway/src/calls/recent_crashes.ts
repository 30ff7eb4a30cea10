/**
 * Target instances that have just crashed. A crashed target is back after
 * seconds, so other requests that break on it sooner have not crashed it: their
 * connections were reset before it could start them.
 */
import type {Clock} from '@marigoldpost/common';
import type {TargetEntry} from '@marigoldpost/sites';

/** Shorter than the time that a crashed target takes to come back. */
const minRestartMs = 1000;

/** Longer than a target that has crashed takes to reset a connection. */
const maxResetMs = 200;

/** Start and end of a run, on the daemon's clock. */
export interface TargetRun {
  readonly runStartedAtMs: number;
  readonly runEndedAtMs: number;
}

/** Crashes of the last second that this daemon has recorded. */
export class RecentCrashes {
  /** End of the first run that showed each crash, by instance. */
  private readonly crashedAtMs = new Map<string, number>();

  private constructor(private readonly clock: Clock) {}

  /**
   * Creates an instance without crashes.
   * @param clock - Clock of the daemon.
   */
  static create(clock: Clock): RecentCrashes {
    return new RecentCrashes(clock);
  }

  /**
   * Records a crash that a run has shown.
   * @param target - Target that crashed.
   * @param run - Run that the crash broke.
   */
  add(target: TargetEntry, {runEndedAtMs}: TargetRun): void {
    this.removeExpired();
    const key = getInstanceKey(target);
    // Runs that one crash breaks end one after the other; the first one counts.
    if (!this.crashedAtMs.has(key)) this.crashedAtMs.set(key, runEndedAtMs);
  }

  /**
   * Records that a target has responded; an earlier crash explains nothing
   * after that.
   * @param target - Target that responded.
   * @param sentAtMs - When the request was sent, on the daemon's clock.
   */
  recordResponse(target: TargetEntry, sentAtMs: number): void {
    if (this.crashedAtMs.size === 0) return;
    const key = getInstanceKey(target);
    const crashedAtMs = this.crashedAtMs.get(key) ?? Number.POSITIVE_INFINITY;
    if (crashedAtMs <= sentAtMs) this.crashedAtMs.delete(key);
  }

  /**
   * Whether a run broke because its target had crashed before it.
   * @param target - Target of the run.
   * @param run - Start and end of the broken run.
   */
  explains(
    target: TargetEntry,
    {runStartedAtMs, runEndedAtMs}: TargetRun,
  ): boolean {
    const crashedAtMs = this.crashedAtMs.get(getInstanceKey(target));
    if (crashedAtMs === undefined) return false;
    return (
      runStartedAtMs >= crashedAtMs && runEndedAtMs < crashedAtMs + minRestartMs
    );
  }

  /**
   * Whether a target broke a run too late to have crashed before it; whether it
   * has crashed under it is known once it is lost.
   * @param run - Start and end of the broken run.
   */
  mayHaveCrashed({runStartedAtMs, runEndedAtMs}: TargetRun): boolean {
    return runEndedAtMs - runStartedAtMs >= maxResetMs;
  }

  private removeExpired(): void {
    const oldestMs = this.clock.nowMs() - minRestartMs;
    for (const [key, crashedAtMs] of this.crashedAtMs) {
      if (crashedAtMs < oldestMs) this.crashedAtMs.delete(key);
    }
  }
}

function getInstanceKey({id, startedAtMs}: TargetEntry): string {
  return `${id} ${startedAtMs}`;
}
