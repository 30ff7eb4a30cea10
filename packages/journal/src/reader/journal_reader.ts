/** Takeover of a partition's journal: seals it, then reads all of it. */
import {
  MarigoldpostError,
  type DaemonId,
  type Epoch,
  type PartitionId,
  type Random,
} from '@marigoldpost/common';
import {
  WriteResolver,
  type ObjectStore,
  type StoredObject,
} from '@marigoldpost/platform';
import type {JournalTail} from '../segments/journal_tail.js';
import {
  encodeSegment,
  getSegmentKey,
  getSegmentPrefix,
  parseSegment,
  type Segment,
  type SnapshotReference,
} from '../segments/segment.js';
import {SnapshotStore} from '../snapshots/snapshot_store.js';

const nonceLength = 16;
const maxSealAttempts = 20;

/** Partition, new holder and dependencies of a reader. */
export interface JournalReaderOptions {
  readonly store: ObjectStore;
  readonly random: Random;
  readonly partition: PartitionId;
  /** Epoch of the new holder; greater than any in the journal. */
  readonly epoch: Epoch;
  /** Daemon that becomes the holder. */
  readonly writer: DaemonId;
}

/** A record with its position in the journal. */
export interface ReplayedRecord {
  readonly epoch: Epoch;
  /** Number of the record within its epoch, from 0. */
  readonly sequence: number;
  readonly record: unknown;
}

/** All records that were committed before a seal. */
export interface Replay {
  /** Records of the snapshot in force; they replace all records it covers. */
  readonly snapshotRecords: readonly unknown[];
  /** Snapshot in force, with the position of the last record that it covers. */
  readonly snapshot?: SnapshotReference;
  /** Records after the snapshot, in order. */
  readonly records: readonly ReplayedRecord[];
  /** Position at which the new holder's journal continues. */
  readonly tail: JournalTail;
}

/** Live segments of one listing, in order of their ordinals. */
interface SegmentList {
  readonly segments: readonly Segment[];
  readonly versions: Map<string, number>;
  readonly snapshot: SnapshotReference | undefined;
}

/** Seals and reads one partition's journal for its new holder. */
export class JournalReader {
  private readonly resolver: WriteResolver;

  private constructor(private readonly options: JournalReaderOptions) {
    this.resolver = WriteResolver.create(options.store);
  }

  /**
   * Creates a reader.
   * @param options - Partition, new holder and dependencies.
   */
  static create(options: JournalReaderOptions): JournalReader {
    return new JournalReader(options);
  }

  /**
   * Writes a seal into the next slot, which fences all earlier holders, and
   * reads the records that were committed before. Throws `fenced` when a newer
   * holder has sealed already, `store_unavailable` and `store_ambiguous`; it
   * must not be retried with the same epoch.
   */
  async sealAndReplay(): Promise<Replay> {
    const {store, partition} = this.options;
    const list = await this.seal();
    const {segments, versions, snapshot} = list;
    const snapshotRecords =
      snapshot === undefined
        ? []
        : await SnapshotStore.create(store, partition).readSnapshot(snapshot);
    const liveFromOrdinal = snapshot?.throughOrdinal ?? 0;
    const nextOrdinal = getNextOrdinal(segments) + 1;
    return {
      snapshotRecords,
      snapshot,
      records: segments.flatMap((segment) => getRecords(segment, snapshot)),
      tail: {nextOrdinal, liveFromOrdinal, versions, snapshot},
    };
  }

  private async seal(): Promise<SegmentList> {
    for (let attempt = 1; attempt <= maxSealAttempts; attempt++) {
      const list = await this.listSegments();
      if (list === undefined) continue;
      this.checkEpoch(list.segments);
      if (await this.tryToSeal(list)) return list;
    }
    throw MarigoldpostError.create(
      'store_unavailable',
      `could not seal the journal of partition "${this.options.partition}" in ${maxSealAttempts} attempts: it kept changing`,
    );
  }

  /**
   * Writes the seal behind the last segment. Returns false when another writer
   * has written that slot.
   */
  private async tryToSeal(list: SegmentList): Promise<boolean> {
    const {epoch, partition, random, writer} = this.options;
    const ordinal = getNextOrdinal(list.segments);
    const nonce = random.nextToken(nonceLength);
    const value = encodeSegment(
      {ordinal, epoch, writer, nonce, firstSequence: 0},
      [],
    );
    const key = getSegmentKey(partition, ordinal);
    const version = list.versions.get(key);
    const result =
      version === undefined
        ? await this.resolver.createObject(key, value)
        : await this.resolver.updateObject(key, value, version);
    if (!result.isApplied) return false;
    if (result.object) list.versions.set(key, result.object.version);
    return true;
  }

  /** Lists the live segments, or undefined when the listing has a gap. */
  private async listSegments(): Promise<SegmentList | undefined> {
    const objects = await this.listAllObjects();
    const versions = new Map(objects.map(({key, version}) => [key, version]));
    const all = objects.map(({value}) => parseSegment(value));
    all.sort((left, right) => left.ordinal - right.ordinal);
    const snapshot = all.findLast((segment) => segment.snapshot)?.snapshot;
    const firstOrdinal = snapshot?.throughOrdinal ?? 0;
    const segments = all.filter(({ordinal}) => ordinal >= firstOrdinal);
    const isContiguous = segments.every(
      ({ordinal}, index) => ordinal === firstOrdinal + index,
    );
    return isContiguous ? {segments, versions, snapshot} : undefined;
  }

  private async listAllObjects(): Promise<StoredObject[]> {
    const prefix = getSegmentPrefix(this.options.partition);
    const objects: StoredObject[] = [];
    for (;;) {
      const afterKey = objects.at(-1)?.key;
      const page = await this.options.store.listObjects(prefix, {afterKey});
      if (page.length === 0) return objects;
      objects.push(...page);
    }
  }

  private checkEpoch(segments: readonly Segment[]): void {
    const {epoch, partition} = this.options;
    const last = segments.at(-1);
    if (last === undefined || last.epoch < epoch) return;
    throw MarigoldpostError.create(
      'fenced',
      `partition "${partition}" is already sealed at epoch ${last.epoch}; this holder has epoch ${epoch}`,
    );
  }
}

function getNextOrdinal(segments: readonly Segment[]): number {
  const last = segments.at(-1);
  return last === undefined ? 0 : last.ordinal + 1;
}

/** Gets the records of a segment that the snapshot does not cover. */
function getRecords(
  segment: Segment,
  snapshot: SnapshotReference | undefined,
): ReplayedRecord[] {
  const {epoch, firstSequence, ordinal} = segment;
  const records = segment.records.map((record, index) => ({
    epoch,
    sequence: firstSequence + index,
    record,
  }));
  if (snapshot === undefined || ordinal > snapshot.throughOrdinal) {
    return records;
  }
  return records.filter(({sequence}) => sequence > snapshot.throughSequence);
}
