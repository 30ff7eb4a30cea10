/** A model engine as the project uses it. */
import type {ModelId, ProgramId} from '@marigoldpost/common';

/** One message of a chat. */
export interface ChatMessage {
  readonly role: 'system' | 'user' | 'assistant' | 'tool';
  readonly content: string;
}

/** A generation to start, or to pick up again. */
export interface EngineRequest {
  /** Names the stream; the same id always means the same generation. */
  readonly streamId: string;
  readonly model: ModelId;
  /** Names the program, so that its cache can be released. */
  readonly program: ProgramId;
  readonly messages: readonly ChatMessage[];
  readonly maxTokens: number;
  /** Tokens already received; only later ones are sent. */
  readonly offsetTokens: number;
  /**
   * Start of the answer that another engine generated before it failed; the
   * generation goes on behind it, and token indexes count from its start.
   */
  readonly answerPrefix?: readonly string[];
  /** Only picks up a stream that exists; `target_failed` when it does not. */
  readonly isResumeOnly: boolean;
}

/** One generated token. */
export interface EngineToken {
  readonly kind: 'token';
  /** Position in the answer, from 0. */
  readonly index: number;
  readonly text: string;
}

/** End of a complete answer. */
export interface EngineEnd {
  readonly kind: 'end';
  readonly finishReason: 'stop' | 'length';
  readonly promptTokens: number;
  /** Prompt tokens found in the prefix cache. */
  readonly cachedTokens: number;
  readonly completionTokens: number;
}

/** What an engine sends on a stream. */
export type EngineEvent = EngineToken | EngineEnd;

/** Load as an engine reports it, with a lag. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
  readonly usedBlocks: number;
  readonly totalBlocks: number;
  readonly models: readonly ModelId[];
}

/** Birth or death of cached blocks; a reuse is never reported. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'removed' | 'cleared';
  readonly blockHashes: readonly string[];
}

/** Cache events after a sequence number. */
export interface CacheEvents {
  readonly events: readonly CacheEvent[];
  /** Oldest sequence number that can still be read. */
  readonly floorSequence: number;
}

/** An order to an engine. */
export interface EngineOrder {
  readonly kind: 'load_model' | 'unload_model' | 'set_role';
  readonly subject: string;
  /** Engines that check refuse an order with a number lower than one seen. */
  readonly fencingNumber: number;
}

/**
 * Client of one model engine. Errors are `target_failed`, `target_timeout`,
 * `stream_truncated` and, for an order, `fenced`.
 */
export abstract class EngineClient {
  /**
   * Starts or resumes a stream. The iterable ends after an `end` event, and
   * throws `stream_truncated` when the stream stops without one.
   * @param request - The generation.
   * @param signal - Stops reading; the engine goes on until cancelled.
   */
  abstract generate(
    request: EngineRequest,
    signal: AbortSignal,
  ): AsyncIterable<EngineEvent>;

  /**
   * Cancels a stream; an unknown one is left alone.
   * @param streamId - Its id.
   */
  abstract cancelStream(streamId: string): Promise<void>;

  /**
   * Frees cache that only this program's prefixes hold; idempotent.
   * @param program - The program.
   */
  abstract releaseProgram(program: ProgramId): Promise<void>;

  /** Gets the engine's load. */
  abstract getLoad(): Promise<EngineLoad>;

  /**
   * Gets cache events.
   * @param afterSequence - Events after this one are returned.
   */
  abstract getCacheEvents(afterSequence: number): Promise<CacheEvents>;

  /**
   * Gives an order.
   * @param order - The order.
   */
  abstract giveOrder(order: EngineOrder): Promise<void>;

  /**
   * Copies a program's cache to another engine.
   * @param program - The program.
   * @param targetAddress - `http://<ip>:<port>` of the other engine.
   */
  abstract moveProgram(
    program: ProgramId,
    targetAddress: string,
  ): Promise<void>;
}
