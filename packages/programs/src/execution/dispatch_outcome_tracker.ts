/** Tracks the outcomes of a call's dispatches, to report a correct outcome. */
import {MarigoldpostError} from '@marigoldpost/common';
import type {DispatchOptions} from './turn_context.js';

/**
 * What is known of the newest dispatch: `none` was made, it is `own` and its
 * error tells its outcome, it is `unsure` whether it ran, or it did `not_run`.
 */
type LatestDispatchState = 'none' | 'own' | 'unsure' | 'not_run';

/** Decides whether a `not_run` failure holds for all dispatches of a call. */
export class DispatchOutcomeTracker {
  private hasUncertainDispatch = false;

  private constructor(private latest: LatestDispatchState) {}

  /**
   * Creates a tracker.
   * @param isRecovered - Whether a previous holder dispatched the call.
   */
  static create(isRecovered: boolean): DispatchOutcomeTracker {
    return new DispatchOutcomeTracker(isRecovered ? 'unsure' : 'none');
  }

  /**
   * Records that another dispatch is attempted.
   * @param options - Outcome of the previous dispatch.
   */
  recordAttempt({previousOutcome}: DispatchOptions): void {
    if (this.latest === 'none') return;
    this.latest = previousOutcome === 'not_run' ? 'not_run' : 'unsure';
  }

  /** Records that the attempted dispatch was added to the journal. */
  recordDispatch(): void {
    if (this.latest === 'unsure') this.hasUncertainDispatch = true;
    this.latest = 'own';
  }

  /**
   * Whether the newest dispatch is known not to have run, so it used no tokens.
   * @param error - Error that ended the call.
   */
  isLatestNotRun(error: MarigoldpostError): boolean {
    if (this.latest === 'not_run') return true;
    return this.latest === 'own' && error.outcome === 'not_run';
  }

  /**
   * Gets the failure with an outcome that holds for all dispatches.
   * @param error - Error that ended the call.
   */
  toCallFailure(error: MarigoldpostError): MarigoldpostError {
    if (error.outcome !== 'not_run' || this.latest === 'none') return error;
    if (!this.hasUncertainDispatch && this.isLatestNotRun(error)) return error;
    const {kind, message, retryAfterMs} = error;
    return MarigoldpostError.create(kind, message, {
      cause: error,
      outcome: 'unknown',
      retryAfterMs,
    });
  }
}
