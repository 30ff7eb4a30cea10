/**
 * Timing model of a model engine: continuous batching with chunked prefill,
 * first-come-first-served admission and a prefix cache. Decoding is a fluid
 * model: all decoding streams generate tokens at the same rate.
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
import {DelayedLoad} from './delayed_load.js';

/** Speed, capacity and report delays of an engine. */
export interface EngineModelOptions extends CacheEventLogOptions {
  readonly models: readonly ModelId[];
  /** Memory for the blocks of cached and running streams, in blocks. */
  readonly totalBlocks: number;
  /** Maximum number of streams that run concurrently. */
  readonly maxRunning: number;
  readonly prefillMsPerToken: number;
  /** Prompt tokens that one step processes. */
  readonly prefillChunkTokens: number;
  /** Duration of a decoding step with an empty batch, in milliseconds. */
  readonly stepBaseMs: number;
  /** Additional duration of a step per decoding stream, in milliseconds. */
  readonly stepPerStreamMs: number;
  /** Age of the reported load, in milliseconds. */
  readonly loadLagMs: number;
  /** Retention of a complete stream for readers, in milliseconds. */
  readonly keepStreamMs: number;
  /**
   * Whether listeners are notified of each step's tokens. Otherwise they are
   * notified of the first token and of the last only.
   */
  readonly reportsEachToken: boolean;
}

/** Default options: an engine of medium size without event loss. */
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

/** Dependencies and options of an engine model. */
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

/** Simulated model engine on a clock, without sockets. */
export class EngineModel {
  private readonly log: CacheEventLog;
  private readonly cache: BlockCache;
  private readonly load: DelayedLoad;
  private readonly streams = new Map<string, EngineStream>();
  private readonly waiting: EngineStream[] = [];
  private readonly prefilling: EngineStream[] = [];
  private readonly decoding = new Set<EngineStream>();
  private readonly ended: EndedStream[] = [];
  private models: readonly ModelId[];
  /** Decoding steps so far; each adds one token to every decoding stream. */
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
    this.load = DelayedLoad.create(clock, options.loadLagMs, this.createLoad());
  }

  /**
   * Creates an idle engine.
   * @param parts - Clock, random source, and overrides of
   *     `defaultEngineModelOptions`.
   */
  static create({clock, random, options}: EngineModelParts): EngineModel {
    const merged = {...defaultEngineModelOptions, ...options};
    return new EngineModel(clock, random, merged);
  }

  /**
   * Starts a stream, or resumes the stream with the same id. Throws `too_large`
   * if the stream needs more blocks than the engine has.
   * @param request - Generation to start; ignored if the stream exists.
   * @param listener - Replaces the current listener of the stream.
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
   * Sets the listener of an existing stream. Returns `false` if there is no
   * such stream.
   * @param streamId - Id that the stream was started with.
   * @param listener - Notified at once of the tokens generated so far.
   */
  resumeStream(streamId: string, listener: EngineStreamListener): boolean {
    const stream = this.streams.get(streamId);
    if (stream === undefined) return false;
    stream.setListener(listener);
    return true;
  }

  /**
   * Removes a stream's listener; the stream continues. Has no effect if another
   * listener has replaced it.
   * @param streamId - Id that the stream was started with.
   * @param listener - Listener to remove.
   */
  removeListener(streamId: string, listener: EngineStreamListener): void {
    this.streams.get(streamId)?.removeListener(listener);
  }

  /**
   * Cancels a stream; has no effect on an unknown one.
   * @param streamId - Id that the stream was started with.
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
   * Frees idle cache blocks that only this program's prefixes use.
   * @param program - Program that no longer needs its cache.
   */
  releaseProgram(program: ProgramId): void {
    this.cache.removeProgram(program);
    this.update();
  }

  /**
   * Gets the block hashes of a program, for another engine to import.
   * @param program - Program whose cache is copied.
   */
  exportProgram(program: ProgramId): readonly string[] {
    return this.cache.getBlocksOfProgram(program);
  }

  /**
   * Stores as many of a program's blocks from another engine as fit.
   * @param program - Program whose cache is copied.
   * @param blockHashes - Chained hashes, first block first.
   */
  importProgram(program: ProgramId, blockHashes: readonly string[]): void {
    this.cache.importBlocks(program, blockHashes);
    this.update();
  }

  /** Removes every idle block from the cache. */
  clearCache(): void {
    this.cache.clear();
    this.update();
  }

  /**
   * Counts the leading blocks that are cached at this moment.
   * @param hashes - Chained hashes, first block first.
   */
  countCachedBlocks(hashes: readonly string[]): number {
    return this.cache.countCached(hashes);
  }

  /** Gets the load as clients see it: delayed by `loadLagMs`. */
  getLoad(): EngineLoad {
    return this.load.getLoad();
  }

  /** Gets the actual load, which clients cannot see. */
  getCurrentLoad(): EngineLoad {
    return this.createLoad();
  }

  /**
   * Gets the cache events that clients can see now.
   * @param afterSequence - Sequence number of the last event already read.
   */
  getCacheEvents(afterSequence: number): CacheEvents {
    return this.log.getEvents(afterSequence);
  }

  /** Gets the usage of the cache memory so far. */
  getCacheAccount(): CacheAccount {
    return this.cache.getAccount();
  }

  /**
   * Limits the cache account to an interval.
   * @param startMs - Start of the interval, as given by the clock.
   * @param endMs - End of the interval, as given by the clock.
   */
  setAccountSpan(startMs: number, endMs: number): void {
    this.cache.setAccountSpan(startMs, endMs);
  }

  /** Gets the loaded models. */
  getModels(): readonly ModelId[] {
    return this.models;
  }

  /**
   * Replaces the set of loaded models.
   * @param models - All models that are loaded from now on.
   */
  setModels(models: readonly ModelId[]): void {
    this.models = models;
    this.update();
  }

  /** Cancels the engine's timer; streams make no further progress. */
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
      `${need} but the engine has ${totalBlocks}`,
    );
  }

  /**
   * Advances the state to the present and sets the timer for the next change.
   */
  private update(): void {
    this.advance();
    this.admitWaiting();
    this.removeOldStreams();
    this.load.setLoad(this.createLoad());
    this.timer?.cancel();
    const delayMs = this.getNextChangeMs();
    this.timer =
      delayMs === undefined
        ? undefined
        : this.clock.setTimer(delayMs, () => this.update());
  }

  /** Advances prefill and decoding to the present. */
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
    this.completePrefill();
  }

  private completePrefill(): void {
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
      if (!this.tryAdmit(next)) return;
      this.waiting.shift();
    }
  }

  private tryAdmit(stream: EngineStream): boolean {
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

  /** Unpins a stream's blocks and removes those that were not filled. */
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

  private createLoad(): EngineLoad {
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
