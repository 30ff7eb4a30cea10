/** Keeps a daemon's view of a prefix of objects up to date. */
import {
  Backoff,
  type Clock,
  isErrorOfKind,
  type Random,
  toMarigoldpostError,
} from '@marigoldpost/common';
import type {
  ObjectChange,
  ObjectChanges,
  ObjectStore,
  StoredObject,
} from '../store/object_store.js';

/** Waits between failed calls: short enough for a 2 s bound on changes. */
const retryWaits = {baseMs: 100, maxMs: 800};

/** Learns what a watch sees. */
export interface ObjectListener {
  /**
   * Called with every object of the prefix; those not named are gone.
   * @param objects - The objects.
   */
  replaceObjects(objects: readonly StoredObject[]): void;

  /**
   * Called for each change after that.
   * @param change - The change.
   */
  applyChange(change: ObjectChange): void;

  /**
   * Called when the platform stops answering.
   * @param error - What the first failed call met.
   */
  noteLost(error: Error): void;

  /**
   * Called when the platform answers again.
   * @param outageMs - Time since the last answer.
   */
  noteBack(outageMs: number): void;
}

/** Options of a watcher. */
export interface ObjectWatcherOptions {
  readonly store: ObjectStore;
  readonly prefix: string;
  readonly listener: ObjectListener;
  readonly clock: Clock;
  readonly random: Random;
  /** Pause between two waits that brought changes; bounds the calls made. */
  readonly pauseMs: number;
  /** Longest wait of one call; bounds how long a silent connection can hide. */
  readonly waitMs?: number;
}

/** Lists a prefix, then watches it; lists again after each failure. */
export class ObjectWatcher {
  private readonly backoff: Backoff;
  private readonly controller = new AbortController();
  /** Ends the call that waits for changes. */
  private wait: AbortController | undefined;
  private version: number | undefined;
  private lastAnswerMs: number;
  private isLost = false;

  private constructor(private readonly options: ObjectWatcherOptions) {
    this.backoff = Backoff.create(retryWaits, options.random);
    this.lastAnswerMs = options.clock.nowMs();
  }

  /**
   * Creates a watcher that has not begun.
   * @param options - What to watch and who learns of it.
   */
  static create(options: ObjectWatcherOptions): ObjectWatcher {
    return new ObjectWatcher(options);
  }

  /** Watches until stopped. */
  async run(): Promise<void> {
    const {signal} = this.controller;
    while (!signal.aborted) {
      try {
        await this.step(signal);
      } catch (error) {
        if (signal.aborted) return;
        await this.handleFailure(error, signal);
      }
    }
  }

  /** Ends the watch. */
  stop(): void {
    this.controller.abort();
    this.wait?.abort();
  }

  /** Waits on a new call, since the connection of this one may be dead. */
  renewWait(): void {
    this.wait?.abort();
  }

  private async step(signal: AbortSignal): Promise<void> {
    const {store, prefix, listener, clock, pauseMs} = this.options;
    if (this.version === undefined) {
      const snapshot = await store.readSnapshot(prefix);
      this.noteAnswer();
      listener.replaceObjects(snapshot.objects);
      this.version = snapshot.version;
      return;
    }
    const answer = await this.waitForChanges(this.version);
    if (answer === undefined) return;
    const {changes, version} = answer;
    this.noteAnswer();
    for (const change of changes) listener.applyChange(change);
    this.version = version;
    if (changes.length > 0) await clock.sleep(pauseMs, signal);
  }

  /** Waits once; nothing when the wait is to begin anew. */
  private async waitForChanges(
    version: number,
  ): Promise<ObjectChanges | undefined> {
    const {store, prefix, waitMs} = this.options;
    this.wait = new AbortController();
    const {signal} = this.wait;
    try {
      return await store.waitForChanges(prefix, version, signal, waitMs);
    } catch (error) {
      if (signal.aborted) return undefined;
      throw error;
    } finally {
      this.wait = undefined;
    }
  }

  private noteAnswer(): void {
    const nowMs = this.options.clock.nowMs();
    const outageMs = nowMs - this.lastAnswerMs;
    this.lastAnswerMs = nowMs;
    this.backoff.reset();
    if (!this.isLost) return;
    this.isLost = false;
    this.options.listener.noteBack(outageMs);
  }

  private async handleFailure(
    error: unknown,
    signal: AbortSignal,
  ): Promise<void> {
    const known = toMarigoldpostError(error);
    // Changes that a broken watch missed may no longer be in the history.
    this.version = undefined;
    if (!isErrorOfKind(known, 'history_gone') && !this.isLost) {
      this.isLost = true;
      this.options.listener.noteLost(known);
    }
    const waitMs = known.retryAfterMs ?? this.backoff.nextDelayMs();
    await this.options.clock
      .sleep(Math.min(waitMs, retryWaits.maxMs), signal)
      .catch(() => undefined);
  }
}
