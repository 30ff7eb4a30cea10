/** Reads server-sent events from chunks with arbitrary borders. */
import {StringDecoder} from 'node:string_decoder';

/** One server-sent event. */
export interface SseEvent {
  /** `message` when the stream names no type. */
  readonly type: string;
  /** Lines of data, joined by newlines. */
  readonly data: string;
}

const newline = '\n';
const carriageReturn = '\r';
const byteOrderMark = '\uFEFF';
const defaultType = 'message';
const linePattern = /\r\n|\n|\r/;

/** Incremental parser of an event stream, after the HTML standard. */
export class SseReader {
  private readonly decoder = new StringDecoder('utf8');
  private rest = '';
  private isFirstText = true;
  private endedOnReturn = false;
  private type = '';
  private data: string[] = [];

  private constructor() {}

  /** Creates a reader at the start of a stream. */
  static create(): SseReader {
    return new SseReader();
  }

  /** Characters of the line that is not complete yet. */
  get pendingLength(): number {
    return this.rest.length;
  }

  /**
   * Takes in a chunk and gets the events that it completes.
   * @param chunk - Bytes of UTF-8 text.
   */
  read(chunk: Uint8Array): SseEvent[] {
    const text = this.takeText(chunk);
    const lines = text.split(
      text.includes(carriageReturn) ? linePattern : newline,
    );
    this.rest = lines.pop() ?? '';
    const events: SseEvent[] = [];
    for (const line of lines) this.readLine(line, events);
    return events;
  }

  /** Gets the text from the last line end to the chunk's end. */
  private takeText(chunk: Uint8Array): string {
    let text = this.decoder.write(chunk);
    if (text === '') return this.rest;
    const hasMark = this.isFirstText && text.startsWith(byteOrderMark);
    if (hasMark) text = text.slice(1);
    // The line feed of a line end that the last chunk's end has split.
    if (this.endedOnReturn && text.startsWith(newline)) text = text.slice(1);
    this.isFirstText = false;
    this.endedOnReturn = text.endsWith(carriageReturn);
    return this.rest + text;
  }

  private readLine(line: string, events: SseEvent[]): void {
    if (line === '') {
      this.finishEvent(events);
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
    else if (field === 'data') this.data.push(value);
  }

  private finishEvent(events: SseEvent[]): void {
    if (this.data.length > 0) {
      const type = this.type === '' ? defaultType : this.type;
      events.push({type, data: this.data.join(newline)});
    }
    this.type = '';
    this.data = [];
  }
}
