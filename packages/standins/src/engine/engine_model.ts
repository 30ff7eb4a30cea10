/**
 * Timing model of a model engine: continuous batching with chunked prefill,
 * admission in order of arrival and a prefix cache. Decoding is modelled as a
 * fluid: every running stream gains tokens at one common rate.
 */
import {
  type Clock,
  MarigoldpostError,
  type ModelId,
  type ProgramId,
  type Random,
  type Timer,
} from '@marigoldpost/common';
import {blockTokens} from '@marigoldpost/scheduler';
import type {CacheEvents, EngineLoad} from '@marigoldpost/targets';
import {BlockCache, type CacheAccount} from './block_cache.js';
import {CacheEventLog, type CacheEventLogOptions} from './cache_event_log.js';
import type {
  EngineModelRequest,
  EngineStreamListener,
} from './engine_model_request.js';
import {EngineStream} from './engine_stream.js';
import {LaggingLoad} from './lagging_load.js';

/** Speed and size of an engine, and its faults. */
export interface EngineModelOptions extends CacheEventLogOptions {
  readonly models: readonly ModelId[];
  /** Memory for cached and running prefixes, in blocks. */
  readonly totalBlocks: number;
  /** Most streams that run at once. */
  readonly maxRunning: number;
  readonly prefillMsPerToken: number;
  /** Prompt tokens that one step takes in. */
  readonly prefillChunkTokens: number;
  /** Time of a decoding step for an empty batch, in milliseconds. */
  readonly stepBaseMs: number;
  /** Further time of a step for each running stream, in milliseconds. */
  readonly stepPerStreamMs: number;
  /** Age of the load that readers see, in milliseconds. */
  readonly loadLagMs: number;
  /** How long a complete answer can be read again, in milliseconds. */
  readonly keepStreamMs: number;
  /** Tells listeners of each step's tokens, not only of the first and last. */
  readonly reportsEachToken: boolean;
}

/** Options of a middling engine. */
export const defaultEngineModelOptions: EngineModelOptions = {
  models: [],
  totalBlocks: 2_000,
  maxRunning: 16,
  prefillMsPerToken: 0.12,
  prefillChunkTokens: 512,
  stepBaseMs: 12,
  stepPerStreamMs: 0.6,
  loadLagMs: 1_000,
  keepStreamMs: 60_000,
  reportsEachToken: false,
  eventLagMs: 500,
  eventGapRate: 0,
  maxEvents: 10_000,
};

/** What an engine model needs. */
export interface EngineModelParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly options?: Partial<EngineModelOptions>;
}

interface EndedStream {
  readonly stream: EngineStream;
  readonly endedAtMs: number;
}

const toleranceTokens = 1e-6;

/** A model engine without its sockets. */
export class EngineModel {
  private readonly log: CacheEventLog;
  private readonly cache: BlockCache;
  private readonly load: LaggingLoad;
  private readonly streams = new Map<string, EngineStream>();
  private readonly waiting: EngineStream[] = [];
  private readonly prefilling: EngineStream[] = [];
  private readonly decoding = new Set<EngineStream>();
  private readonly ended: EndedStream[] = [];
  private models: readonly ModelId[];
  /** Tokens that a stream running since the start would have generated. */
  private decodedTokens = 0;
  private updatedAtMs: number;
  private timer: Timer | undefined;

  private constructor(
    private readonly clock: Clock,
    random: Random,
    private readonly options: EngineModelOptions,
  ) {
    this.models = options.models;
    this.updatedAtMs = clock.nowMs();
    this.log = CacheEventLog.create(clock, random, options);
    this.cache = BlockCache.create(clock, this.log, options.totalBlocks);
    this.load = LaggingLoad.create(clock, options.loadLagMs, this.readLoad());
  }

  /**
   * Creates an idle engine.
   * @param parts - Clock, random source, and options that differ from
   *     `defaultEngineModelOptions`.
   */
  static create({clock, random, options}: EngineModelParts): EngineModel {
    const merged = {...defaultEngineModelOptions, ...options};
    return new EngineModel(clock, random, merged);
  }

  /**
   * Starts a stream, or listens to the one that has the same id; throws
   * `too_large` when the stream can never fit.
   * @param request - The generation; ignored when the stream exists.
   * @param listener - Replaces an earlier listener of the stream.
   */
  startStream(
    request: EngineModelRequest,
    listener: EngineStreamListener,
  ): void {
    if (this.resumeStream(request.streamId, listener)) return;
    this.checkSize(request);
    const stream = EngineStream.create(request, listener);
    this.streams.set(request.streamId, stream);
    this.waiting.push(stream);
    this.update();
  }

