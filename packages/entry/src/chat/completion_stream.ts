/** A streamed answer on its way to one caller. */
import {toMarigoldpostError} from '@marigoldpost/common';
import type {
  CallFinished,
  CallStarted,
  CallToken,
} from '@marigoldpost/programs';
import {toErrorBody} from '../http/error_body.js';
import type {CallRecord} from '../server/call_record.js';
import {
  type CompletionHead,
  getChatAnswerOrThrow,
  toFirstChunk,
  toLastChunk,
  toTokenChunk,
  toUsageChunk,
} from './chat_completion.js';
import type {SseWriter} from './sse_writer.js';
import {TokenSequence} from './token_sequence.js';

/** What a stream starts with. */
export interface CompletionStreamOptions {
  readonly head: CompletionHead;
  /** Tokens that the caller already has. */
  readonly offsetTokens: number;
  /** Whether a chunk with the usage follows the last one. */
  readonly includesUsage: boolean;
}

/** Turns the events of a call into chunks. */
export class CompletionStream {
  private readonly tokens: TokenSequence;

  private constructor(
    private readonly writer: SseWriter,
    private readonly record: CallRecord,
    private readonly options: CompletionStreamOptions,
  ) {
    this.tokens = TokenSequence.create(options.offsetTokens);
  }

  /**
   * Creates a stream.
   * @param writer - Where the chunks go.
   * @param record - Notes tokens and the end.
   * @param options - What the stream starts with.
   */
  static create(
    writer: SseWriter,
    record: CallRecord,
    options: CompletionStreamOptions,
  ): CompletionStream {
    return new CompletionStream(writer, record, options);
  }

  /** Writes the first chunk, unless the caller resumes. */
  async open(): Promise<void> {
    if (this.options.offsetTokens > 0) return;
    await this.writer.write(JSON.stringify(toFirstChunk(this.options.head)));
  }

  /**
   * Writes what an event means; the stream is complete after `finished`.
   * @param event - The event.
   */
  async write(event: CallStarted | CallToken | CallFinished): Promise<void> {
    switch (event.kind) {
      case 'started':
        return;
      case 'token':
        if (this.tokens.take(event)) await this.writeToken(event);
        return;
      case 'finished':
        await this.finish(event);
    }
  }

  /**
   * Ends the stream with an error event.
   * @param thrown - What was thrown.
   */
  fail(thrown: unknown): void {
    this.writer.writeError(toErrorBody(toMarigoldpostError(thrown)));
  }

  private async writeToken({index, text}: CallToken): Promise<void> {
    this.record.noteToken();
    const chunk = toTokenChunk(this.options.head, text);
    await this.writer.write(JSON.stringify(chunk), index);
  }

  private async finish(event: CallFinished): Promise<void> {
    const {head, includesUsage} = this.options;
    const answer = getChatAnswerOrThrow(event);
    for (const token of this.tokens.takeRest(answer)) {
      await this.writeToken(token);
    }
    this.record.noteFinished(event);
    await this.writer.write(JSON.stringify(toLastChunk(head, event)));
    if (includesUsage) {
      const usage = toUsageChunk(head, answer.usage);
      await this.writer.write(JSON.stringify(usage));
    }
    await this.writer.end();
  }
}
