/** Parser of server-sent events in chunks with arbitrary boundaries. */
import {StringDecoder} from 'node:string_decoder';

/** One parsed server-sent event. */
export interface SseEvent {
  /** Value of the `event` field; `message` if there is none. */
  readonly type: string;
  /** Values of the `data` fields, joined by newlines. */
  readonly data: string;
}

const newline = '\n';
const carriageReturn = '\r';
const byteOrderMark = '\uFEFF';
const defaultType = 'message';
const linePattern = /\r\n|\n|\r/;

/** Incremental parser of an event stream as defined by the HTML standard. */
export class SseReader {
  private readonly decoder = new StringDecoder('utf8');
  private incompleteLine = '';
  private isFirstText = true;
  private endedOnCr = false;
  private type = '';
  private data: string[] = [];
  private dataLength = 0;

  private constructor() {}

  /** Creates a reader at the start of a stream. */
  static create(): SseReader {
    return new SseReader();
  }

  /** Number of characters of the incomplete last line and event. */
  get pendingLength(): number {
    return this.incompleteLine.length + this.dataLength;
  }

  /**
   * Parses a chunk and returns the events that it completes.
   * @param chunk - UTF-8 text; may start or end within a character.
   */
  read(chunk: Uint8Array): SseEvent[] {
    const text = this.decodeChunk(chunk);
    const lines = text.split(
      text.includes(carriageReturn) ? linePattern : newline,
    );
    this.incompleteLine = lines.pop() ?? '';
    const events: SseEvent[] = [];
    for (const line of lines) this.readLine(line, events);
    return events;
  }

  /** Decodes a chunk and prepends the incomplete line before it. */
  private decodeChunk(chunk: Uint8Array): string {
    let text = this.decoder.write(chunk);
    if (text === '') return this.incompleteLine;
    const hasBom = this.isFirstText && text.startsWith(byteOrderMark);
    if (hasBom) text = text.slice(1);
    // Skips the line feed of a CRLF that the previous chunk boundary split.
    if (this.endedOnCr && text.startsWith(newline)) text = text.slice(1);
    this.isFirstText = false;
    this.endedOnCr = text.endsWith(carriageReturn);
    return this.incompleteLine + text;
  }

  private readLine(line: string, events: SseEvent[]): void {
    if (line === '') {
      this.dispatchEvent(events);
      return;
    }
    const colon = line.indexOf(':');
    if (colon === 0) return;
    const field = colon < 0 ? line : line.slice(0, colon);
    const value = colon < 0 ? '' : line.slice(colon + 1);
    this.setField(field, value.startsWith(' ') ? value.slice(1) : value);
  }

  private setField(field: string, value: string): void {
    if (field === 'event') this.type = value;
    else if (field === 'data') {
      this.data.push(value);
      this.dataLength += value.length + 1;
    }
  }

  private dispatchEvent(events: SseEvent[]): void {
    if (this.data.length > 0) {
      const type = this.type === '' ? defaultType : this.type;
      events.push({type, data: this.data.join(newline)});
    }
    this.type = '';
    this.data = [];
    this.dataLength = 0;
  }
}
