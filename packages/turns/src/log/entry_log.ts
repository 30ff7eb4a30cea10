/** Append-only log on a disk; pending entries share one sync (group commit). */
import {type Clock, Deferred, MarigoldpostError} from '@marigoldpost/common';
import {frameHeaderBytes, readFrame, toFrame} from './entry_frame.js';
import type {LogFile, LogFolder} from './log_folder.js';

/** Position of an entry in the log. */
export interface EntryPosition {
  readonly segment: number;
  /** First byte of the entry's payload, after its frame header. */
  readonly offset: number;
  readonly length: number;
}

/** An entry found when the log was opened. */
export interface RecoveredEntry {
  readonly position: EntryPosition;
  readonly bytes: Buffer;
}

/** Folder, clock and recovery callback of a log. */
export interface EntryLogOptions {
  readonly folder: LogFolder;
  readonly clock: Clock;
  /** Called for each intact entry on the disk, oldest first. */
  readonly onRecovered: (entry: RecoveredEntry) => void;
}

/**
 * Size and age at which a new segment starts, so that old segments can be
 * removed as whole files.
 */
const segmentLimits = {bytes: 8 * 2 ** 20, ageMs: 10_000};
const segmentPattern = /^turns-(\d{8})\.log$/;

interface PendingEntry {
  readonly frame: Buffer;
  readonly durable: Deferred<EntryPosition>;
}

interface OpenSegment {
  readonly number: number;
  readonly file: LogFile;
  readonly openedAtMs: number;
  size: number;
}

/** Log of one archive, split into segment files. */
export class EntryLog {
  private pending: PendingEntry[] = [];
  private isWriting = false;
  private isClosed = false;
  private segment: OpenSegment | undefined;

  private constructor(
    private readonly folder: LogFolder,
    private readonly clock: Clock,
    private nextSegment: number,
  ) {}

  /**
   * Opens the log, recovers the entries on the disk and makes them durable.
   * @param options - Folder, clock and recovery callback.
   */
  static async open(options: EntryLogOptions): Promise<EntryLog> {
    const {folder, clock, onRecovered} = options;
    let last = 0;
    const segmentNames: string[] = [];
    for (const name of await folder.listFiles()) {
      const segment = toSegmentNumber(name);
      if (segment === undefined) continue;
      last = Math.max(last, segment);
      segmentNames.push(name);
      recoverSegment(segment, await folder.readFile(name), onRecovered);
    }
    // A process that was killed may have left entries that are not synced. Peers
    // count recovered entries as durable.
    await Promise.all(segmentNames.map((name) => folder.syncFile(name)));
    return new EntryLog(folder, clock, last + 1);
  }

  /** Number of the segment that the next entry is appended to. */
  get currentSegment(): number {
    return this.segment?.number ?? this.nextSegment;
  }

  /**
   * Appends an entry; resolves once it is durable and rejects with
   * `archive_unavailable` when the write or sync fails.
   * @param entry - Payload of at least one byte.
   */
  append(entry: Uint8Array): Promise<EntryPosition> {
    const durable = Deferred.create<EntryPosition>();
    this.pending.push({frame: toFrame(entry), durable});
    if (!this.isWriting) void this.writePending();
    return durable.promise;
  }

  /**
   * Reads an entry; `undefined` when it is incomplete or damaged.
   * @param position - Position that `append` or recovery gave.
   */
  async read(position: EntryPosition): Promise<Buffer | undefined> {
    const {segment, offset, length} = position;
    const start = offset - frameHeaderBytes;
    const bytes = await this.folder.readPart(
      toSegmentName(segment),
      start,
      length + frameHeaderBytes,
    );
    return readFrame(bytes, 0);
  }

  /**
   * Removes a segment whose entries have expired.
   * @param segment - Segment number; not the current one.
   */
  async removeSegment(segment: number): Promise<void> {
    await this.folder.removeFile(toSegmentName(segment));
  }

  /**
   * Closes the current segment; acknowledged entries are durable already. Those
   * that are not written yet are rejected, and so are later ones.
   */
  close(): void {
    this.isClosed = true;
    this.closeSegment();
  }

  private async writePending(): Promise<void> {
    this.isWriting = true;
    while (this.pending.length > 0) {
      const batch = this.pending;
      this.pending = [];
      try {
        await this.writeBatch(batch);
      } catch (error) {
        this.failBatch(batch, error);
      }
    }
    this.isWriting = false;
  }

  private async writeBatch(batch: readonly PendingEntry[]): Promise<void> {
    const segment = await this.getSegment();
    const frames = batch.map((entry) => entry.frame);
    let offset = segment.size;
    await segment.file.write(Buffer.concat(frames));
    await segment.file.sync();
    for (const {frame, durable} of batch) {
      durable.resolve({
        segment: segment.number,
        offset: offset + frameHeaderBytes,
        length: frame.byteLength - frameHeaderBytes,
      });
      offset += frame.byteLength;
    }
    segment.size = offset;
  }

  /**
   * Rejects a batch and closes the segment: a failed write may leave a torn
   * frame, so the next entry goes to a new segment.
   */
  private failBatch(batch: readonly PendingEntry[], error: unknown): void {
    const cause = error instanceof Error ? error : new Error(String(error));
    const failure = MarigoldpostError.create(
      'archive_unavailable',
      'write or sync of the turn log failed',
      {cause},
    );
    for (const {durable} of batch) durable.reject(failure);
    this.closeSegment();
  }

  private async getSegment(): Promise<OpenSegment> {
    const {segment} = this;
    if (segment !== undefined) {
      const ageMs = this.clock.nowMs() - segment.openedAtMs;
      const isFull = segment.size >= segmentLimits.bytes;
      if (!isFull && ageMs < segmentLimits.ageMs) return segment;
      this.closeSegment();
    }
    if (this.isClosed) throw new Error('the log is closed');
    const number = this.nextSegment;
    this.nextSegment += 1;
    const file = await this.folder.createFile(toSegmentName(number));
    if (this.isClosed) {
      await file.close();
      throw new Error('the log is closed');
    }
    const openedAtMs = this.clock.nowMs();
    this.segment = {number, file, openedAtMs, size: 0};
    return this.segment;
  }

  private closeSegment(): void {
    // Acknowledged entries are synced, so a failed close loses no data.
    this.segment?.file.close().catch(() => undefined);
    this.segment = undefined;
  }
}

function recoverSegment(
  segment: number,
  bytes: Buffer,
  onRecovered: (entry: RecoveredEntry) => void,
): void {
  let start = 0;
  for (;;) {
    const entry = readFrame(bytes, start);
    // Only unsynced entries can be damaged, and no acknowledged entry follows
    // the first damaged one.
    if (entry === undefined) return;
    const offset = start + frameHeaderBytes;
    const position = {segment, offset, length: entry.byteLength};
    onRecovered({position, bytes: entry});
    start = offset + entry.byteLength;
  }
}

function toSegmentName(segment: number): string {
  return `turns-${String(segment).padStart(8, '0')}.log`;
}

function toSegmentNumber(name: string): number | undefined {
  const [, digits] = segmentPattern.exec(name) ?? [];
  return digits === undefined ? undefined : Number(digits);
}
