/** Keeps work from a target that fails, and tries it again with one request. */
import type {Clock} from '@marigoldpost/common';

/** `closed` takes work, `open` none, `half_open` one request at a time. */
export type CircuitState = 'closed' | 'open' | 'half_open';

/** Bounds of a circuit breaker. */
export interface CircuitBreakerOptions {
  /** Failures in a row that open it. */
  readonly failuresToOpen: number;
  /** First time that it stays open, in milliseconds; doubles each time. */
  readonly baseOpenMs: number;
  /** Longest time that it stays open, in milliseconds. */
  readonly maxOpenMs: number;
}

/** Circuit breaker of one target. */
export class CircuitBreaker {
  private failures = 0;
  private openings = 0;
  private openUntilMs: number | undefined;
  private probeUntilMs = 0;

  private constructor(
    private readonly options: CircuitBreakerOptions,
    private readonly clock: Clock,
  ) {}

  /**
   * Creates a closed breaker.
   * @param options - Its bounds.
   * @param clock - Source of time.
   */
  static create(options: CircuitBreakerOptions, clock: Clock): CircuitBreaker {
    return new CircuitBreaker(options, clock);
  }

  /** Gets the state now. */
  getState(): CircuitState {
    if (this.openUntilMs === undefined) return 'closed';
    return this.clock.nowMs() < this.openUntilMs ? 'open' : 'half_open';
  }

  /** Whether a request may start now. */
  canStart(): boolean {
    const state = this.getState();
    if (state === 'half_open') return this.clock.nowMs() >= this.probeUntilMs;
    return state === 'closed';
  }

  /** Gets when a request may start again; nothing when one may now. */
  getNextStartMs(): number | undefined {
    if (this.canStart()) return undefined;
    return Math.max(this.openUntilMs ?? 0, this.probeUntilMs);
  }

  /** Notes that a request starts; in the half-open state it is the probe. */
  noteStarted(): void {
    if (this.getState() !== 'half_open') return;
    this.probeUntilMs = this.clock.nowMs() + this.options.maxOpenMs;
  }

  /** Notes a request that succeeded. */
  noteSuccess(): void {
    this.failures = 0;
    // An old request's success says nothing about a target that failed since.
    if (this.getState() === 'open') return;
    this.openings = 0;
    this.openUntilMs = undefined;
    this.probeUntilMs = 0;
  }

  /**
   * Notes a request that failed.
   * @param isFatal - Opens the breaker at once.
   */
  noteFailure(isFatal: boolean): void {
    this.failures += 1;
    const state = this.getState();
    if (state === 'open') return;
    const isDue = this.failures >= this.options.failuresToOpen;
    if (isFatal || isDue || state === 'half_open') this.open();
  }

  private open(): void {
    const {baseOpenMs, maxOpenMs} = this.options;
    const openMs = Math.min(maxOpenMs, baseOpenMs * 2 ** this.openings);
    this.openings += 1;
    this.failures = 0;
    this.probeUntilMs = 0;
    this.openUntilMs = this.clock.nowMs() + openMs;
  }
}
