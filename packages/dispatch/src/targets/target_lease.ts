/** Place of a request at a target. */
import type {TargetEntry} from '@marigoldpost/sites';
import type {TargetResult} from './target_health.js';

/** Times and tokens of a stream that has ended. */
export interface StreamRun {
  /** Time from sending to the first event. */
  readonly firstEventMs: number;
  readonly outputTokens: number;
  /** Mean time of a token; undefined for short streams. */
  readonly tokenMs: number | undefined;
}

/** Outcome of a request at its target. */
export interface DispatchResult {
  readonly result: TargetResult;
  /** Latency to compare with other targets; undefined if not comparable. */
  readonly latencySampleMs?: number | undefined;
  /** What a stream cost; undefined if it tells nothing. */
  readonly run?: StreamRun | undefined;
}

/** Slot in a target's window, held until the request ends. */
export class TargetLease {
  private isReleased = false;

  private constructor(
    /** Target to send the request to. */
    readonly target: TargetEntry,
    private readonly onReleased: (result: DispatchResult) => void,
  ) {}

  /**
   * Creates a lease.
   * @param target - Target to send the request to.
   * @param onReleased - Called once, with the outcome of the request.
   */
  static create(
    target: TargetEntry,
    onReleased: (result: DispatchResult) => void,
  ): TargetLease {
    return new TargetLease(target, onReleased);
  }

  /**
   * Releases the slot; later calls are ignored.
   * @param result - Outcome of the request.
   */
  release(result: DispatchResult): void {
    if (this.isReleased) return;
    this.isReleased = true;
    this.onReleased(result);
  }
}
