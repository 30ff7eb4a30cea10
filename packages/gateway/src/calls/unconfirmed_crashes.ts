/**
 * Runs whose end does not tell whether their target has crashed. It has if it
 * leaves the registry or is registered as restarted, and has not if it responds
 * to a later request.
 */
import type {Clock} from '@marigoldpost/common';
import type {TargetEntry} from '@marigoldpost/sites';

/** Time after which a lost target no longer explains a silent run. */
const retentionMs = 10_000;

interface SilentRun {
  readonly target: string;
  readonly endedAtMs: number;
  readonly onConfirmed: () => void;
  readonly onSurvived: (() => void) | undefined;
}

/** Matches silent runs with targets that are lost before or after their end. */
export class UnconfirmedCrashes {
  private runs: SilentRun[] = [];
  /** When each lost target instance was found lost, oldest first. */
  private readonly lostAtMs = new Map<string, number>();

  private constructor(private readonly clock: Clock) {}

  /**
   * Creates an instance without runs.
   * @param clock - Clock of the daemon.
   */
  static create(clock: Clock): UnconfirmedCrashes {
    return new UnconfirmedCrashes(clock);
  }

  /**
   * Adds a run that has just ended.
   * @param target - Target of the run.
   * @param startedAtMs - Start of the run, on the daemon's clock.
   * @param onConfirmed - Called once if the target has crashed.
   * @param onSurvived - Called once if the target responds to a later request;
   *   without it, such a response has no effect on the run.
   */
  add(
    target: TargetEntry,
    startedAtMs: number,
    onConfirmed: () => void,
    onSurvived?: () => void,
  ): void {
    this.removeExpired();
    const key = getInstanceKey(target);
    if ((this.lostAtMs.get(key) ?? Number.NEGATIVE_INFINITY) >= startedAtMs) {
      onConfirmed();
      return;
    }
    const endedAtMs = this.clock.nowMs();
    this.runs.push({target: key, endedAtMs, onConfirmed, onSurvived});
  }

  /**
   * Records that a target has responded to a request.
   * @param target - Registration of the instance that responded.
   * @param sentAtMs - When the request was sent.
   */
  recordResponse(target: TargetEntry, sentAtMs: number): void {
    if (this.runs.length === 0) return;
    const key = getInstanceKey(target);
    const survived = this.runs.filter(
      (run) =>
        run.target === key &&
        run.onSurvived !== undefined &&
        run.endedAtMs <= sentAtMs,
    );
    if (survived.length === 0) return;
    this.runs = this.runs.filter((run) => !survived.includes(run));
    for (const {onSurvived} of survived) onSurvived?.();
  }

  /**
   * Records that a target is gone, or restarted, without having drained.
   * @param target - Last registration of the lost instance.
   */
  recordLoss(target: TargetEntry): void {
    this.removeExpired();
    const key = getInstanceKey(target);
    this.lostAtMs.delete(key);
    this.lostAtMs.set(key, this.clock.nowMs());
    const confirmed = this.runs.filter((run) => run.target === key);
    this.runs = this.runs.filter((run) => run.target !== key);
    for (const {onConfirmed} of confirmed) onConfirmed();
  }

  private removeExpired(): void {
    const oldestMs = this.clock.nowMs() - retentionMs;
    this.runs = this.runs.filter(({endedAtMs}) => endedAtMs >= oldestMs);
    for (const [key, lostAtMs] of this.lostAtMs) {
      if (lostAtMs >= oldestMs) break;
      this.lostAtMs.delete(key);
    }
  }
}

function getInstanceKey({id, startedAtMs}: TargetEntry): string {
  return `${id} ${startedAtMs}`;
}
