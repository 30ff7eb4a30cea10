/** All watches of one daemon on one object API. */
import type {Clock, Random} from '@marigoldpost/common';
import type {ChangeSource, ObjectStore} from '../store/object_store.js';
import {type ObjectListener, ObjectWatcher} from './object_watcher.js';

/** Longest time for which a watch leaves the calls of an outage to others. */
const maxOutageWaitMs = 2000;

/** Object API, clock and randomness of all watches of a group. */
export interface WatchGroupOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: Random;
}

/** A watch of a group; the fields are those of `ObjectWatcherOptions`. */
export interface GroupedWatch {
  readonly prefix: string;
  readonly listener: ObjectListener;
  readonly pauseMs: number;
  readonly waitMs?: number;
  /** Client of the object API; the one of the group if omitted. */
  readonly store?: ObjectStore;
  readonly changeSource?: ChangeSource;
}

/**
 * Watches that share the detection of outages: a watch with short waits detects
 * an outage early. When the outage ends, all watches restart their waits, since
 * those with long waits may use dead connections. While a watch with the
 * shortest waits fails, the others leave the calls to it: each call is priced,
 * failed ones too.
 */
export class WatchGroup {
  private readonly watchers: ObjectWatcher[] = [];
  /** Watches with the shortest waits. */
  private promptWatchers: ObjectWatcher[] = [];
  private shortestWaitMs = Number.POSITIVE_INFINITY;
  /** Ends the waits for the end of an outage. */
  private readonly recoveryListeners = new Set<() => void>();

  private constructor(private readonly options: WatchGroupOptions) {}

  /**
   * Creates a group without watches.
   * @param options - Object API, clock and randomness.
   */
  static create(options: WatchGroupOptions): WatchGroup {
    return new WatchGroup(options);
  }

  /**
   * Adds a watch; the caller starts it with `run`.
   * @param watch - Prefix, listener and pacing.
   */
  add(watch: GroupedWatch): ObjectWatcher {
    const {waitMs = Number.POSITIVE_INFINITY} = watch;
    const watcher: ObjectWatcher = ObjectWatcher.create({
      ...this.options,
      ...watch,
      listener: this.createListener(watch.listener),
      waitForRetry: (signal) =>
        this.promptWatchers.includes(watcher)
          ? Promise.resolve()
          : this.waitForPromptWatchers(signal),
    });
    this.watchers.push(watcher);
    if (waitMs < this.shortestWaitMs) {
      this.shortestWaitMs = waitMs;
      this.promptWatchers = [];
    }
    if (waitMs === this.shortestWaitMs) this.promptWatchers.push(watcher);
    return watcher;
  }

  /** Stops all watches of the group. */
  stop(): void {
    for (const watcher of this.watchers) watcher.stop();
  }

  /** Waits while watches with the shortest waits fail, for 2 s at most. */
  private waitForPromptWatchers(signal: AbortSignal): Promise<void> {
    if (!this.promptWatchers.some(({isFailing}) => isFailing)) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      const end = () => {
        timer.cancel();
        signal.removeEventListener('abort', end);
        this.recoveryListeners.delete(end);
        resolve();
      };
      const timer = this.options.clock.setTimer(maxOutageWaitMs, end);
      signal.addEventListener('abort', end, {once: true});
      this.recoveryListeners.add(end);
    });
  }

  private createListener(listener: ObjectListener): ObjectListener {
    return {
      replaceObjects: (objects) => listener.replaceObjects(objects),
      applyChange: (change) => listener.applyChange(change),
      onVersionRead: (version) => listener.onVersionRead?.(version),
      onWatchFailed: (error) => listener.onWatchFailed(error),
      onWatchRecovered: (outageMs, failedAgoMs) => {
        listener.onWatchRecovered(outageMs, failedAgoMs);
        // Calls that began during the outage may never get a response either.
        for (const watcher of this.watchers) watcher.restartWait();
        for (const end of [...this.recoveryListeners]) end();
      },
    };
  }
}
