/** Position at which a journal continues after a seal. */
import type {SnapshotReference} from './segment.js';

/** State of the slots directly after a seal. */
export interface JournalTail {
  /** Ordinal of the next segment. */
  readonly nextOrdinal: number;
  /** Lowest ordinal that a replay still needs. */
  readonly liveFromOrdinal: number;
  /** Version of each slot that was ever written, by object key. */
  readonly versions: ReadonlyMap<string, number>;
  /** Snapshot from which a replay starts, if there is one. */
  readonly snapshot?: SnapshotReference;
}
