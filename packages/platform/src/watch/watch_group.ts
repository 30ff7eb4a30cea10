/** Watches of one daemon on one object API. */
import type {Clock, Random} from '@marigoldpost/common';
import type {ObjectStore} from '../store/object_store.js';
import {type ObjectListener, ObjectWatcher} from './object_watcher.js';

/** Options of a group. */
export interface WatchGroupOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: Random;
}

/** One watch of a group; see `ObjectWatcherOptions`. */
export interface GroupedWatch {
  readonly prefix: string;
  readonly listener: ObjectListener;
  readonly pauseMs: number;
  readonly waitMs?: number;
}

/**
 * Watches that learn of dead connections from each other: a short wait on one
 * prefix finds an outage early, and the long waits on the others begin anew
 * when it is over.
 */
export class WatchGroup {
  private readonly watchers: ObjectWatcher[] = [];

  private constructor(private readonly options: WatchGroupOptions) {}

  /**
   * Creates a group without watches.
   * @param options - The object API.
   */
  static create(options: WatchGroupOptions): WatchGroup {
    return new WatchGroup(options);
  }

  /**
   * Adds a watch that has not begun.
   * @param watch - What to watch and who learns of it.
   */
  add(watch: GroupedWatch): ObjectWatcher {
    const listener = this.createListener(watch.listener);
    const watcher = ObjectWatcher.create({...this.options, ...watch, listener});
    this.watchers.push(watcher);
    return watcher;
  }

  /** Ends every watch. */
  stop(): void {
    for (const watcher of this.watchers) watcher.stop();
  }

  private createListener(listener: ObjectListener): ObjectListener {
    return {
      replaceObjects: (objects) => listener.replaceObjects(objects),
      applyChange: (change) => listener.applyChange(change),
      noteLost: (error) => listener.noteLost(error),
      noteBack: (outageMs) => {
        listener.noteBack(outageMs);
        // Also calls that began within the outage may never be answered.
        for (const watcher of this.watchers) watcher.renewWait();
      },
    };
  }
}
