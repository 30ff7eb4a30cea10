/** Circuit breaker that stops requests to a failing target and probes it. */
import type {Clock} from '@marigoldpost/common';

/** `closed` admits requests, `open` none, `half_open` one at a time. */
export type CircuitState = 'closed' | 'open' | 'half_open';

/** Threshold and open times of a circuit breaker. */
export interface CircuitBreakerOptions {
  /** Number of consecutive failures that open the breaker. */
  readonly failuresToOpen: number;
  /** First open time in milliseconds; doubles with each consecutive opening. */
  readonly baseOpenMs: number;
  /**
   * Maximum open time in milliseconds; also the longest time that one probe
   * keeps other requests from starting.
   */
  readonly maxOpenMs: number;
}

/** Circuit breaker of one target; transitions depend on the clock. */
export class CircuitBreaker {
  private consecutiveFailures = 0;
  private consecutiveOpenings = 0;
  private openUntilMs: number | undefined;
  private probeUntilMs = 0;

  private constructor(
    private readonly options: CircuitBreakerOptions,
    private readonly clock: Clock,
  ) {}

  /**
   * Creates a closed breaker.
   * @param options - Threshold and open times.
   * @param clock - Clock that the open times are measured on.
   */
  static create(options: CircuitBreakerOptions, clock: Clock): CircuitBreaker {
    return new CircuitBreaker(options, clock);
  }

  /** Gets the current state. */
  getState(): CircuitState {
    if (this.openUntilMs === undefined) return 'closed';
    return this.clock.nowMs() < this.openUntilMs ? 'open' : 'half_open';
  }

  /** Checks whether a request may start now. */
  canStart(): boolean {
    const state = this.getState();
    if (state === 'half_open') return this.clock.nowMs() >= this.probeUntilMs;
    return state === 'closed';
  }

  /** Gets when the next request may start; `undefined` if one may now. */
  getNextAllowedStartMs(): number | undefined {
    if (this.canStart()) return undefined;
    return Math.max(this.openUntilMs ?? 0, this.probeUntilMs);
  }

  /** Records the start of a request; in the half-open state it is the probe. */
  recordStart(): void {
    if (this.getState() !== 'half_open') return;
    this.probeUntilMs = this.clock.nowMs() + this.options.maxOpenMs;
  }

  /** Records a successful request; closes the breaker unless it is open. */
  recordSuccess(): void {
    this.consecutiveFailures = 0;
    // The request started before the breaker opened. Its success does not prove
    // that the target has recovered.
    if (this.getState() === 'open') return;
    this.consecutiveOpenings = 0;
    this.openUntilMs = undefined;
    this.probeUntilMs = 0;
  }

  /**
   * Records a failed request.
   * @param isFatal - Whether the failure opens the breaker immediately.
   */
  recordFailure(isFatal: boolean): void {
    this.consecutiveFailures += 1;
    const state = this.getState();
    if (state === 'open') return;
    const isThresholdReached =
      this.consecutiveFailures >= this.options.failuresToOpen;
    if (isFatal || isThresholdReached || state === 'half_open') this.open();
  }

  private open(): void {
    const {baseOpenMs, maxOpenMs} = this.options;
    const openMs = Math.min(
      maxOpenMs,
      baseOpenMs * 2 ** this.consecutiveOpenings,
    );
    this.consecutiveOpenings += 1;
    this.consecutiveFailures = 0;
    this.probeUntilMs = 0;
    this.openUntilMs = this.clock.nowMs() + openMs;
  }
}
