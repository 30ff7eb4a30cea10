/**
 * Leaves out targets that fail. Load pattern: a target crashes, hangs or
 * answers garbage while its registry entry still stands, for seconds.
 */

/** How a request to a target ended, as far as its health is concerned. */
export type TargetResult =
  | 'answered'
  | 'unreachable'
  | 'broken'
  | 'silent'
  | 'turned_away'
  | 'cancelled';

/** Failures in a row, with the target reachable, that leave it out. */
const maxFailuresInRow = 3;
/** First time out; short, since a restarted target is back within seconds. */
const firstEjectionMs = 250;
/** Longest time out: within it a recovered target is tried again. */
const maxEjectionMs = 2000;

/** Health of one target as one daemon sees it. */
export class TargetHealth {
  private failuresInRow = 0;
  private ejections = 0;
  private ejectedUntilMs = 0;

  private constructor() {}

  /** Creates the health of a target that has not been tried. */
  static create(): TargetHealth {
    return new TargetHealth();
  }

  /**
   * Whether the target may get requests.
   * @param nowMs - Time of the daemon's clock.
   * @param inFlight - Requests that it already has from this daemon.
   */
  isUsable(nowMs: number, inFlight: number): boolean {
    if (nowMs < this.ejectedUntilMs) return false;
    // After a time out, one request at a time shows whether it is back.
    return this.ejections === 0 || inFlight === 0;
  }

  /**
   * Notes how a request ended; true when that leaves the target out.
   * @param result - How it ended.
   * @param nowMs - Time of the daemon's clock.
   */
  noteResult(result: TargetResult, nowMs: number): boolean {
    if (result === 'cancelled' || result === 'turned_away') return false;
    if (result === 'answered') {
      this.failuresInRow = 0;
      this.ejections = 0;
      return false;
    }
    this.failuresInRow += 1;
    const isOut =
      result === 'unreachable' ||
      this.ejections > 0 ||
      this.failuresInRow >= maxFailuresInRow;
    if (!isOut || nowMs < this.ejectedUntilMs) return false;
    const ejectionMs = firstEjectionMs * 2 ** this.ejections;
    this.ejectedUntilMs = nowMs + Math.min(maxEjectionMs, ejectionMs);
    this.ejections += 1;
    return true;
  }
}
