/** The journal of one held partition. */
import {
  Deferred,
  MarigoldpostError,
  toMarigoldpostError,
  type Timer,
} from '@marigoldpost/common';
import {
  encodeSegment,
  maxSegmentBytes,
  segmentSlots,
  type SnapshotReference,
} from '../segments/segment.js';
import {SnapshotStore} from '../snapshots/snapshot_store.js';
import type {
  AddOptions,
  BufferedOptions,
  JournalOptions,
  UncommittedRecords,
} from './journal_options.js';
import {RecordQueue, type QueuedRecord} from './record_queue.js';
import {SlotWriter} from './slot_writer.js';

const nonceLength = 16;
const defaultStallMs = 1_000;
const defaultLazyMs = 1_000;
/** Slots kept free for the reference to the snapshot that frees the others. */
const reservedSlots = 8;
const snapshotSlots = segmentSlots / 2;
const minSnapshotBytes = 8_000_000;

interface PendingReference {
  readonly reference: SnapshotReference;
  readonly committed: Deferred<void>;
}

/**
 * Appends records in order, with group commit: a write starts at once when none
 * is under way, and takes all that gathered meanwhile.
 */
export class Journal<Item> {
  private readonly queue = RecordQueue.create();
  private readonly slots: SlotWriter;
  private readonly snapshots: SnapshotStore;
  private nextOrdinal: number;
  private liveFromOrdinal: number;
  private snapshot: SnapshotReference | undefined;
  private snapshotBytes = 0;
  private bytesSinceSnapshot = 0;
  private pendingReference: PendingReference | undefined;
  private snapshotting: Promise<void> | undefined;
  private isWriting = false;
  private writeStartedAtMs: number | undefined;
  private lazyTimer: Timer | undefined;
  private isUrgent = false;
  private failure: MarigoldpostError | undefined;

  private constructor(private readonly options: JournalOptions) {
    const {clock, partition, random, store, tail} = options;
    const {versions} = tail;
    this.slots = SlotWriter.create({store, clock, random, partition, versions});
    this.snapshots = SnapshotStore.create(store, partition);
    this.nextOrdinal = tail.nextOrdinal;
    this.liveFromOrdinal = tail.liveFromOrdinal;
    this.snapshot = tail.snapshot;
  }

  /**
   * Creates a journal behind a seal.
   * @param options - Partition, epoch and where the seal left off.
   */
  static create<Item>(options: JournalOptions): Journal<Item> {
    return new Journal<Item>(options);
  }

  /**
   * Appends a record and waits until it is durable. Throws `fenced` once another
   * holder has sealed the journal, `platform_unavailable` when too much waits,
   * `too_large` when it fits no segment.
   * @param record - The record.
   * @param options - Whether it may wait, and whether it is always taken.
   */
  async append(record: Item, options: AddOptions = {}): Promise<void> {
    await this.addRecord(record, options);
  }

  /**
   * Appends a record and waits until it is durable or, with the platform down,
   * copied elsewhere. Throws `fenced`, and what the copying throws.
   * @param record - The record.
   * @param options - Makes the copies.
   * @returns Whether the record is durable.
   */
  async appendBuffered(
    record: Item,
    options: BufferedOptions,
  ): Promise<boolean> {
    const durable = this.addRecord(record, {isEssential: true});
    return this.waitOrBuffer(durable, options);
  }

  /**
   * Adds a record; it has its place in the order when this returns. Throws as
   * `append` does.
   * @param record - The record.
   * @param options - Whether it may wait, and whether it is always taken.
   * @returns Settled when the record is durable; need not be awaited.
   */
  addRecord(record: Item, options: AddOptions = {}): Promise<void> {
    if (this.failure !== undefined) throw this.failure;
    const text = JSON.stringify(record);
    this.checkSize(text, options);
    const queued = this.queue.addRecord(text);
    this.bytesSinceSnapshot += queued.bytes;
    if (options.isLazy) this.startLazily();
    else this.startUrgently();
    return queued.durable.promise;
  }

