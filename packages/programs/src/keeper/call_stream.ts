/** The answer of one call, for any number of readers. */
import {
  Deferred,
  MarigoldpostError,
  type CallId,
  type ProgramId,
  type TargetId,
} from '@marigoldpost/common';
import type {CallAnswer, CallEvent, CallToken} from '../calls/call.js';

/** Which call a stream answers. */
export interface CallStreamOptions {
  readonly program: ProgramId;
  readonly callId: CallId;
}

/** Buffer of an answer; readers may join late and still get all of it. */
export class CallStream {
  private readonly tokens: CallToken[] = [];
  private target: TargetId | undefined;
  private end: CallEvent | Error | undefined;
  private changed = Deferred.create<void>();

  private constructor(private readonly options: CallStreamOptions) {}

  /**
   * Creates an empty stream.
   * @param options - Which call it answers.
   */
  static create(options: CallStreamOptions): CallStream {
    return new CallStream(options);
  }

  /** Number of tokens so far. */
  get length(): number {
    return this.tokens.length;
  }

  /** Whether the stream has its last event or has failed. */
  get isEnded(): boolean {
    return this.end !== undefined;
  }

  /**
   * Tells readers which target runs the call.
   * @param target - The target.
   */
  setTarget(target: TargetId): void {
    this.target = target;
    this.wake();
  }

  /**
   * Adds a token; one that is here already is ignored. Throws
   * `stream_truncated` when tokens between are missing.
   * @param index - Position in the answer, from 0.
   * @param text - The token.
   */
  addToken(index: number, text: string): void {
    if (this.isEnded || index < this.tokens.length) return;
    if (index > this.tokens.length) {
      throw MarigoldpostError.create(
        'stream_truncated',
        `token ${index} of call "${this.options.callId}" came after token ${this.tokens.length - 1}`,
      );
    }
    this.tokens.push({kind: 'token', index, text});
    this.wake();
  }

  /**
   * Ends the stream with the complete answer.
   * @param answer - The answer.
   * @param isDurable - Whether the turn is committed.
   */
  finish(answer: CallAnswer, isDurable: boolean): void {
    this.setEnd({kind: 'finished', answer, isDurable});
  }

  /**
   * Ends the stream with a failure.
   * @param error - What readers get thrown.
   */
  fail(error: Error): void {
    this.setEnd(error);
  }

  /**
   * Reads the answer. Throws the call's failure, and the signal's reason.
   * @param offsetTokens - Tokens before this position are left out.
   * @param signal - Ends the reading.
   */
  async *read(
    offsetTokens: number,
    signal: AbortSignal,
  ): AsyncGenerator<CallEvent> {
    const isReplay = this.isEnded;
    const {program, callId} = this.options;
    yield {kind: 'accepted', program, callId, isReplay};
    let seenTarget: TargetId | undefined;
    let next = offsetTokens;
    for (;;) {
      signal.throwIfAborted();
      const {changed} = this;
      if (this.target !== undefined && this.target !== seenTarget) {
        seenTarget = this.target;
        yield {kind: 'started', target: seenTarget};
      }
      while (next < this.tokens.length) yield this.tokens[next++]!;
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
    this.wake();
  }

  private wake(): void {
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
