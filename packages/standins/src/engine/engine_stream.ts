/** State of one generation in the timing model. */
import type {EngineEnd} from '@marigoldpost/targets';
import type {
  EngineModelRequest,
  EngineStreamListener,
} from './engine_model_request.js';

/** Stream of one generation; the engine model updates it. */
export class EngineStream {
  /** Prompt tokens found in the prefix cache. */
  cachedTokens = 0;
  /** Prompt tokens that still need prefill. */
  prefillTokens = 0;
  /** Value of the engine's step counter at which the stream had 0 tokens. */
  decodeStart = 0;
  private ready = 0;
  private isEnded = false;

  private constructor(
    readonly request: EngineModelRequest,
    private listener: EngineStreamListener | undefined,
  ) {}

  /**
   * Creates a stream that has not been admitted.
   * @param request - Generation that the stream runs.
   * @param listener - Notified of tokens and of the end.
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

  /** Whether the prefill is complete. */
  get isDecoding(): boolean {
    return this.ready > 0;
  }

  /**
   * Replaces the listener and notifies it of the present state.
   * @param listener - Notified of tokens and of the end.
   */
  setListener(listener: EngineStreamListener): void {
    this.listener = listener;
    if (this.ready > 0) listener.onTokens(this.ready);
    if (this.isEnded) listener.onEnd(this.getEnd());
  }

  /**
   * Removes a listener. Has no effect if another one has replaced it.
   * @param listener - Listener to remove.
   */
  removeListener(listener: EngineStreamListener): void {
    if (this.listener === listener) this.listener = undefined;
  }

  /**
   * Sets the number of tokens generated so far, and notifies the listener if it
   * increased. The stream's output length limits it.
   * @param readyTokens - New number; ignored if it is not higher than before.
   */
  setReadyTokens(readyTokens: number): void {
    const ready = Math.min(readyTokens, this.request.outputTokens);
    if (ready <= this.ready) return;
    this.ready = ready;
    this.listener?.onTokens(ready);
  }

  /** Marks the answer as complete and notifies the listener. */
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
