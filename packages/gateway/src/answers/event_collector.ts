/** Counts the events of a stream and keeps their data. */

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const dataField = 'data:';

/** Collector for one stream, fed with its bytes as they come. */
export class EventCollector {
  private partialLine: Buffer[] = [];
  private dataLines: string[] = [];
  private readonly data: Buffer[] = [];
  private events = 0;

  private constructor() {}

  /** Creates a collector that has seen nothing. */
  static create(): EventCollector {
    return new EventCollector();
  }

  /** Number of whole events. */
  get eventCount(): number {
    return this.events;
  }

  /** Whether the bytes end between two events. */
  get isBetweenEvents(): boolean {
    return this.partialLine.length === 0 && this.dataLines.length === 0;
  }

  /** Gets the data of every whole event, each followed by a line feed. */
  getData(): Buffer {
    return Buffer.concat(this.data);
  }

  /**
   * Adds bytes.
   * @param chunk - The next bytes of the stream.
   */
  add(chunk: Buffer): void {
    let start = 0;
    for (;;) {
      const end = chunk.indexOf(lineFeed, start);
      if (end < 0) break;
      this.addLine(chunk.subarray(start, end));
      start = end + 1;
    }
    if (start < chunk.byteLength) this.partialLine.push(chunk.subarray(start));
  }

  private addLine(end: Buffer): void {
    const bytes =
      this.partialLine.length === 0
        ? end
        : Buffer.concat([...this.partialLine, end]);
    this.partialLine = [];
    const line = withoutCarriageReturn(bytes).toString('latin1');
    if (line === '') this.endEvent();
    else if (line.startsWith(dataField)) {
      this.dataLines.push(line.slice(dataField.length).replace(/^ /, ''));
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
