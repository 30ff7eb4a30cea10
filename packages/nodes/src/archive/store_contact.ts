/**
 * Tells whether an archive is in contact with the object API, and finds changes
 * that its watches have missed. It reads what the watches read, with short waits
 * and data that may be stale, at a tenth of the cost; so the waits of the watches
 * may be long.
 */
import type {Clock} from '@marigoldpost/common';
import type {ObjectListener, ObjectWatcher} from '@marigoldpost/platform';
import type {WatchTiming} from '../site_node.js';

/** Timing of the stale reads. */
export const contactTiming: WatchTiming = {pauseMs: 100, waitMs: 1000};
/**
 * Time without a response after which an archive counts as out of contact: the
 * wait of a stale read and the time-out of a call.
 */
const maxSilenceMs = 1700;
/** Time for a watch to return a change that a stale read has shown. */
const missedChangeMs = 300;

/** Contact of one archive. */
export class StoreContact {
  private readonly readers: ObjectWatcher[] = [];

  private constructor(private readonly clock: Clock) {}

  /**
   * Creates a contact that no read has shown yet.
   * @param clock - Clock of the archive.
   */
  static create(clock: Clock): StoreContact {
    return new StoreContact(clock);
  }

  /** Whether the object API has responded to all readers lately. */
  get isEstablished(): boolean {
    const nowMs = this.clock.nowMs();
    return (
      this.readers.length > 0 &&
      this.readers.every(
        ({isFailing, lastReadMs}) =>
          !isFailing && nowMs - lastReadMs <= maxSilenceMs,
      )
    );
  }

  /**
   * Adds a reader of stale data.
   * @param reader - Watch with `contactTiming`.
   */
  addReader(reader: ObjectWatcher): void {
    this.readers.push(reader);
  }

  /**
   * Creates the listener of a reader. It repeats the wait of a watch that has
   * not returned a change: the response may have been lost, or the object API
   * responds to stale reads only.
   * @param watcher - Watch of the same prefix.
   * @param onMissed - Called before the wait is repeated.
   */
  createListener(watcher: ObjectWatcher, onMissed: () => void): ObjectListener {
    let hasChanged = false;
    return {
      replaceObjects: () => {
        hasChanged = true;
      },
      applyChange: () => {
        hasChanged = true;
      },
      onVersionRead: (version) => {
        if (hasChanged) this.checkLater(watcher, version, onMissed);
        hasChanged = false;
      },
      onWatchFailed: () => undefined,
      onWatchRecovered: () => undefined,
    };
  }

  private checkLater(
    watcher: ObjectWatcher,
    version: number,
    onMissed: () => void,
  ): void {
    this.clock.setTimer(missedChangeMs, () => {
      const {readVersion} = watcher;
      if (readVersion === undefined || readVersion >= version) return;
      onMissed();
      watcher.restartWait();
    });
  }
}
