/**
 * Reserves the times at which a limited target receives requests. Load pattern:
 * many entry VMs send to one target, each of them only now and then, so that no
 * share of the limit is large enough for a single request.
 */

/**
 * Time in which unused permits accumulate. It bounds a burst after a pause to a
 * fraction of what the limit allows in any second.
 */
const burstMs = 500;
const msPerSecond = 1000;

/** What a daemon asks of a schedule. */
export interface PermitReservation {
  readonly nowMs: number;
  readonly limitPerS: number;
  readonly count: number;
  /** Longest time until a permit may be used. */
  readonly horizonMs: number;
}

/** Reserved permits, and when the next one is free. */
export interface ReservedPermits {
  /** For each permit, the time until it may be used. */
  readonly delaysMs: readonly number[];
  readonly nextDelayMs: number;
}

/** Permits of one target, at equal intervals after a burst. */
export class PermitSchedule {
  private nextMs: number | undefined;

  private constructor() {}

  /** Creates a schedule; its first permit is free after one interval. */
  static create(): PermitSchedule {
    return new PermitSchedule();
  }

  /**
   * Reserves permits in order, as far as they are within the horizon.
   * @param reservation - Number of permits, limit and horizon.
   */
  reserve({
    nowMs,
    limitPerS,
    count,
    horizonMs,
  }: PermitReservation): ReservedPermits {
    const intervalMs = msPerSecond / limitPerS;
    const earliestMs = nowMs - Math.max(0, burstMs - intervalMs);
    // An earlier holder of the schedule may have used up what accumulated.
    let nextMs = Math.max(this.nextMs ?? nowMs + intervalMs, earliestMs);
    const delaysMs: number[] = [];
    while (delaysMs.length < count) {
      const delayMs = Math.max(0, nextMs - nowMs);
      if (delayMs > horizonMs) break;
      delaysMs.push(delayMs);
      nextMs += intervalMs;
    }
    this.nextMs = nextMs;
    return {delaysMs, nextDelayMs: Math.max(0, nextMs - nowMs)};
  }
}
