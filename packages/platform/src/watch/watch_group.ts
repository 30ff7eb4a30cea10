/** All watches of one daemon on one object API. */
import type {Clock, Random} from '@marigoldpost/common';
import type {ObjectStore} from '../store/object_store.js';
import {type ObjectListener, ObjectWatcher} from './object_watcher.js';

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
}

/**
 * Watches that share the detection of outages: a watch with short waits detects
 * an outage early. When the outage ends, all watches restart their waits, since
 * those with long waits may use dead connections.
 */
export class WatchGroup {
  private readonly watchers: ObjectWatcher[] = [];

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
    const listener = this.createListener(watch.listener);
    const watcher = ObjectWatcher.create({...this.options, ...watch, listener});
    this.watchers.push(watcher);
    return watcher;
  }

  /** Stops all watches of the group. */
  stop(): void {
    for (const watcher of this.watchers) watcher.stop();
  }

  private createListener(listener: ObjectListener): ObjectListener {
    return {
      replaceObjects: (objects) => listener.replaceObjects(objects),
      applyChange: (change) => listener.applyChange(change),
      onWatchFailed: (error) => listener.onWatchFailed(error),
      onWatchRecovered: (outageMs, failedAgoMs) => {
        listener.onWatchRecovered(outageMs, failedAgoMs);
        // Calls that began during the outage may never get a response either.
        for (const watcher of this.watchers) watcher.restartWait();
      },
    };
  }
}
