/**
 * Reads the reservations in the object API once some have lapsed: entry VMs that
 * reach no archive confirm theirs there alone.
 */
import {type Clock, toMarigoldpostError} from '@marigoldpost/common';
import type {Archive} from '../archive/archive.js';
import type {ProgramEntries} from '../records/turn_codec.js';

/** Pause between two checks for new reservations, and after a failed read. */
const checkIntervalMs = 500;

/** Archive and object API of a confirmer. */
export interface LapseConfirmerOptions {
  readonly archive: Archive;
  readonly clock: Clock;
  /** Reads the reservations that entry VMs have recorded in the object API. */
  readonly readReservations: () => Promise<readonly ProgramEntries[]>;
  readonly onFailed: (task: string, error: Error) => void;
}

/** Lets reservations lapse that the object API has not as confirmed. */
export class LapseConfirmer {
  private constructor(private readonly options: LapseConfirmerOptions) {}

  /**
   * Creates a confirmer; `run` starts it.
   * @param options - Archive and object API.
   */
  static create(options: LapseConfirmerOptions): LapseConfirmer {
    return new LapseConfirmer(options);
  }

  /**
   * Reads the object API whenever reservations have lapsed, until aborted.
   * @param signal - Stops the checks when aborted.
   */
  async run(signal: AbortSignal): Promise<void> {
    const {archive, clock} = this.options;
    while (!signal.aborted) {
      const nextMs = archive.nextLapseMs ?? Number.POSITIVE_INFINITY;
      const waitMs = nextMs - clock.nowMs();
      if (waitMs > 0) {
        await clock.sleep(Math.min(waitMs, checkIntervalMs), signal);
      } else if (!(await this.tryRead())) {
        await clock.sleep(checkIntervalMs, signal);
      }
    }
  }

  private async tryRead(): Promise<boolean> {
    const {archive, clock, readReservations, onFailed} = this.options;
    const startMs = clock.nowMs();
    try {
      await archive.mergeLedgers(await readReservations());
      archive.recordReservationsRead(startMs);
      return true;
    } catch (error) {
      onFailed('lapses', toMarigoldpostError(error));
      return false;
    }
  }
}
