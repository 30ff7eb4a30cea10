/** Takes a partition's journal over: seals it, then reads all of it. */
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
const maxSealTries = 20;

/** What a reader needs. */
export interface JournalReaderOptions {
  readonly store: ObjectStore;
  readonly random: Random;
  readonly partition: PartitionId;
  /** Epoch of the new holder; greater than any in the journal. */
  readonly epoch: Epoch;
  /** The new holder. */
  readonly writer: DaemonId;
}

/** A record with its place. */
export interface ReplayedRecord {
  readonly epoch: Epoch;
  /** Number of the record within its epoch, from 0. */
  readonly sequence: number;
  readonly record: unknown;
}

/** Everything that was committed before a seal. */
export interface Replay {
  /** Records of the snapshot in force; they stand for all up to its place. */
  readonly snapshotRecords: readonly unknown[];
  /** Place of the last record that the snapshot covers. */
  readonly snapshot?: SnapshotReference;
  /** Records after the snapshot, in order. */
  readonly records: readonly ReplayedRecord[];
  /** Where the new holder's journal goes on. */
  readonly tail: JournalTail;
}

/** Segments as one listing found them, in order. */
interface SegmentList {
  readonly segments: readonly Segment[];
  readonly versions: Map<string, number>;
  readonly snapshot: SnapshotReference | undefined;
}

/** Reads one partition's journal for its new holder. */
export class JournalReader {
  private readonly resolver: WriteResolver;

  private constructor(private readonly options: JournalReaderOptions) {
    this.resolver = WriteResolver.create(options.store);
  }

  /**
   * Creates a reader.
   * @param options - Partition and new holder.
   */
  static create(options: JournalReaderOptions): JournalReader {
    return new JournalReader(options);
  }

  /**
   * Takes the next slot, which fences every earlier holder, and reads what was
   * committed before. Throws `fenced` when a newer holder has sealed already,
   * `store_unavailable` and `store_ambiguous`; a failed one is not tried again
   * with the same epoch.
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
    for (let tries = 1; tries <= maxSealTries; tries++) {
      const list = await this.listSegments();
      if (list === undefined) continue;
      this.checkEpoch(list.segments);
      if (await this.tryToSeal(list)) return list;
    }
    throw MarigoldpostError.create(
      'store_unavailable',
      `the journal of partition "${this.options.partition}" did not stand still`,
    );
  }

  /** Writes the seal behind the last segment; false when that slot was taken. */
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

  /** Lists the live segments; nothing when the listing missed one. */
  private async listSegments(): Promise<SegmentList | undefined> {
    const objects = await this.listAll();
    const versions = new Map(objects.map(({key, version}) => [key, version]));
    const all = objects.map(({value}) => parseSegment(value));
    all.sort((left, right) => left.ordinal - right.ordinal);
    const snapshot = all.findLast((segment) => segment.snapshot)?.snapshot;
    const firstOrdinal = snapshot?.throughOrdinal ?? 0;
    const segments = all.filter(({ordinal}) => ordinal >= firstOrdinal);
    const isWhole = segments.every(
      ({ordinal}, index) => ordinal === firstOrdinal + index,
    );
    return isWhole ? {segments, versions, snapshot} : undefined;
  }

  private async listAll(): Promise<StoredObject[]> {
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
      `partition "${partition}" was sealed by epoch ${last.epoch}`,
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
