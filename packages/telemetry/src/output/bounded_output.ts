/** Log output that never holds the process up. */
import type {DestinationStream} from 'pino';
import {destination} from 'pino';

/** Unwritten bytes kept while nobody reads; a second of the line limit. */
const maxUnwrittenBytes = 1024 * 1024;
/** Lines of a second; a call takes about three, and a daemon serves some 200. */
const maxLinesPerSecond = 1500;
const secondMs = 1000;
/** Bytes that are written together; a shorter rest waits for the next flush. */
const writeBytes = 8 * 1024;
const flushIntervalMs = 250;

/** Where the bytes go. */
export interface LogSink {
  /** Takes a line without waiting for its reader. */
  write(line: string): void;
}

/** Options of an output. */
export interface BoundedOutputOptions {
  readonly sink: LogSink;
  /** Time in milliseconds; only differences have a meaning. */
  readonly nowMs: () => number;
}

/** Output that leaves lines out, and counts them, when there are too many. */
export class BoundedOutput implements DestinationStream {
  private windowStartMs = Number.NEGATIVE_INFINITY;
  private linesInWindow = 0;
  private dropped = 0;

  private constructor(private readonly options: BoundedOutputOptions) {}

  /**
   * Creates an output.
   * @param options - Sink and clock.
   */
  static create(options: BoundedOutputOptions): BoundedOutput {
    return new BoundedOutput(options);
  }

  /**
   * Creates an output to standard output.
   * @param nowMs - Time in milliseconds.
   */
  static createForStdout(nowMs: () => number): BoundedOutput {
    const stdout = destination({
      fd: 1,
      sync: false,
      maxLength: maxUnwrittenBytes,
      minLength: writeBytes,
    });
    const output = new BoundedOutput({sink: stdout, nowMs});
    stdout.on('drop', () => output.noteDropped());
    stdout.on('error', () => output.noteDropped());
    const timer = setInterval(() => stdout.flush(), flushIntervalMs);
    timer.unref();
    return output;
  }

  /** Counts a line that its reader was too slow for. */
  noteDropped(): void {
    this.dropped += 1;
  }

  /** Gets and forgets the number of lines left out. */
  takeDropped(): number {
    const {dropped} = this;
    this.dropped = 0;
    return dropped;
  }

  write(line: string): void {
    const nowMs = this.options.nowMs();
    if (nowMs - this.windowStartMs >= secondMs) {
      this.windowStartMs = nowMs;
      this.linesInWindow = 0;
    }
    this.linesInWindow += 1;
    if (this.linesInWindow > maxLinesPerSecond) this.dropped += 1;
    else this.options.sink.write(line);
  }
}
