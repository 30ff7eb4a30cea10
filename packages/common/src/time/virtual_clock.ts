/** A clock whose time changes only through explicit calls. */
import {BinaryHeap} from '../utils/binary_heap.js';
import {Clock, type Timer} from './clock.js';

interface TimerEntry {
  readonly dueMs: number;
  readonly sequence: number;
  readonly callback: () => void;
  isCancelled: boolean;
}

function compareEntries(left: TimerEntry, right: TimerEntry): number {
  return left.dueMs - right.dueMs || left.sequence - right.sequence;
}

/** Clock for simulations and tests; timers fire in order of due time. */
export class VirtualClock extends Clock {
  private currentMs = 0;
  private nextSequence = 0;
  private readonly entries = BinaryHeap.create(compareEntries);

  /** Creates a clock whose time is 0. */
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
    const entry: TimerEntry = {
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

  /** Gets the due time of the next timer; undefined without pending timers. */
  getNextDueMs(): number | undefined {
    this.removeCancelled();
    return this.entries.peek()?.dueMs;
  }

  /** Advances to the next timer and fires it; false without pending timers. */
  fireNext(): boolean {
    this.removeCancelled();
    const entry = this.entries.remove();
    if (entry === undefined) return false;
    this.currentMs = Math.max(this.currentMs, entry.dueMs);
    entry.callback();
    return true;
  }

  /**
   * Advances the time without firing timers, as after a pause of the process.
   * @param elapsedMs - Milliseconds to add.
   */
  skip(elapsedMs: number): void {
    this.currentMs += elapsedMs;
  }

  /**
   * Advances the time and fires the timers that fall due. Pending promise
   * continuations run before each timer and after the last one.
   * @param elapsedMs - Milliseconds to add.
   */
  async advance(elapsedMs: number): Promise<void> {
    const endMs = this.currentMs + elapsedMs;
    await settlePromises();
    for (;;) {
      const dueMs = this.getNextDueMs();
      if (dueMs === undefined || dueMs > endMs) break;
      this.fireNext();
      await settlePromises();
    }
    this.currentMs = Math.max(this.currentMs, endMs);
  }

  private removeCancelled(): void {
    while (this.entries.peek()?.isCancelled) this.entries.remove();
  }
}

/** Waits until the continuations of all settled promises have run. */
function settlePromises(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