  /**
   * Listens to a stream that exists; false when there is none.
   * @param streamId - Its id.
   * @param listener - Hears at once of the tokens that are ready.
   */
  resumeStream(streamId: string, listener: EngineStreamListener): boolean {
    const stream = this.streams.get(streamId);
    if (stream === undefined) return false;
    stream.setListener(listener);
    return true;
  }

  /**
   * Stops telling a stream's listener; the stream goes on.
   * @param streamId - Its id.
   * @param listener - The listener; a later one stays.
   */
  removeListener(streamId: string, listener: EngineStreamListener): void {
    this.streams.get(streamId)?.removeListener(listener);
  }

  /**
   * Cancels a stream; an unknown one is left alone.
   * @param streamId - Its id.
   */
  cancelStream(streamId: string): void {
    const stream = this.streams.get(streamId);
    if (stream === undefined) return;
    this.advance();
    this.streams.delete(streamId);
    removeItem(this.waiting, stream);
    const wasPrefilling = removeItem(this.prefilling, stream);
    if (wasPrefilling || this.decoding.delete(stream)) this.unpin(stream);
    this.update();
  }

  /**
   * Frees idle cache that only this program's prefixes hold.
   * @param program - The program.
   */
  releaseProgram(program: ProgramId): void {
    this.cache.removeProgram(program);
    this.update();
  }

  /**
   * Gets the blocks of a program, for another engine to import.
   * @param program - The program.
   */
  exportProgram(program: ProgramId): readonly string[] {
    return this.cache.getBlocksOfProgram(program);
  }

  /**
   * Takes in a program's blocks from another engine, as many as fit.
   * @param program - The program.
   * @param blockHashes - First block first.
   */
  importProgram(program: ProgramId, blockHashes: readonly string[]): void {
    this.cache.importBlocks(program, blockHashes);
    this.update();
  }

  /** Removes every idle block. */
  clearCache(): void {
    this.cache.clear();
    this.update();
  }

  /**
   * Gets how many leading blocks are cached at this moment.
   * @param hashes - Chained hashes, first block first.
   */
  countCachedBlocks(hashes: readonly string[]): number {
    return this.cache.countCached(hashes);
  }

  /** Gets the load as it was one lag ago. */
  getLoad(): EngineLoad {
    return this.load.getLoad();
  }

  /** Gets the load of this moment, which no client can see. */
  getCurrentLoad(): EngineLoad {
    return this.readLoad();
  }

  /**
   * Gets cache events.
   * @param afterSequence - Events after this one are returned.
   */
  getCacheEvents(afterSequence: number): CacheEvents {
    return this.log.getEvents(afterSequence);
  }

  /** Gets the use of the memory up to now. */
  getCacheAccount(): CacheAccount {
    return this.cache.getAccount();
  }

  /**
   * Limits the cache account to a span of time.
   * @param startMs - Start, on the clock.
   * @param endMs - End, on the clock.
   */
  setAccountSpan(startMs: number, endMs: number): void {
    this.cache.setAccountSpan(startMs, endMs);
  }

  /** Gets the loaded models. */
  getModels(): readonly ModelId[] {
    return this.models;
  }

  /**
   * Replaces the loaded models.
   * @param models - The models.
   */
  setModels(models: readonly ModelId[]): void {
    this.models = models;
    this.update();
  }

  /** Stops the engine's timer; streams make no further progress. */
  close(): void {
    this.timer?.cancel();
    this.timer = undefined;
  }

  private checkSize({streamId, blockHashes}: EngineModelRequest): void {
    const {totalBlocks} = this.options;
    if (blockHashes.length <= totalBlocks) return;
    const need = `stream "${streamId}" needs ${blockHashes.length} blocks`;
    throw MarigoldpostError.create(
      'too_large',
      `${need} of an engine that has ${totalBlocks}`,
    );
  }

  /** Brings the state up to now, then sets the timer for the next change. */
  private update(): void {
    this.advance();
    this.admitWaiting();
    this.removeOldStreams();
    this.load.setLoad(this.readLoad());
    this.timer?.cancel();
    const delayMs = this.getNextChangeMs();
    this.timer =
      delayMs === undefined
        ? undefined
        : this.clock.setTimer(delayMs, () => this.update());
  }

