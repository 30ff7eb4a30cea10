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

/** Decides from request outcomes whether one daemon uses a target. */
export class TargetHealth {
  private failuresInRow = 0;
  private ejectionsInRow = 0;
  private ejectedUntilMs = 0;

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
    if (nowMs < this.ejectedUntilMs) return false;
    // After an ejection, one request at a time probes the target.
    return this.ejectionsInRow === 0 || inFlight === 0;
  }

  /**
   * Records the outcome of a request; true if it ejects the target.
   * @param result - Outcome of the request.
   * @param nowMs - Time on the daemon's clock.
   */
  recordResult(result: TargetResult, nowMs: number): boolean {
    if (result === 'cancelled' || result === 'turned_away') return false;
    if (result === 'answered') {
      this.failuresInRow = 0;
      this.ejectionsInRow = 0;
      return false;
    }
    this.failuresInRow += 1;
    const shouldEject =
      result === 'unreachable' ||
      this.ejectionsInRow > 0 ||
      this.failuresInRow >= maxFailuresInRow;
    if (!shouldEject || nowMs < this.ejectedUntilMs) return false;
    const ejectionMs = initialEjectionMs * 2 ** this.ejectionsInRow;
    this.ejectedUntilMs = nowMs + Math.min(maxEjectionMs, ejectionMs);
    this.ejectionsInRow += 1;
    return true;
  }
}
