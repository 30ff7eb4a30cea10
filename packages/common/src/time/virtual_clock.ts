/** A clock that moves only when told to. */
import {BinaryHeap} from '../utils/binary_heap.js';
import {Clock, type Timer} from './clock.js';

interface Entry {
  readonly dueMs: number;
  readonly sequence: number;
  readonly callback: () => void;
  isCancelled: boolean;
}

function compareEntries(left: Entry, right: Entry): number {
  return left.dueMs - right.dueMs || left.sequence - right.sequence;
}

/** Clock for simulations and tests; timers fire in order of due time. */
export class VirtualClock extends Clock {
  private currentMs = 0;
  private nextSequence = 0;
  private readonly entries = BinaryHeap.create(compareEntries);

  /** Creates a clock that stands at 0. */
  static create(): VirtualClock {
    return new VirtualClock();
  }

  override nowMs(): number {
    return this.currentMs;
  }

  override wallTimeMs(): number {
    return this.currentMs;
  }

  override setTimer(delayMs: number, callback: () => void): Timer {
    const entry: Entry = {
      dueMs: this.currentMs + Math.max(0, delayMs),
      sequence: this.nextSequence++,
      callback,
      isCancelled: false,
    };
    this.entries.add(entry);
    return {
      cancel: () => {
        entry.isCancelled = true;
      },
    };
  }

  /** Gets when the next timer is due, or nothing when none waits. */
  getNextDueMs(): number | undefined {
    this.removeCancelled();
    return this.entries.peek()?.dueMs;
  }

  /** Moves to the next timer and fires it; false when none waits. */
  fireNext(): boolean {
    this.removeCancelled();
    const entry = this.entries.remove();
    if (entry === undefined) return false;
    this.currentMs = Math.max(this.currentMs, entry.dueMs);
    entry.callback();
    return true;
  }

  /**
   * Moves on without firing timers, as a paused process sees it.
   * @param elapsedMs - How far to move, in milliseconds.
   */
  skip(elapsedMs: number): void {
    this.currentMs += elapsedMs;
  }

  /**
   * Moves on and fires what falls due, letting promises settle in between.
   * @param elapsedMs - How far to move, in milliseconds.
   */
  async advance(elapsedMs: number): Promise<void> {
    const endMs = this.currentMs + elapsedMs;
    await settle();
    for (;;) {
      const dueMs = this.getNextDueMs();
      if (dueMs === undefined || dueMs > endMs) break;
      this.fireNext();
      await settle();
    }
    this.currentMs = Math.max(this.currentMs, endMs);
  }

  private removeCancelled(): void {
    while (this.entries.peek()?.isCancelled) this.entries.remove();
  }
}

/** Lets every promise that is ready run its continuations. */
function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