  /** Moves prefill and decoding on to the present moment. */
  private advance(): void {
    const nowMs = this.clock.nowMs();
    const steps = (nowMs - this.updatedAtMs) / this.getStepMs();
    this.updatedAtMs = nowMs;
    const head = this.prefilling[0];
    if (head !== undefined) {
      head.prefillTokens -= steps * this.options.prefillChunkTokens;
    }
    this.decodedTokens += steps;
    this.reportTokens();
    this.endPrefill();
  }

  private endPrefill(): void {
    const head = this.prefilling[0];
    if (head === undefined || head.prefillTokens > toleranceTokens) return;
    this.prefilling.shift();
    // The last prefill step yields the first token.
    head.decodeStart = this.decodedTokens - 1;
    this.decoding.add(head);
    head.setReadyTokens(1);
    if (head.request.outputTokens <= 1) this.endStream(head);
  }

  private reportTokens(): void {
    for (const stream of this.decoding) {
      const ready = Math.floor(
        this.decodedTokens - stream.decodeStart + toleranceTokens,
      );
      const isDone = ready >= stream.request.outputTokens;
      if (isDone || this.options.reportsEachToken) stream.setReadyTokens(ready);
      if (isDone) this.endStream(stream);
    }
  }

  private endStream(stream: EngineStream): void {
    this.decoding.delete(stream);
    this.unpin(stream);
    this.ended.push({stream, endedAtMs: this.clock.nowMs()});
    stream.end();
  }

  private removeOldStreams(): void {
    const oldestMs = this.clock.nowMs() - this.options.keepStreamMs;
    for (;;) {
      const first = this.ended[0];
      if (first === undefined || first.endedAtMs > oldestMs) return;
      this.ended.shift();
      this.removeStream(first.stream);
    }
  }

  private removeStream(stream: EngineStream): void {
    const {streamId} = stream.request;
    if (this.streams.get(streamId) === stream) this.streams.delete(streamId);
  }

  private admitWaiting(): void {
    for (;;) {
      const running = this.prefilling.length + this.decoding.size;
      const next = this.waiting[0];
      if (next === undefined || running >= this.options.maxRunning) return;
      if (!this.admit(next)) return;
      this.waiting.shift();
    }
  }

  private admit(stream: EngineStream): boolean {
    const {blockHashes, promptTokens, program} = stream.request;
    const promptBlocks = Math.floor(promptTokens / blockTokens);
    const prompt = blockHashes.slice(0, promptBlocks);
    const cachedTokens = this.cache.countCached(prompt) * blockTokens;
    if (!this.cache.addPins(program, blockHashes)) return false;
    stream.cachedTokens = Math.min(cachedTokens, promptTokens - 1);
    stream.prefillTokens = promptTokens - stream.cachedTokens;
    this.prefilling.push(stream);
    return true;
  }

  /** Unpins a stream's blocks; those that were never filled go. */
  private unpin(stream: EngineStream): void {
    const {blockHashes, promptTokens} = stream.request;
    this.cache.removePins(blockHashes);
    const done = stream.isDecoding
      ? promptTokens + stream.readyTokens
      : promptTokens - Math.max(0, stream.prefillTokens);
    const filled = Math.floor(done / blockTokens);
    this.cache.removeUnfilled(blockHashes.slice(filled));
  }

  private getStepMs(): number {
    const {stepBaseMs, stepPerStreamMs} = this.options;
    const decodeMs = stepBaseMs + stepPerStreamMs * this.decoding.size;
    if (this.prefilling.length === 0) return decodeMs;
    const {prefillChunkTokens, prefillMsPerToken} = this.options;
    return decodeMs + prefillChunkTokens * prefillMsPerToken;
  }

  private getNextChangeMs(): number | undefined {
    let steps = Infinity;
    const head = this.prefilling[0];
    if (head !== undefined) {
      steps = Math.max(0, head.prefillTokens) / this.options.prefillChunkTokens;
    }
    for (const stream of this.decoding) {
      const end = stream.decodeStart + stream.request.outputTokens;
      steps = Math.min(steps, end - this.decodedTokens);
    }
    if (this.options.reportsEachToken && this.decoding.size > 0) {
      steps = Math.min(steps, 1);
    }
    return steps === Infinity
      ? undefined
      : Math.max(0, steps) * this.getStepMs();
  }

  private readLoad(): EngineLoad {
    return {
      running: this.prefilling.length + this.decoding.size,
      waiting: this.waiting.length,
      usedBlocks: this.cache.usedBlocks,
      totalBlocks: this.options.totalBlocks,
      models: this.models,
    };
  }
}

function removeItem<Item>(items: Item[], item: Item): boolean {
  const index = items.indexOf(item);
  if (index < 0) return false;
  items.splice(index, 1);
  return true;
}