  /**
   * Waits until a record is durable or, with the platform down, copied.
   * @param durable - What adding the record gave.
   * @param options - Makes the copies.
   * @returns Whether the record is durable.
   */
  async waitOrBuffer(
    durable: Promise<void>,
    options: BufferedOptions,
  ): Promise<boolean> {
    if (await this.waitOrStall(durable)) return true;
    await options.onBuffered(this.getUncommitted());
    return false;
  }

  /**
   * Waits for a record, but no longer than until the platform counts as down.
   * @param durable - Settled when the record is durable.
   * @returns Whether it is durable.
   */
  async waitOrStall(durable: Promise<void>): Promise<boolean> {
    const {clock} = this.options;
    const stalled = Deferred.create<boolean>();
    const waitMs = this.isStalled() ? 0 : this.getStallMs();
    const timer = clock.setTimer(waitMs, () => stalled.resolve(false));
    try {
      const committed = durable.then(() => true);
      return await Promise.race([committed, stalled.promise]);
    } finally {
      timer.cancel();
    }
  }

  /** Whether the platform counts as down: a write takes longer than it may. */
  isStalled(): boolean {
    if (this.writeStartedAtMs === undefined) return false;
    const elapsedMs = this.options.clock.nowMs() - this.writeStartedAtMs;
    return elapsedMs >= this.getStallMs();
  }

  /** Whether another holder has sealed the journal, or it was closed. */
  isFenced(): boolean {
    return this.failure !== undefined;
  }

  /** Gets the bytes that are not yet durable. */
  getUncommittedBytes(): number {
    return this.queue.uncommittedBytes;
  }

  /** Gets the records that are not yet durable. */
  getUncommitted(): UncommittedRecords {
    return this.queue.getUncommitted();
  }

  /** Waits until all that was appended so far is durable; throws `fenced`. */
  async flush(): Promise<void> {
    const last = this.queue.lastRecord;
    if (last === undefined) return;
    this.startUrgently();
    await last.durable.promise;
  }

  /** Makes all durable, then takes nothing more; throws `fenced`. */
  async close(): Promise<void> {
    await this.flush();
    await this.snapshotting;
    this.stop();
  }

  /** Stops at once; what is not durable is lost to this holder. */
  stop(): void {
    this.end(this.createFenced('was closed'));
  }

  private checkSize(text: string, options: AddOptions): void {
    const bytes = Buffer.byteLength(text);
    const {getMaxUncommittedBytes, partition} = this.options;
    if (bytes > maxSegmentBytes) {
      throw MarigoldpostError.create(
        'too_large',
        `a record of ${bytes} bytes does not fit partition "${partition}"`,
      );
    }
    if (options.isEssential) return;
    const total = this.queue.uncommittedBytes + bytes;
    if (total <= getMaxUncommittedBytes()) return;
    throw MarigoldpostError.create(
      'platform_unavailable',
      `partition "${partition}" has too much that waits for the platform`,
    );
  }

  private startLazily(): void {
    if (this.lazyTimer !== undefined || this.isUrgent) return;
    const lazyMs = this.options.lazyMs ?? defaultLazyMs;
    this.lazyTimer = this.options.clock.setTimer(lazyMs, () =>
      this.startUrgently(),
    );
  }

  private startUrgently(): void {
    this.isUrgent = true;
    this.lazyTimer?.cancel();
    this.lazyTimer = undefined;
    if (this.isWriting || this.failure !== undefined) return;
    this.isWriting = true;
    void this.writeAll();
  }

  private async writeAll(): Promise<void> {
    try {
      while (this.hasWork()) await this.writeNext();
    } catch (error) {
      this.fail(toMarigoldpostError(error));
    } finally {
      this.isWriting = false;
      this.writeStartedAtMs = undefined;
    }
  }

  private hasWork(): boolean {
    if (this.failure !== undefined) return false;
    if (this.pendingReference !== undefined) return true;
    return this.isUrgent && this.queue.hasWaiting && !this.isFull();
  }

