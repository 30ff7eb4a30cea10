/**
 * Ejects failing targets. Load pattern: a target crashes, hangs or sends
 * invalid answers, while its registry entry remains valid for seconds.
 */

/** Outcome of a request, as far as it concerns the target's health. */
export type TargetResult =
  | 'answered'
  | 'unreachable'
  | 'broken'
  | 'silent'
  | 'turned_away'
  | 'cancelled';

/** Consecutive failures after which a reachable target is ejected. */
const maxFailuresInRow = 3;
/** Initial ejection time; short, as a restart takes only seconds. */
const initialEjectionMs = 250;
/** Maximum ejection time, within which a recovered target is retried. */
const maxEjectionMs = 2000;
/**
 * Silence after which requests that got no response show that a target hangs;
 * a sound one may fall silent for less.
 */
const minHangMs = 2000;

/** Decides from request outcomes whether one daemon uses a target. */
export class TargetHealth {
  private failuresInRow = 0;
  private ejectionsInRow = 0;
  private ejectedUntilMs = 0;
  /** Until when a silent target that may be sound is avoided. */
  private avoidedUntilMs = 0;
  /** Whether as many requests got no response as would eject the target. */
  private isDoubtful = false;
  private lastAnsweredMs = Number.NEGATIVE_INFINITY;
  /** Since when a request has waited without a response, as far as known. */
  private silentSinceMs: number | undefined;

  private constructor() {}

  /** Creates the health of a target without recorded failures. */
  static create(): TargetHealth {
    return new TargetHealth();
  }

  /**
   * Whether the target may receive requests.
   * @param nowMs - Time on the daemon's clock.
   * @param inFlight - Number of this daemon's requests at the target.
   */
  isUsable(nowMs: number, inFlight: number): boolean {
    if (nowMs < Math.max(this.ejectedUntilMs, this.avoidedUntilMs)) {
      return false;
    }
    // After that, one request at a time probes the target.
    const isTrusted = this.ejectionsInRow === 0 && !this.isDoubtful;
    return isTrusted || inFlight === 0;
  }

  /**
   * Records the outcome of a request; true if it ejects the target.
   * @param result - Outcome of the request.
   * @param nowMs - Time on the daemon's clock.
   * @param startMs - When the request was placed.
   */
  recordResult(result: TargetResult, nowMs: number, startMs: number): boolean {
    if (result === 'cancelled' || result === 'turned_away') return false;
    if (result === 'answered') {
      this.recordAnswer(nowMs);
      return false;
    }
    this.failuresInRow += 1;
    const shouldEject =
      result === 'unreachable' ||
      this.ejectionsInRow > 0 ||
      this.failuresInRow >= maxFailuresInRow;
    const mayBeSound =
      result === 'silent' &&
      this.ejectionsInRow === 0 &&
      this.recordSilence(nowMs, startMs) < minHangMs;
    if (!shouldEject || nowMs < this.ejectedUntilMs) return false;
    if (mayBeSound) {
      this.isDoubtful = true;
      this.avoidedUntilMs = nowMs + initialEjectionMs;
      return false;
    }
    const ejectionMs = initialEjectionMs * 2 ** this.ejectionsInRow;
    this.ejectedUntilMs = nowMs + Math.min(maxEjectionMs, ejectionMs);
    this.ejectionsInRow += 1;
    return true;
  }

  private recordAnswer(nowMs: number): void {
    this.failuresInRow = 0;
    this.ejectionsInRow = 0;
    this.isDoubtful = false;
    this.avoidedUntilMs = 0;
    this.lastAnsweredMs = nowMs;
    this.silentSinceMs = undefined;
  }

  /** Records a request without a response; gets how long the target is silent. */
  private recordSilence(nowMs: number, startMs: number): number {
    const sinceMs = Math.max(startMs, this.lastAnsweredMs);
    this.silentSinceMs = Math.min(this.silentSinceMs ?? sinceMs, sinceMs);
    return nowMs - this.silentSinceMs;
  }
}
