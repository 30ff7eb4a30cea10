/** One generation of an in-memory engine, with the reader that follows it. */
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

/** What an engine saw of one generation. */
export interface StreamRecord {
  readonly streamId: string;
  readonly program: ProgramId;
  readonly model: ModelId;
  /** Digest of prompt, stream id and the answer's given start. */
  readonly promptDigest: string;
  readonly promptTokens: number;
  /** Tokens of the answer that another engine had generated. */
  readonly prefixTokens: number;
  readonly generatedTokens: number;
  readonly isComplete: boolean;
  readonly isCancelled: boolean;
  readonly startedAtMs: number;
}

/** Generation whose tokens can be read from any offset. */
export class MemoryStream implements EngineStreamListener {
  isCancelled = false;
  private readyTokens = 0;
  private modelEnd: EngineEnd | undefined;
  private broken = false;
  private changed = Deferred.create<void>();

  private constructor(
    readonly request: EngineRequest,
    readonly modelRequest: EngineModelRequest,
    private readonly digest: string,
    private readonly startedAtMs: number,
  ) {}

  /**
   * Creates a generation without tokens.
   * @param request - The request that starts it.
   * @param startedAtMs - Present time, in milliseconds.
   * @param outputTokens - Length of the answer; by default its digest decides.
   */
  static create(
    request: EngineRequest,
    startedAtMs: number,
    outputTokens: number | undefined,
  ): MemoryStream {
    const prefixed = addPrefix(request);
    const modelRequest = getModelRequest(prefixed, outputTokens);
    const digest = getGenerationDigest(prefixed);
    return new MemoryStream(request, modelRequest, digest, startedAtMs);
  }

  /** Tokens of the answer that the request brought along. */
  get prefixTokens(): number {
    return this.request.answerPrefix?.length ?? 0;
  }

  /** Number of tokens that can be read, the given start included. */
  get availableTokens(): number {
    return this.prefixTokens + this.readyTokens;
  }

  /** Whether the given start leaves no room for another token. */
  get isFull(): boolean {
    return this.prefixTokens >= this.request.maxTokens;
  }

  /** Whether the generation was ended early. */
  get isBroken(): boolean {
    return this.broken;
  }

  /** Whether nothing will follow. */
  get isSettled(): boolean {
    return this.modelEnd !== undefined || this.broken;
  }

  onTokens(readyTokens: number): void {
    this.readyTokens = readyTokens;
    this.notify();
  }

  onEnd(end: EngineEnd): void {
    this.modelEnd = end;
    this.notify();
  }

  /** Ends the generation early; the tokens so far can be read. */
  setBroken(): void {
    if (this.isSettled) return;
    this.broken = true;
    this.notify();
  }

  /** Ends a generation that has no room for another token. */
  endFull(): void {
    const {promptTokens} = this.modelRequest;
    this.onEnd({
      kind: 'end',
      finishReason: 'length',
      promptTokens,
      cachedTokens: 0,
      completionTokens: 0,
    });
  }

  /** Waits until more tokens, the end or a failure is there. */
  whenChanged(): Promise<void> {
    return this.changed.promise;
  }

  /**
   * Gets the event at a position, or nothing when it isn't there.
   * @param index - Position in the answer, from 0.
   */
  getEvent(index: number): EngineEvent | undefined {
    if (index < this.availableTokens) {
      return {kind: 'token', index, text: this.getText(index)};
    }
    if (this.modelEnd !== undefined) return this.getEnd(this.modelEnd);
    return undefined;
  }

  /** Gets what the engine saw. */
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

/** Takes the given start of the answer into the prompt. */
function addPrefix(request: EngineRequest): EngineRequest {
  const prefix = request.answerPrefix ?? [];
  if (prefix.length === 0) return request;
  const start = {role: 'assistant', content: prefix.join('')} as const;
  return {
    ...request,
    messages: [...request.messages, start],
    maxTokens: Math.max(1, request.maxTokens - prefix.length),
  };
}
