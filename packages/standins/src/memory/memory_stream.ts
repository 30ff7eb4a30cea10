/** Generation of an in-memory engine whose tokens clients read. */
import {Deferred, type ModelId, type ProgramId} from '@marigoldpost/common';
import type {
  EngineEnd,
  EngineEvent,
  EngineRequest,
} from '@marigoldpost/targets';
import {
  type EngineModelRequest,
  type EngineStreamListener,
  getGenerationDigest,
  getModelRequest,
  getTokenText,
} from '../engine/engine_model_request.js';

/** Summary of one generation, for tests. */
export interface StreamRecord {
  readonly streamId: string;
  readonly program: ProgramId;
  readonly model: ModelId;
  /** Digest of the prompt, the stream id and the answer prefix. */
  readonly promptDigest: string;
  readonly promptTokens: number;
  /** Length of the answer prefix that another engine generated, in tokens. */
  readonly prefixTokens: number;
  readonly generatedTokens: number;
  readonly isComplete: boolean;
  readonly isCancelled: boolean;
  readonly startedAtMs: number;
}

/** Generation whose events can be read from any offset. */
export class MemoryStream implements EngineStreamListener {
  isCancelled = false;
  private readyTokens = 0;
  private modelEnd: EngineEnd | undefined;
  private terminated = false;
  private changed = Deferred.create<void>();

  private constructor(
    readonly request: EngineRequest,
    readonly modelRequest: EngineModelRequest,
    private readonly digest: string,
    private readonly startedAtMs: number,
  ) {}

  /**
   * Creates a generation without tokens.
   * @param request - Request that starts the generation.
   * @param startedAtMs - Present time, in milliseconds.
   * @param outputTokens - Number of tokens to generate; default: derived from
   *     the digest.
   */
  static create(
    request: EngineRequest,
    startedAtMs: number,
    outputTokens: number | undefined,
  ): MemoryStream {
    const prefixed = appendAnswerPrefix(request);
    const modelRequest = getModelRequest(prefixed, outputTokens);
    const digest = getGenerationDigest(prefixed);
    return new MemoryStream(request, modelRequest, digest, startedAtMs);
  }

  /** Number of tokens in the request's answer prefix. */
  get prefixTokens(): number {
    return this.request.answerPrefix?.length ?? 0;
  }

  /** Number of tokens that can be read, the answer prefix included. */
  get availableTokens(): number {
    return this.prefixTokens + this.readyTokens;
  }

  /** Whether the answer prefix already has `maxTokens` tokens. */
  get hasReachedMaxTokens(): boolean {
    return this.prefixTokens >= this.request.maxTokens;
  }

  /** Whether the generation was terminated before its end. */
  get isTerminated(): boolean {
    return this.terminated;
  }

  /** Whether the generation is complete or terminated. */
  get isSettled(): boolean {
    return this.modelEnd !== undefined || this.terminated;
  }

  onTokens(readyTokens: number): void {
    this.readyTokens = readyTokens;
    this.notify();
  }

  onEnd(end: EngineEnd): void {
    this.modelEnd = end;
    this.notify();
  }

  /** Terminates the generation; the tokens so far can still be read. */
  terminate(): void {
    if (this.isSettled) return;
    this.terminated = true;
    this.notify();
  }

  /** Completes a generation whose answer prefix has `maxTokens` tokens. */
  endWithoutTokens(): void {
    const {promptTokens} = this.modelRequest;
    this.onEnd({
      kind: 'end',
      finishReason: 'length',
      promptTokens,
      cachedTokens: 0,
      completionTokens: 0,
    });
  }

  /** Waits for more tokens, the end or a termination. */
  waitForChange(): Promise<void> {
    return this.changed.promise;
  }

  /**
   * Gets the event at a position; `undefined` if it is not available yet.
   * @param index - Zero-based position in the answer.
   */
  getEvent(index: number): EngineEvent | undefined {
    if (index < this.availableTokens) {
      return {kind: 'token', index, text: this.getText(index)};
    }
    if (this.modelEnd !== undefined) return this.getEnd(this.modelEnd);
    return undefined;
  }

  /** Gets a summary of the present state. */
  getRecord(): StreamRecord {
    const {streamId, program, model} = this.request;
    return {
      streamId,
      program,
      model,
      promptDigest: this.digest,
      promptTokens: this.modelRequest.promptTokens,
      prefixTokens: this.prefixTokens,
      generatedTokens: this.readyTokens,
      isComplete: this.modelEnd !== undefined,
      isCancelled: this.isCancelled,
      startedAtMs: this.startedAtMs,
    };
  }

  private getText(index: number): string {
    const given = this.request.answerPrefix?.[index];
    return given ?? getTokenText(this.digest, index);
  }

  private getEnd(end: EngineEnd): EngineEnd {
    const {prefixTokens} = this;
    const completionTokens = end.completionTokens + prefixTokens;
    const promptTokens = end.promptTokens;
    return {...end, promptTokens, completionTokens};
  }

  private notify(): void {
    this.changed.resolve();
    this.changed = Deferred.create<void>();
  }
}

/** Appends the answer prefix to the prompt's messages. */
function appendAnswerPrefix(request: EngineRequest): EngineRequest {
  const prefix = request.answerPrefix ?? [];
  if (prefix.length === 0) return request;
  const start = {role: 'assistant', content: prefix.join('')} as const;
  return {
    ...request,
    messages: [...request.messages, start],
    maxTokens: Math.max(1, request.maxTokens - prefix.length),
  };
}
