/** Parses a server-sent event stream, counting events and buffering data. */

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const dataPrefix = 'data:';

/**
 * Incremental parser for one stream. Collects `data` fields only; all other
 * fields and comments are ignored.
 */
export class EventCollector {
  private partialLine: Buffer[] = [];
  private dataLines: string[] = [];
  /** Whether a line has been read since the last blank line. */
  private hasOpenLines = false;
  private readonly data: Buffer[] = [];
  private events = 0;
  private bytes = 0;

  private constructor() {}

  /** Creates a collector without events. */
  static create(): EventCollector {
    return new EventCollector();
  }

  /** Number of complete events, each of which has at least one `data` field. */
  get eventCount(): number {
    return this.events;
  }

  /** Bytes that the collector keeps in memory. */
  get heldBytes(): number {
    return this.bytes;
  }

  /** Whether a blank line has ended all that the stream has begun. */
  get isAtEventBoundary(): boolean {
    return this.partialLine.length === 0 && !this.hasOpenLines;
  }

  /** Gets the data of all complete events, each followed by a line feed. */
  getData(): Buffer {
    return Buffer.concat(this.data);
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
    if (start === chunk.byteLength) return;
    const rest = chunk.subarray(start);
    this.bytes += rest.byteLength;
    this.partialLine.push(rest);
  }

  private addLine(lineEnd: Buffer): void {
    const bytes =
      this.partialLine.length === 0
        ? lineEnd
        : Buffer.concat([...this.partialLine, lineEnd]);
    for (const part of this.partialLine) this.bytes -= part.byteLength;
    this.partialLine = [];
    const line = withoutCarriageReturn(bytes).toString('latin1');
    this.hasOpenLines = line !== '';
    if (line === '') this.endEvent();
    else if (line.startsWith(dataPrefix)) {
      const data = line.slice(dataPrefix.length).replace(/^ /, '');
      this.bytes += data.length;
      this.dataLines.push(data);
    }
  }

  private endEvent(): void {
    if (this.dataLines.length === 0) return;
    this.events += 1;
    this.data.push(Buffer.from(`${this.dataLines.join('\n')}\n`, 'latin1'));
    this.dataLines = [];
  }
}

function withoutCarriageReturn(line: Buffer): Buffer {
  const last = line.byteLength - 1;
  return line[last] === carriageReturn ? line.subarray(0, last) : line;
}
