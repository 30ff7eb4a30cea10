/** Parses a server-sent event stream, counting events and buffering data. */

import type {BlockPool} from './block_pool.js';
import {ByteBlocks} from './byte_blocks.js';

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const space = 0x20;
const dataPrefix = 'data:';
const lineEnd = Buffer.of(lineFeed);

/**
 * Incremental parser for one stream. Collects `data` fields only; all other
 * fields and comments are ignored.
 */
export class EventCollector {
  private readonly partialLine: ByteBlocks;
  /** Data of the complete events, then that of the open event. */
  private readonly data: ByteBlocks;
  /** Bytes of the data of the complete events. */
  private completeBytes = 0;
  /** Whether a line has been read since the last blank line. */
  private hasOpenLines = false;
  private hasOpenData = false;
  private events = 0;

  private constructor(pool: BlockPool) {
    this.partialLine = ByteBlocks.create(pool);
    this.data = ByteBlocks.create(pool);
  }

  /**
   * Creates a collector without events.
   * @param pool - Pool of the memory that it uses.
   */
  static create(pool: BlockPool): EventCollector {
    return new EventCollector(pool);
  }

  /** Number of complete events, each of which has at least one `data` field. */
  get eventCount(): number {
    return this.events;
  }

  /** Bytes that the collector keeps in memory. */
  get heldBytes(): number {
    return this.partialLine.heldBytes + this.data.heldBytes;
  }

  /** Whether a blank line has ended all that the stream has begun. */
  get isAtEventBoundary(): boolean {
    return this.partialLine.byteLength === 0 && !this.hasOpenLines;
  }

  /** Gets the data of all complete events, each followed by a line feed. */
  getData(): Buffer {
    return this.data.concat(this.completeBytes);
  }

  /** Removes all data and gives back its memory. */
  clear(): void {
    this.partialLine.clear();
    this.data.clear();
  }

  /**
   * Parses the next bytes.
   * @param chunk - Next bytes of the stream; may be split at any position.
   */
  add(chunk: Buffer): void {
    let start = 0;
    for (;;) {
      const end = chunk.indexOf(lineFeed, start);
      if (end < 0) break;
      this.addLine(chunk.subarray(start, end));
      start = end + 1;
    }
    const rest = chunk.subarray(start);
    if (rest.byteLength > 0) this.partialLine.append(rest);
  }

  private addLine(end: Buffer): void {
    const line = withoutCarriageReturn(this.completeLine(end));
    this.hasOpenLines = line.byteLength > 0;
    if (!this.hasOpenLines) {
      this.endEvent();
      return;
    }
    const {length} = dataPrefix;
    if (line.toString('latin1', 0, length) !== dataPrefix) return;
    const dataStart = line[length] === space ? length + 1 : length;
    this.data.append(line.subarray(dataStart));
    this.data.append(lineEnd);
    this.hasOpenData = true;
  }

  private completeLine(end: Buffer): Buffer {
    const {partialLine} = this;
    if (partialLine.byteLength === 0) return end;
    partialLine.append(end);
    const line = partialLine.concat();
    partialLine.clear();
    return line;
  }

  private endEvent(): void {
    if (!this.hasOpenData) return;
    this.hasOpenData = false;
    this.events += 1;
    this.completeBytes = this.data.byteLength;
  }
}

function withoutCarriageReturn(line: Buffer): Buffer {
  const last = line.byteLength - 1;
  return line[last] === carriageReturn ? line.subarray(0, last) : line;
}
