/** What is known of a call's dispatches, for the truth of its outcome. */
import {MarigoldpostError} from '@marigoldpost/common';
import type {DispatchOptions} from './turn_context.js';

/** How sure it is whether the newest dispatch has run. */
type LatestDispatch = 'none' | 'own' | 'unsure' | 'not_run';

/** Tells whether a failure that says `not_run` speaks for the whole call. */
export class DispatchAccount {
  private hasLost = false;

  private constructor(private latest: LatestDispatch) {}

  /**
   * Creates an account.
   * @param isRecovered - Whether a previous holder dispatched the call.
   */
  static create(isRecovered: boolean): DispatchAccount {
    return new DispatchAccount(isRecovered ? 'unsure' : 'none');
  }

  /**
   * Notes that another dispatch is wanted.
   * @param options - What became of the one before.
   */
  noteWanted({previousOutcome}: DispatchOptions): void {
    if (this.latest === 'none') return;
    this.latest = previousOutcome === 'not_run' ? 'not_run' : 'unsure';
  }

  /** Notes that the dispatch wanted was recorded. */
  noteDispatched(): void {
    if (this.latest === 'unsure') this.hasLost = true;
    this.latest = 'own';
  }

  /**
   * Whether the newest dispatch has surely used nothing.
   * @param error - How the call failed.
   */
  isLatestNotRun(error: MarigoldpostError): boolean {
    if (this.latest === 'not_run') return true;
    return this.latest === 'own' && error.outcome === 'not_run';
  }

  /**
   * Gets the failure with an outcome that holds for every dispatch.
   * @param error - How the call failed.
   */
  toWholeOutcome(error: MarigoldpostError): MarigoldpostError {
    if (error.outcome !== 'not_run' || this.latest === 'none') return error;
    if (!this.hasLost && this.isLatestNotRun(error)) return error;
    const {kind, message, retryAfterMs} = error;
    return MarigoldpostError.create(kind, message, {
      cause: error,
      outcome: 'unknown',
      retryAfterMs,
    });
  }
}
