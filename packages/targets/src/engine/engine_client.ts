/** Interface to a model engine. */
import type {ModelId, ProgramId} from '@marigoldpost/common';

/** One message of a chat prompt. */
export interface ChatMessage {
  readonly role: 'system' | 'user' | 'assistant' | 'tool';
  readonly content: string;
}

/** A generation to start or to resume. */
export interface EngineRequest {
  /** Id of the stream; the same id always identifies the same generation. */
  readonly streamId: string;
  readonly model: ModelId;
  /** Program that the engine accounts the cache to, for its release. */
  readonly program: ProgramId;
  readonly messages: readonly ChatMessage[];
  readonly maxTokens: number;
  /** Number of tokens already received; the engine sends only later ones. */
  readonly offsetTokens: number;
  /**
   * Tokens of the answer that another engine generated before it failed. The
   * generation continues after them; token indexes include them.
   */
  readonly answerPrefix?: readonly string[];
  /** Resumes an existing stream only; `target_failed` if it does not exist. */
  readonly isResumeOnly: boolean;
}

/** One generated token. */
export interface EngineToken {
  readonly kind: 'token';
  /** Zero-based position in the answer. */
  readonly index: number;
  readonly text: string;
}

/** Last event of a complete answer. */
export interface EngineEnd {
  readonly kind: 'end';
  readonly finishReason: 'stop' | 'length';
  readonly promptTokens: number;
  /** Prompt tokens found in the prefix cache. */
  readonly cachedTokens: number;
  readonly completionTokens: number;
}

/** An event of a stream, discriminated by `kind`. */
export type EngineEvent = EngineToken | EngineEnd;

/** Load report of an engine; it lags behind the actual load. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
  readonly usedBlocks: number;
  readonly totalBlocks: number;
  readonly models: readonly ModelId[];
}

/** Storage or removal of cache blocks; engines never report reuse. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'removed' | 'cleared';
  readonly blockHashes: readonly string[];
}

/** Page of cache events after a sequence number. */
export interface CacheEvents {
  readonly events: readonly CacheEvent[];
  /** Oldest sequence number that the engine still retains. */
  readonly floorSequence: number;
}

/** Administrative order to an engine, with its fencing number. */
export interface EngineOrder {
  readonly kind: 'load_model' | 'unload_model' | 'set_role';
  readonly subject: string;
  /** Engines that check it reject a number lower than one already received. */
  readonly fencingNumber: number;
}

/**
 * Client of one model engine. Errors are `target_failed`, `target_timeout`,
 * `stream_truncated` and, for an order, `fenced`.
 */
export abstract class EngineClient {
  /**
   * Starts or resumes a stream. The iterable completes after an `end` event and
   * throws `stream_truncated` if the stream stops without one.
   * @param request - Generation to start or resume.
   * @param signal - Stops reading; the engine continues until cancelled.
   */
  abstract generate(
    request: EngineRequest,
    signal: AbortSignal,
  ): AsyncIterable<EngineEvent>;

  /**
   * Cancels a stream; has no effect on an unknown one.
   * @param streamId - Id that the stream was started with.
   */
  abstract cancelStream(streamId: string): Promise<void>;

  /**
   * Frees cache blocks that only this program's prefixes use; idempotent.
   * @param program - Program that no longer needs its cache.
   */
  abstract releaseProgram(program: ProgramId): Promise<void>;

  /** Gets the engine's latest load report. */
  abstract getLoad(): Promise<EngineLoad>;

  /**
   * Gets the retained cache events after a sequence number.
   * @param afterSequence - Last sequence number already read; 0 for none.
   */
  abstract getCacheEvents(afterSequence: number): Promise<CacheEvents>;

  /**
   * Sends an order. Throws `fenced` if its fencing number is outdated.
   * @param order - Order with its fencing number.
   */
  abstract sendOrder(order: EngineOrder): Promise<void>;

  /**
   * Makes the engine copy a program's cache blocks to another engine.
   * @param program - Program whose blocks are copied.
   * @param targetAddress - `http://<ip>:<port>` of the other engine.
   */
  abstract copyProgramCache(
    program: ProgramId,
    targetAddress: string,
  ): Promise<void>;
}
