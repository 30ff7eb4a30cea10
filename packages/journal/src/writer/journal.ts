/** Journal of one held partition. */
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
/**
 * Slots reserved for the segment that refers to a new snapshot; that reference
 * frees the other slots.
 */
const reservedSlots = 8;
const snapshotSlots = segmentSlots / 2;
const minSnapshotBytes = 8_000_000;

interface PendingReference {
  readonly reference: SnapshotReference;
  readonly committed: Deferred<void>;
}

/**
 * Appends records in order, with group commit: a write starts immediately when
 * none is running, and includes all records added during the previous one.
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
  private snapshotWrite: Promise<void> | undefined;
  private isWriting = false;
  private writeStartedAtMs: number | undefined;
  private lazyTimer: Timer | undefined;
  private isWriteRequested = false;
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
   * Creates a journal that continues after this holder's seal.
   * @param options - Partition, epoch and state of the slots after the seal.
   */
  static create<Item>(options: JournalOptions): Journal<Item> {
    return new Journal<Item>(options);
  }

  /**
   * Appends a record and waits until it is durable. Throws `fenced` once
   * another holder has sealed the journal, `platform_unavailable` when it would
   * exceed the limit on uncommitted bytes, `too_large` when it does not fit a
   * segment.
   * @param record - Record to append, as JSON.
   * @param options - Whether its write may be delayed, and whether it is
   * accepted beyond the limit on uncommitted bytes.
   */
  async append(record: Item, options: AddOptions = {}): Promise<void> {
    await this.addRecord(record, options);
  }

  /**
   * Appends a record and waits until it is durable or, while the platform is
   * down, copied elsewhere. Throws `fenced`, and any error of the copying.
   * @param record - Record to append, as JSON.
   * @param options - Copies the uncommitted records.
   * @returns Whether the record is durable.
   */
  async appendBuffered(
    record: Item,
    options: BufferedOptions,
  ): Promise<boolean> {
    const durable = this.addRecord(record, {isEssential: true});
    return this.waitUntilDurableOrBuffered(durable, options);
  }

  /**
   * Adds a record; its position is fixed when this returns. Throws as `append`
   * does.
   * @param record - Record to append, as JSON.
   * @param options - Whether its write may be delayed, and whether it is
   * accepted beyond the limit on uncommitted bytes.
   * @returns Settled when the record is durable; need not be awaited.
   */
  addRecord(record: Item, options: AddOptions = {}): Promise<void> {
    if (this.failure !== undefined) throw this.failure;
    const text = JSON.stringify(record);
    this.checkSize(text, options);
    const queued = this.queue.addRecord(text);
    this.bytesSinceSnapshot += queued.bytes;
    if (options.isLazy) this.scheduleLazyWrite();
    else this.requestWrite();
    return queued.durable.promise;
  }

  /**
   * Waits until a record is durable or, while the platform is down, copied.
   * @param durable - Promise returned when the record was added.
   * @param options - Copies the uncommitted records.
   * @returns Whether the record is durable.
   */
  async waitUntilDurableOrBuffered(
    durable: Promise<void>,
    options: BufferedOptions,
  ): Promise<boolean> {
    if (await this.waitUntilDurableOrStalled(durable)) return true;
    await options.onBuffered(this.getUncommittedRecords());
    return false;
  }

  /**
   * Waits until a record is durable or the platform counts as down.
   * @param durable - Promise returned when the record was added.
   * @returns Whether it is durable.
   */
  async waitUntilDurableOrStalled(durable: Promise<void>): Promise<boolean> {
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

  /** Whether the platform counts as down: a write exceeds the stall time. */
  isStalled(): boolean {
    if (this.writeStartedAtMs === undefined) return false;
    const elapsedMs = this.options.clock.nowMs() - this.writeStartedAtMs;
    return elapsedMs >= this.getStallMs();
  }

  /**
   * Whether the journal rejects all records: another holder has sealed it, or
   * it was closed or has failed.
   */
  isFenced(): boolean {
    return this.failure !== undefined;
  }

  /** Gets the size of the records that are not yet durable. */
  getUncommittedBytes(): number {
    return this.queue.uncommittedBytes;
  }

  /** Gets the records that are not yet durable, in order. */
  getUncommittedRecords(): UncommittedRecords {
    return this.queue.getUncommitted();
  }

  /** Waits until all records added so far are durable; throws `fenced`. */
  async flush(): Promise<void> {
    const last = this.queue.lastRecord;
    if (last === undefined) return;
    this.requestWrite();
    await last.durable.promise;
  }

  /** Waits until all records are durable, then stops; throws `fenced`. */
  async close(): Promise<void> {
    await this.flush();
    await this.snapshotWrite;
    this.stop();
  }

  /**
   * Stops immediately; records that are not durable fail with `fenced` and are
   * lost to this holder.
   */
  stop(): void {
    this.end(this.createFencedError('was closed'));
  }

  private checkSize(text: string, options: AddOptions): void {
    const bytes = Buffer.byteLength(text);
    const {getMaxUncommittedBytes, partition} = this.options;
    if (bytes > maxSegmentBytes) {
      throw MarigoldpostError.create(
        'too_large',
        `a record of ${bytes} bytes for partition "${partition}" exceeds the segment limit of ${maxSegmentBytes} bytes`,
      );
    }
    if (options.isEssential) return;
    const total = this.queue.uncommittedBytes + bytes;
    if (total <= getMaxUncommittedBytes()) return;
    throw MarigoldpostError.create(
      'platform_unavailable',
      `partition "${partition}" would have ${total} uncommitted bytes, more than its limit`,
    );
  }

  private scheduleLazyWrite(): void {
    if (this.lazyTimer !== undefined || this.isWriteRequested) return;
    const lazyMs = this.options.lazyMs ?? defaultLazyMs;
    this.lazyTimer = this.options.clock.setTimer(lazyMs, () =>
      this.requestWrite(),
    );
  }

  private requestWrite(): void {
    this.isWriteRequested = true;
    this.lazyTimer?.cancel();
    this.lazyTimer = undefined;
    if (this.isWriting || this.failure !== undefined) return;
    this.isWriting = true;
    void this.writeAll();
  }

  private async writeAll(): Promise<void> {
    try {
      while (this.hasPendingWrite()) await this.writeNext();
    } catch (error) {
      this.fail(toMarigoldpostError(error));
    } finally {
      this.isWriting = false;
      this.writeStartedAtMs = undefined;
    }
  }

  private hasPendingWrite(): boolean {
    if (this.failure !== undefined) return false;
    if (this.pendingReference !== undefined) return true;
    return this.isWriteRequested && this.queue.hasWaiting && !this.isFull();
  }

  /** Whether no slot is free: a replay needs all but the reserved slots. */
  private isFull(): boolean {
    const live = this.nextOrdinal - this.liveFromOrdinal;
    return live >= segmentSlots - reservedSlots;
  }

  private async writeNext(): Promise<void> {
    const {clock, epoch, random, writer} = this.options;
    const ordinal = this.nextOrdinal;
    const pending = this.pendingReference;
    const batch = this.queue.takeBatch(ordinal);
    this.isWriteRequested = this.queue.hasWaiting;
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

  /** Starts a snapshot once enough slots or bytes are in use. */
  private startSnapshotIfDue(): void {
    if (this.snapshotWrite !== undefined) return;
    const live = this.nextOrdinal - this.liveFromOrdinal;
    const maxBytes = Math.max(minSnapshotBytes, 2 * this.snapshotBytes);
    const isDue = live >= snapshotSlots || this.bytesSinceSnapshot >= maxBytes;
    if (!isDue) return;
    this.snapshotWrite = this.writeSnapshot()
      .catch((error: unknown) => this.fail(toMarigoldpostError(error)))
      .finally(() => {
        this.snapshotWrite = undefined;
      });
  }

  /**
   * Takes a snapshot, writes it once the records that it covers are durable,
   * and commits the reference to it.
   */
  private async writeSnapshot(): Promise<void> {
    const {epoch, getSnapshot, random} = this.options;
    const last = this.queue.lastRecord;
    if (last === undefined) return;
    const records = getSnapshot();
    this.bytesSinceSnapshot = 0;
    this.snapshotBytes = records.reduce((sum, {length}) => sum + length, 0);
    this.requestWrite();
    await last.durable.promise;
    const nonce = random.nextToken(nonceLength);
    const chunks = await this.snapshots.writeSnapshot(
      {epoch, nonce},
      records,
      (write) => this.slots.attempt(write),
    );
    const coverage = {
      throughOrdinal: last.ordinal!,
      throughSequence: last.sequence,
    };
    await this.commitReference({epoch, nonce, chunks, ...coverage});
  }

  private async commitReference(reference: SnapshotReference): Promise<void> {
    const previous = this.snapshot;
    const committed = Deferred.create<void>();
    this.pendingReference = {reference, committed};
    this.requestWrite();
    await committed.promise;
    this.snapshot = reference;
    if (previous !== undefined) await this.snapshots.removeSnapshot(previous);
  }

  /** Ends the journal with an error and notifies the holder once. */
  private fail(error: MarigoldpostError): void {
    if (this.failure !== undefined) return;
    this.end(error);
    this.options.onFenced?.();
  }

  /** Rejects all queued and later records with an error, and stops writing. */
  private end(error: MarigoldpostError): void {
    if (this.failure !== undefined) return;
    this.failure = error;
    this.lazyTimer?.cancel();
    this.slots.stop();
    this.queue.fail(error);
    this.pendingReference?.committed.reject(error);
  }

  private createFencedError(reason: string): MarigoldpostError {
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
