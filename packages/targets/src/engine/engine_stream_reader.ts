/** Parses an engine's stream and checks that it is complete and in order. */
import {MarigoldpostError, parseJson} from '@marigoldpost/common';
import type {HttpFailure} from '@marigoldpost/platform';
import {SseReader, type SseEvent} from '../sse/sse_reader.js';
import {toTargetError, type CallDescription} from '../utils/target_errors.js';
import type {
  EngineEnd,
  EngineEvent,
  EngineRequest,
  EngineToken,
} from './engine_client.js';
import {endSchema} from './engine_schemas.js';

/** Maximum length of a line in a stream, in characters. */
const maxLineLength = 1024 * 1024;

/** Incremental parser of one stream; ignores tokens below the offset. */
export class EngineStreamReader {
  private readonly sse = SseReader.create();
  private isEnded = false;

  private constructor(
    private readonly call: CallDescription,
    private nextIndex: number,
    private readonly maxTokens: number,
  ) {}

  /**
   * Creates a reader at the start of a stream.
   * @param call - Target and subject, for error messages.
   * @param request - Index of the first expected token, and their limit.
   */
  static create(
    call: CallDescription,
    {offsetTokens, maxTokens}: EngineRequest,
  ): EngineStreamReader {
    return new EngineStreamReader(call, offsetTokens, maxTokens);
  }

  /** Whether the `end` event has been read. */
  get isComplete(): boolean {
    return this.isEnded;
  }

  /**
   * Parses the next chunk into events. Throws `stream_truncated` if the stream
   * ends early, omits tokens or is malformed.
   * @param next - A chunk, a failure, or `undefined` at the end of the stream.
   */
  *read(next: Buffer | HttpFailure | undefined): Iterable<EngineEvent> {
    if (next === undefined) throw this.createError('has no end event');
    if (!Buffer.isBuffer(next)) throw this.toStreamError(next);
    for (const event of this.sse.read(next)) {
      const parsed = this.parseEvent(event);
      if (parsed !== undefined) yield parsed;
      if (this.isEnded) return;
    }
    if (this.sse.pendingLength > maxLineLength) {
      throw this.createError(
        `sent a line of more than ${maxLineLength} characters`,
      );
    }
  }

  private parseEvent(event: SseEvent): EngineEvent | undefined {
    return event.type === 'end'
      ? this.parseEnd(event.data)
      : this.parseToken(event.data);
  }

  private parseToken(data: string): EngineToken | undefined {
    const value = parseJson(data);
    if (!isTokenData(value)) throw this.createError('sent a malformed token');
    const {index, text} = value;
    if (index < this.nextIndex) return undefined;
    if (index > this.nextIndex) {
      throw this.createError(`omitted token ${this.nextIndex}`);
    }
    if (index >= this.maxTokens) {
      throw this.createError(`sent more than ${this.maxTokens} tokens`);
    }
    this.nextIndex += 1;
    return {kind: 'token', index, text};
  }

  private parseEnd(data: string): EngineEnd {
    const parsed = endSchema.safeParse(parseJson(data));
    if (!parsed.success) throw this.createError('sent a malformed end');
    const {completionTokens} = parsed.data;
    if (completionTokens !== this.nextIndex) {
      throw this.createError(
        `ended at token ${this.nextIndex} of ${completionTokens}`,
      );
    }
    this.isEnded = true;
    return {kind: 'end', ...parsed.data};
  }

  private toStreamError(failure: HttpFailure): Error {
    if (failure.reason !== 'cut') return toTargetError(failure, this.call);
    return this.createError('lost its connection', failure.cause);
  }

  private createError(what: string, cause?: Error): MarigoldpostError {
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
