/** Buffered answer of one call, for any number of readers. */
import {
  Deferred,
  MarigoldpostError,
  type CallId,
  type ProgramId,
  type TargetId,
} from '@marigoldpost/common';
import type {CallAnswer, CallEvent, CallToken} from '../calls/call.js';

/** Identifies the call whose answer a stream buffers. */
export interface CallStreamOptions {
  readonly program: ProgramId;
  readonly callId: CallId;
}

/** Buffers an answer, so that a reader that joins late still gets all of it. */
export class CallStream {
  private readonly tokens: CallToken[] = [];
  private target: TargetId | undefined;
  private end: CallEvent | Error | undefined;
  private changed = Deferred.create<void>();

  private constructor(private readonly options: CallStreamOptions) {}

  /**
   * Creates a stream without tokens.
   * @param options - Program and call that the stream belongs to.
   */
  static create(options: CallStreamOptions): CallStream {
    return new CallStream(options);
  }

  /** Number of buffered tokens. */
  get length(): number {
    return this.tokens.length;
  }

  /** Whether the stream has its last event or has failed. */
  get isEnded(): boolean {
    return this.end !== undefined;
  }

  /**
   * Sets the target that runs the call and notifies readers.
   * @param target - Target of the newest dispatch.
   */
  setTarget(target: TargetId): void {
    this.target = target;
    this.notifyReaders();
  }

  /**
   * Appends a token; one that is already buffered is ignored. Throws
   * `stream_truncated` when tokens before it are missing.
   * @param index - Position in the answer, from 0.
   * @param text - Text of the token.
   */
  addToken(index: number, text: string): void {
    if (this.isEnded || index < this.tokens.length) return;
    if (index > this.tokens.length) {
      throw MarigoldpostError.create(
        'stream_truncated',
        `received token ${index} of call "${this.options.callId}" right after token ${this.tokens.length - 1}`,
      );
    }
    this.tokens.push({kind: 'token', index, text});
    this.notifyReaders();
  }

  /**
   * Ends the stream with the complete answer.
   * @param answer - Answer that all readers receive last.
   * @param isDurable - Whether the turn is durable in the journal.
   */
  finish(answer: CallAnswer, isDurable: boolean): void {
    this.setEnd({kind: 'finished', answer, isDurable});
  }

  /**
   * Ends the stream with a failure.
   * @param error - Error that is thrown to all readers.
   */
  fail(error: Error): void {
    this.setEnd(error);
  }

  /**
   * Reads the answer as events. Throws the call's failure, or the signal's
   * reason.
   * @param offsetTokens - Number of leading tokens to omit.
   * @param signal - Aborts the reading.
   */
  async *read(
    offsetTokens: number,
    signal: AbortSignal,
  ): AsyncGenerator<CallEvent> {
    const isReplay = this.isEnded;
    const {program, callId} = this.options;
    yield {kind: 'accepted', program, callId, isReplay};
    let reportedTarget: TargetId | undefined;
    let nextIndex = offsetTokens;
    for (;;) {
      signal.throwIfAborted();
      const {changed} = this;
      if (this.target !== undefined && this.target !== reportedTarget) {
        reportedTarget = this.target;
        yield {kind: 'started', target: reportedTarget};
      }
      while (nextIndex < this.tokens.length) yield this.tokens[nextIndex++]!;
      if (this.end instanceof Error) throw this.end;
      if (this.end !== undefined) {
        yield this.end;
        return;
      }
      if (changed === this.changed) await waitOrAbort(changed, signal);
    }
  }

  private setEnd(end: CallEvent | Error): void {
    if (this.isEnded) return;
    this.end = end;
    this.notifyReaders();
  }

  private notifyReaders(): void {
    this.changed.resolve();
    this.changed = Deferred.create<void>();
  }
}

async function waitOrAbort(
  changed: Deferred<void>,
  signal: AbortSignal,
): Promise<void> {
  const aborted = Deferred.create<void>();
  const onAbort = () => aborted.resolve();
  signal.addEventListener('abort', onAbort, {once: true});
  try {
    await Promise.race([changed.promise, aborted.promise]);
  } finally {
    signal.removeEventListener('abort', onAbort);
  }
}
