/** Continuous watch of the objects of one prefix. */
import {
  Backoff,
  type Clock,
  isErrorOfKind,
  type Random,
  toMarigoldpostError,
} from '@marigoldpost/common';
import type {
  ChangeSource,
  ObjectChange,
  ObjectChanges,
  ObjectStore,
  StoredObject,
} from '../store/object_store.js';

/** Delays between failed calls; short enough to see changes within 2 s. */
const retryBackoff = {baseMs: 100, maxMs: 800};
/** Pause while stale listings are too old to be continued. */
const staleListingPauseMs = 1000;

/** Receives the objects, changes and outages of a watch. */
export interface ObjectListener {
  /**
   * Called with all objects of the prefix, at the start and after failures.
   * @param objects - Complete set; objects not in it no longer exist.
   */
  replaceObjects(objects: readonly StoredObject[]): void;

  /**
   * Called for each change since the last complete set.
   * @param change - Change of one object.
   */
  applyChange(change: ObjectChange): void;

  /**
   * Called after each successful call, once its objects or changes have been
   * passed on.
   * @param version - Version up to which all changes have been passed on.
   */
  onVersionRead?(version: number): void;

  /**
   * Called when a call fails after successful ones.
   * @param error - Error of the first failed call.
   */
  onWatchFailed(error: Error): void;

  /**
   * Called when a call succeeds after failed ones.
   * @param outageMs - Time since the previous successful call.
   * @param failedAgoMs - Time since the last failed call was sent: the outage
   *   may have ended as long ago.
   */
  onWatchRecovered(outageMs: number, failedAgoMs: number): void;
}

/** Prefix to watch, listener and pacing of the calls. */
export interface ObjectWatcherOptions {
  readonly store: ObjectStore;
  /** Where to wait for changes; the store if omitted. */
  readonly changeSource?: ChangeSource;
  readonly prefix: string;
  readonly listener: ObjectListener;
  readonly clock: Clock;
  readonly random: Random;
  /** Pause after a wait that returned changes; limits the rate of calls. */
  readonly pauseMs: number;
  /** Longest wait of one call; limits how long a dead connection is used. */
  readonly waitMs?: number;
  /**
   * Called before a failed call is repeated, after its delay; resolves when the
   * call may be repeated.
   */
  readonly waitForRetry?: (signal: AbortSignal) => Promise<void>;
}

/**
 * Lists the objects of a prefix, then waits for changes; lists them again after
 * each failure.
 */
export class ObjectWatcher {
  private readonly backoff: Backoff;
  private readonly controller = new AbortController();
  /** Aborts the call that waits for changes. */
  private wait: AbortController | undefined;
  private version: number | undefined;
  private lastResponseMs: number;
  /** When the last call, and the last one that failed, were sent. */
  private lastSentMs: number;
  private lastFailedSentMs: number;
  private hasFailed = false;
  /** Listings since the last wait that could not be continued. */
  private goneInRow = 0;

  private constructor(private readonly options: ObjectWatcherOptions) {
    this.backoff = Backoff.create(retryBackoff, options.random);
    this.lastResponseMs = options.clock.nowMs();
    this.lastSentMs = this.lastResponseMs;
    this.lastFailedSentMs = this.lastResponseMs;
  }

  /**
   * Creates a watcher; `run` starts it.
   * @param options - Prefix, listener and pacing.
   */
  static create(options: ObjectWatcherOptions): ObjectWatcher {
    return new ObjectWatcher(options);
  }

  /** Whether the last call failed. */
  get isFailing(): boolean {
    return this.hasFailed;
  }

  /**
   * When the last response arrived, on the watcher's clock; before the first
   * one, when the watcher was created.
   */
  get lastReadMs(): number {
    return this.lastResponseMs;
  }

  /**
   * Version up to which all changes have been passed on; `undefined` until the
   * next listing.
   */
  get readVersion(): number | undefined {
    return this.version;
  }

  /** Watches until `stop` is called; retries after failures. */
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

  /** Stops the watch and aborts the call in flight. */
  stop(): void {
    this.controller.abort();
    this.wait?.abort();
  }

  /** Repeats the current wait, since its connection may be dead. */
  restartWait(): void {
    this.wait?.abort();
  }

  private async step(signal: AbortSignal): Promise<void> {
    const {store, prefix, listener, clock, pauseMs} = this.options;
    this.lastSentMs = clock.nowMs();
    if (this.version === undefined) {
      const snapshot = await store.readSnapshot(prefix);
      this.recordResponse();
      listener.replaceObjects(snapshot.objects);
      this.version = snapshot.version;
      listener.onVersionRead?.(snapshot.version);
      return;
    }
    const result = await this.waitForChanges(this.version);
    if (result === undefined) return;
    const {changes, version} = result;
    this.recordResponse();
    this.goneInRow = 0;
    for (const change of changes) listener.applyChange(change);
    this.version = version;
    listener.onVersionRead?.(version);
    if (changes.length > 0) await clock.sleep(pauseMs, signal);
  }

  /** Waits for changes once; undefined when `restartWait` aborted the wait. */
  private async waitForChanges(
    version: number,
  ): Promise<ObjectChanges | undefined> {
    const {store, changeSource = store, prefix, waitMs} = this.options;
    this.wait = new AbortController();
    const {signal} = this.wait;
    try {
      return await changeSource.waitForChanges(prefix, version, signal, waitMs);
    } catch (error) {
      if (signal.aborted) return undefined;
      throw error;
    } finally {
      this.wait = undefined;
    }
  }

  private recordResponse(): void {
    const nowMs = this.options.clock.nowMs();
    const outageMs = nowMs - this.lastResponseMs;
    this.lastResponseMs = nowMs;
    this.backoff.reset();
    if (!this.hasFailed) return;
    this.hasFailed = false;
    const failedAgoMs = nowMs - this.lastFailedSentMs;
    this.options.listener.onWatchRecovered(outageMs, failedAgoMs);
  }

  private async handleFailure(
    error: unknown,
    signal: AbortSignal,
  ): Promise<void> {
    const known = toMarigoldpostError(error);
    this.lastFailedSentMs = this.lastSentMs;
    // The store's history may no longer have the changes missed meanwhile.
    this.version = undefined;
    const isGone = isErrorOfKind(known, 'history_gone');
    this.goneInRow = isGone ? this.goneInRow + 1 : 0;
    if (!isGone && !this.hasFailed) {
      this.hasFailed = true;
      this.options.listener.onWatchFailed(known);
    }
    const backoffMs = known.retryAfterMs ?? this.backoff.nextDelayMs();
    const waitMs =
      this.goneInRow > 1 && this.options.store.mayReadStale
        ? staleListingPauseMs
        : Math.min(backoffMs, retryBackoff.maxMs);
    const {clock, waitForRetry} = this.options;
    try {
      await clock.sleep(waitMs, signal);
      if (this.hasFailed) await waitForRetry?.(signal);
    } catch {
      // The watch is being stopped.
    }
  }
}
