/** One generation inside the engine's timing model. */
import type {EngineEnd} from '@marigoldpost/targets';
import type {
  EngineModelRequest,
  EngineStreamListener,
} from './engine_model_request.js';

/** State of a stream; the engine model changes it. */
export class EngineStream {
  /** Prompt tokens found in the prefix cache. */
  cachedTokens = 0;
  /** Prompt tokens still to be taken in. */
  prefillTokens = 0;
  /** Value of the engine's token counter at the stream's token 0. */
  decodeStart = 0;
  private ready = 0;
  private isEnded = false;

  private constructor(
    readonly request: EngineModelRequest,
    private listener: EngineStreamListener | undefined,
  ) {}

  /**
   * Creates a stream that waits.
   * @param request - The generation.
   * @param listener - Hears of its progress.
   */
  static create(
    request: EngineModelRequest,
    listener: EngineStreamListener,
  ): EngineStream {
    return new EngineStream(request, listener);
  }

  /** Number of tokens generated so far. */
  get readyTokens(): number {
    return this.ready;
  }

  /** Whether the prompt has been taken in. */
  get isDecoding(): boolean {
    return this.ready > 0;
  }

  /**
   * Sets who hears of the stream, and tells the state so far.
   * @param listener - The new listener.
   */
  setListener(listener: EngineStreamListener): void {
    this.listener = listener;
    if (this.ready > 0) listener.onTokens(this.ready);
    if (this.isEnded) listener.onEnd(this.getEnd());
  }

  /**
   * Removes a listener.
   * @param listener - The listener; a later one stays.
   */
  removeListener(listener: EngineStreamListener): void {
    if (this.listener === listener) this.listener = undefined;
  }

  /**
   * Sets the number of tokens generated so far.
   * @param readyTokens - The number; a lower one than before is ignored.
   */
  setReadyTokens(readyTokens: number): void {
    const ready = Math.min(readyTokens, this.request.outputTokens);
    if (ready <= this.ready) return;
    this.ready = ready;
    this.listener?.onTokens(ready);
  }

  /** Marks the answer as complete. */
  end(): void {
    this.isEnded = true;
    this.listener?.onEnd(this.getEnd());
  }

  private getEnd(): EngineEnd {
    return {
      kind: 'end',
      finishReason: this.request.finishReason,
      promptTokens: this.request.promptTokens,
      cachedTokens: this.cachedTokens,
      completionTokens: this.request.outputTokens,
    };
  }
}
