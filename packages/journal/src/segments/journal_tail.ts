/** Where a journal goes on. */
import type {SnapshotReference} from './segment.js';

/** State of the slots after a seal. */
export interface JournalTail {
  /** Ordinal of the next segment. */
  readonly nextOrdinal: number;
  /** First ordinal that a replay needs. */
  readonly liveFromOrdinal: number;
  /** Version of each slot that was ever written, by key. */
  readonly versions: ReadonlyMap<string, number>;
  /** The snapshot in force. */
  readonly snapshot?: SnapshotReference;
}