  /** Whether the slots that a replay needs leave none for more records. */
  private isFull(): boolean {
    const live = this.nextOrdinal - this.liveFromOrdinal;
    return live >= segmentSlots - reservedSlots;
  }

  private async writeNext(): Promise<void> {
    const {clock, epoch, random, writer} = this.options;
    const ordinal = this.nextOrdinal;
    const pending = this.pendingReference;
    const batch = this.queue.takeBatch(ordinal);
    this.isUrgent = this.queue.hasWaiting;
    const header = {
      ordinal,
      epoch,
      writer,
      nonce: random.nextToken(nonceLength),
      firstSequence: this.getFirstSequence(batch),
      snapshot: pending?.reference,
    };
    const texts = batch.map(({text}) => text);
    this.writeStartedAtMs = clock.nowMs();
    await this.slots.writeSegment(ordinal, encodeSegment(header, texts));
    this.completeWrite(pending);
  }

  private getFirstSequence(batch: readonly QueuedRecord[]): number {
    if (batch[0] !== undefined) return batch[0].sequence;
    const last = this.queue.lastRecord;
    return last === undefined ? 0 : last.sequence + 1;
  }

  private completeWrite(pending: PendingReference | undefined): void {
    this.writeStartedAtMs = undefined;
    this.nextOrdinal += 1;
    this.queue.completeBatch();
    if (pending !== undefined) {
      this.pendingReference = undefined;
      this.liveFromOrdinal = pending.reference.throughOrdinal;
      pending.committed.resolve();
    }
    this.startSnapshotIfDue();
  }

  private startSnapshotIfDue(): void {
    if (this.snapshotting !== undefined) return;
    const live = this.nextOrdinal - this.liveFromOrdinal;
    const maxBytes = Math.max(minSnapshotBytes, 2 * this.snapshotBytes);
    const isDue = live >= snapshotSlots || this.bytesSinceSnapshot >= maxBytes;
    if (!isDue) return;
    this.snapshotting = this.writeSnapshot()
      .catch((error: unknown) => this.fail(toMarigoldpostError(error)))
      .finally(() => {
        this.snapshotting = undefined;
      });
  }

  /** Writes the state so far, and refers to it once its records are durable. */
  private async writeSnapshot(): Promise<void> {
    const {epoch, getSnapshot, random} = this.options;
    const last = this.queue.lastRecord;
    if (last === undefined) return;
    const records = getSnapshot();
    this.bytesSinceSnapshot = 0;
    this.snapshotBytes = records.reduce((sum, {length}) => sum + length, 0);
    this.startUrgently();
    await last.durable.promise;
    const nonce = random.nextToken(nonceLength);
    const chunks = await this.snapshots.writeSnapshot(
      {epoch, nonce},
      records,
      (write) => this.slots.attempt(write),
    );
    const place = {
      throughOrdinal: last.ordinal!,
      throughSequence: last.sequence,
    };
    await this.refer({epoch, nonce, chunks, ...place});
  }

  private async refer(reference: SnapshotReference): Promise<void> {
    const before = this.snapshot;
    const committed = Deferred.create<void>();
    this.pendingReference = {reference, committed};
    this.startUrgently();
    await committed.promise;
    this.snapshot = reference;
    if (before !== undefined) await this.snapshots.removeSnapshot(before);
  }

  private fail(error: MarigoldpostError): void {
    if (this.failure !== undefined) return;
    this.end(error);
    this.options.onFenced?.();
  }

  private end(error: MarigoldpostError): void {
    if (this.failure !== undefined) return;
    this.failure = error;
    this.lazyTimer?.cancel();
    this.slots.stop();
    this.queue.fail(error);
    this.pendingReference?.committed.reject(error);
  }

  private createFenced(reason: string): MarigoldpostError {
    const {epoch, partition} = this.options;
    return MarigoldpostError.create(
      'fenced',
      `the journal of partition "${partition}" at epoch ${epoch} ${reason}`,
    );
  }

  private getStallMs(): number {
    return this.options.stallMs ?? defaultStallMs;
  }
}
