/** Streams one chat completion to a caller. */
import {toMarigoldpostError} from '@marigoldpost/common';
import type {
  CallFinished,
  CallStarted,
  CallToken,
} from '@marigoldpost/programs';
import {toErrorBody} from '../http/error_body.js';
import type {CallRecorder} from '../server/call_recorder.js';
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

/** Shared chunk fields and start offset of a stream. */
export interface CompletionStreamOptions {
  readonly head: CompletionHead;
  /** Tokens that the caller already has. */
  readonly offsetTokens: number;
  /** Whether a chunk with the token usage follows the finish reason. */
  readonly includesUsage: boolean;
}

/** Converts the events of a call to chunks. */
export class CompletionStream {
  private readonly tokens: TokenSequence;

  private constructor(
    private readonly writer: SseWriter,
    private readonly recorder: CallRecorder,
    private readonly options: CompletionStreamOptions,
  ) {
    this.tokens = TokenSequence.create(options.offsetTokens);
  }

  /**
   * Creates a stream; writes nothing yet.
   * @param writer - Writer of the server-sent events.
   * @param recorder - Records the tokens and the end of the call.
   * @param options - Shared chunk fields and start offset.
   */
  static create(
    writer: SseWriter,
    recorder: CallRecorder,
    options: CompletionStreamOptions,
  ): CompletionStream {
    return new CompletionStream(writer, recorder, options);
  }

  /** Writes the first chunk, unless the caller resumes a stream. */
  async open(): Promise<void> {
    if (this.options.offsetTokens > 0) return;
    await this.writer.write(JSON.stringify(toFirstChunk(this.options.head)));
  }

  /**
   * Writes the chunks of an event; `finished` ends the stream.
   * @param event - Next event of the call.
   */
  async write(event: CallStarted | CallToken | CallFinished): Promise<void> {
    switch (event.kind) {
      case 'started':
        return;
      case 'token':
        if (this.tokens.acceptToken(event)) await this.writeToken(event);
        return;
      case 'finished':
        await this.finish(event);
    }
  }

  /**
   * Ends the stream with an error event.
   * @param thrown - Value that was thrown.
   */
  fail(thrown: unknown): void {
    this.writer.writeError(toErrorBody(toMarigoldpostError(thrown)));
  }

  private async writeToken({index, text}: CallToken): Promise<void> {
    this.recorder.recordToken();
    const chunk = toTokenChunk(this.options.head, text);
    await this.writer.write(JSON.stringify(chunk), index);
  }

  private async finish(event: CallFinished): Promise<void> {
    const {head, includesUsage} = this.options;
    const answer = getChatAnswerOrThrow(event);
    for (const token of this.tokens.takeRemaining(answer)) {
      await this.writeToken(token);
    }
    this.recorder.recordFinished(event);
    await this.writer.write(JSON.stringify(toLastChunk(head, event)));
    if (includesUsage) {
      const usage = toUsageChunk(head, answer.usage);
      await this.writer.write(JSON.stringify(usage));
    }
    await this.writer.end();
  }
}
