/** Checks that an engine's stream is complete and in order. */
import {MarigoldpostError, parseJson} from '@marigoldpost/common';
import type {HttpFailure} from '@marigoldpost/platform';
import {SseReader, type SseEvent} from '../sse/sse_reader.js';
import {toTargetError, type TargetCall} from '../utils/target_errors.js';
import type {EngineEnd, EngineEvent, EngineToken} from './engine_client.js';
import {endSchema} from './engine_schemas.js';

/** Longest line of a stream, in characters. */
const maxLineLength = 1024 * 1024;

/** Turns the chunks of one stream into events. */
export class EngineStreamReader {
  private readonly sse = SseReader.create();
  private isEnded = false;

  private constructor(
    private readonly call: TargetCall,
    private nextIndex: number,
  ) {}

  /**
   * Creates a reader.
   * @param call - The stream, for messages.
   * @param offsetTokens - Index of the first token expected.
   */
  static create(call: TargetCall, offsetTokens: number): EngineStreamReader {
    return new EngineStreamReader(call, offsetTokens);
  }

  /** Whether the event that ends the answer has been read. */
  get isComplete(): boolean {
    return this.isEnded;
  }

  /**
   * Gets the events of what came next. Throws `stream_truncated` when the
   * stream stopped early or lacks tokens.
   * @param next - A chunk, a failure, or nothing at the stream's end.
   */
  *read(next: Buffer | HttpFailure | undefined): Iterable<EngineEvent> {
    if (next === undefined) throw this.toTruncated('stopped without an end');
    if (!Buffer.isBuffer(next)) throw this.toFailure(next);
    for (const event of this.sse.read(next)) {
      const parsed = this.parseEvent(event);
      if (parsed !== undefined) yield parsed;
      if (this.isEnded) return;
    }
    if (this.sse.pendingLength > maxLineLength) {
      throw this.toTruncated('sent a line that is too long');
    }
  }

  private parseEvent(event: SseEvent): EngineEvent | undefined {
    return event.type === 'end'
      ? this.parseEnd(event.data)
      : this.parseToken(event.data);
  }

  private parseToken(data: string): EngineToken | undefined {
    const value = parseJson(data);
    if (!isTokenData(value)) throw this.toTruncated('sent a malformed token');
    const {index, text} = value;
    if (index < this.nextIndex) return undefined;
    if (index > this.nextIndex) {
      throw this.toTruncated(`left out token ${this.nextIndex}`);
    }
    this.nextIndex += 1;
    return {kind: 'token', index, text};
  }

  private parseEnd(data: string): EngineEnd {
    const parsed = endSchema.safeParse(parseJson(data));
    if (!parsed.success) throw this.toTruncated('sent a malformed end');
    const {completionTokens} = parsed.data;
    if (completionTokens !== this.nextIndex) {
      throw this.toTruncated(
        `ended at token ${this.nextIndex} of ${completionTokens}`,
      );
    }
    this.isEnded = true;
    return {kind: 'end', ...parsed.data};
  }

  private toFailure(failure: HttpFailure): Error {
    if (failure.reason !== 'cut') return toTargetError(failure, this.call);
    return this.toTruncated('lost its connection', failure.cause);
  }

  private toTruncated(what: string, cause?: Error): MarigoldpostError {
    const {target, subject} = this.call;
    const message = `${subject} of engine "${target}" ${what}`;
    return MarigoldpostError.create('stream_truncated', message, {cause});
  }
}

function isTokenData(value: unknown): value is {index: number; text: string} {
  if (typeof value !== 'object' || value === null) return false;
  const {index, text} = value as {index?: unknown; text?: unknown};
  return Number.isInteger(index) && typeof text === 'string';
}
