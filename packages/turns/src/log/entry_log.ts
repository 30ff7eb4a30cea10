/** Append-only log of entries on a disk, with one sync for all that waits. */
import {type Clock, Deferred, MarigoldpostError} from '@marigoldpost/common';
import {frameHeaderBytes, readFrame, toFrame} from './entry_frame.js';
import type {LogFile, LogFolder} from './log_folder.js';

/** Where an entry stands. */
export interface EntryPosition {
  readonly segment: number;
  /** First byte of the entry itself. */
  readonly offset: number;
  readonly length: number;
}

/** An entry found when the log was opened. */
export interface RecoveredEntry {
  readonly position: EntryPosition;
  readonly bytes: Buffer;
}

/** Options of a log. */
export interface EntryLogOptions {
  readonly folder: LogFolder;
  readonly clock: Clock;
  /** Called for each intact entry on the disk, oldest first. */
  readonly onRecovered: (entry: RecoveredEntry) => void;
}

/** Bytes and age at which a new file begins, so that old ones can go whole. */
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

/** Log of one archive. */
export class EntryLog {
  private pending: PendingEntry[] = [];
  private isWriting = false;
  private segment: OpenSegment | undefined;

  private constructor(
    private readonly folder: LogFolder,
    private readonly clock: Clock,
    private nextSegment: number,
  ) {}

  /**
   * Opens the log and reads what is on the disk.
   * @param options - Folder, and who learns of the entries.
   */
  static async open(options: EntryLogOptions): Promise<EntryLog> {
    const {folder, clock, onRecovered} = options;
    let last = 0;
    for (const name of await folder.listFiles()) {
      const segment = toSegmentNumber(name);
      if (segment === undefined) continue;
      last = Math.max(last, segment);
      recoverSegment(segment, await folder.readFile(name), onRecovered);
    }
    return new EntryLog(folder, clock, last + 1);
  }

  /** Number of the file that entries go to now. */
  get currentSegment(): number {
    return this.segment?.number ?? this.nextSegment;
  }

  /**
   * Appends an entry; resolves once it is durable, rejects when that failed.
   * @param entry - At least one byte.
   */
  append(entry: Uint8Array): Promise<EntryPosition> {
    const durable = Deferred.create<EntryPosition>();
    this.pending.push({frame: toFrame(entry), durable});
    if (!this.isWriting) void this.writePending();
    return durable.promise;
  }

  /**
   * Reads an entry; nothing when the disk does not hold it intact.
   * @param position - Where it stands.
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
   * Removes a file whose entries are no longer needed.
   * @param segment - Its number; not the current one.
   */
  async removeSegment(segment: number): Promise<void> {
    await this.folder.removeFile(toSegmentName(segment));
  }

  /** Closes the current file; everything acknowledged is durable already. */
  close(): void {
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

  /** A failed write may leave a torn frame, so the next entry goes elsewhere. */
  private failBatch(batch: readonly PendingEntry[], error: unknown): void {
    const cause = error instanceof Error ? error : new Error(String(error));
    const failure = MarigoldpostError.create(
      'archive_unavailable',
      'the log of turns could not be written',
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
    const number = this.nextSegment;
    this.nextSegment += 1;
    const file = await this.folder.createFile(toSegmentName(number));
    const openedAtMs = this.clock.nowMs();
    this.segment = {number, file, openedAtMs, size: 0};
    return this.segment;
  }

  private closeSegment(): void {
    // Everything acknowledged is synced; a failed close loses nothing.
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
    // Only unsynced entries can be damaged, and nothing acknowledged stands
    // behind the first of them.
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
