/** Log output that never blocks the process. */
import type {DestinationStream} from 'pino';
import {destination} from 'pino';

/**
 * Most buffered bytes while standard output is not read: about the lines of one
 * second at the line limit.
 */
const maxUnwrittenBytes = 1024 * 1024;
/**
 * Most lines in a second. A call logs about three lines, and a daemon serves
 * about 200 calls a second.
 */
const maxLinesPerSecond = 1500;
const secondMs = 1000;
/** Bytes that are written at once; fewer bytes wait for the next flush. */
const writeBytes = 8 * 1024;
const flushIntervalMs = 250;

/** Receiver of log lines. */
export interface LogSink {
  /** Accepts a line without waiting until it is written. */
  write(line: string): void;
}

/** Receiver of the lines and source of time. */
export interface BoundedOutputOptions {
  readonly sink: LogSink;
  /** Gets time in milliseconds; only differences are meaningful. */
  readonly nowMs: () => number;
}

/** Output that drops and counts the lines that exceed its limits. */
export class BoundedOutput implements DestinationStream {
  private windowStartMs = Number.NEGATIVE_INFINITY;
  private linesInWindow = 0;
  private dropped = 0;

  private constructor(private readonly options: BoundedOutputOptions) {}

  /**
   * Creates an output.
   * @param options - Receiver of the lines and source of time.
   */
  static create(options: BoundedOutputOptions): BoundedOutput {
    return new BoundedOutput(options);
  }

  /**
   * Creates an output that writes to standard output asynchronously.
   * @param nowMs - Gets time in milliseconds.
   */
  static createForStdout(nowMs: () => number): BoundedOutput {
    const stdout = destination({
      fd: 1,
      sync: false,
      maxLength: maxUnwrittenBytes,
      minLength: writeBytes,
    });
    const output = new BoundedOutput({sink: stdout, nowMs});
    stdout.on('drop', () => output.recordDropped());
    stdout.on('error', () => output.recordDropped());
    const timer = setInterval(() => stdout.flush(), flushIntervalMs);
    timer.unref();
    return output;
  }

  /** Counts a line that was dropped because standard output was not read. */
  recordDropped(): void {
    this.dropped += 1;
  }

  /** Gets the number of dropped lines since the last call, and resets it. */
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
