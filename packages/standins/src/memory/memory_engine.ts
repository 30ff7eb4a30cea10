/** In-memory model engine with fault injection. */
import type {
  Clock,
  ModelId,
  ProgramId,
  Random,
  TargetId,
} from '@marigoldpost/common';
import {isErrorOfKind, MarigoldpostError} from '@marigoldpost/common';
import {
  type CacheEvents,
  EngineClient,
  type EngineEvent,
  type EngineLoad,
  type EngineOrder,
  type EngineRequest,
} from '@marigoldpost/targets';
import {EngineModel, type EngineModelOptions} from '../engine/engine_model.js';
import {EngineFaults} from './engine_faults.js';
import {MemoryStream, type StreamRecord} from './memory_stream.js';
import {InFlightCalls} from './in_flight_calls.js';
import {
  createLost,
  createFailed,
  createUnreachable,
} from './target_fault_errors.js';

/** Identity, timing and fault behaviour of an in-memory engine. */
export interface MemoryEngineOptions {
  readonly target: TargetId;
  readonly clock: Clock;
  readonly random: Random;
  readonly models: readonly ModelId[];
  /** Timeout of a call, and between two events of a stream, in milliseconds. */
  readonly timeoutMs: number;
  /** Overrides of `defaultEngineModelOptions`. */
  readonly model?: Partial<EngineModelOptions>;
  /** Whether orders with an outdated fencing number are rejected. */
  readonly checksFencing?: boolean;
  /** Gets an answer's length in tokens; default: derived from a digest. */
  readonly getOutputTokens?: (request: EngineRequest) => number | undefined;
  /** Fetches a model's weights before it is loaded. */
  readonly fetchWeights?: (model: ModelId) => Promise<void>;
  /** Copies a program's blocks to the engine at an address. */
  readonly sendBlocks?: (
    targetAddress: string,
    program: ProgramId,
    blockHashes: readonly string[],
  ) => Promise<void>;
}

/** Engine around the timing model; it is its own client. */
export class MemoryEngine extends EngineClient {
  readonly faults = EngineFaults.create();
  private readonly inFlight: InFlightCalls;
  private readonly streams = new Map<string, MemoryStream>();
  private readonly records: MemoryStream[] = [];
  private readonly executedOrders: EngineOrder[] = [];
  private readonly releasedPrograms: ProgramId[] = [];
  private readonly deathListeners = new Set<() => void>();
  private engineModel: EngineModel;
  private newestFencingNumber = 0;
  private alive = true;

  private constructor(private readonly options: MemoryEngineOptions) {
    super();
    this.inFlight = InFlightCalls.create(options);
    this.engineModel = this.createModel();
  }

  /**
   * Creates a running engine.
   * @param options - Target, clock, models and behaviour.
   */
  static create(options: MemoryEngineOptions): MemoryEngine {
    return new MemoryEngine(options);
  }

  /** Timing model; each restart replaces it. */
  get model(): EngineModel {
    return this.engineModel;
  }

  /** Whether the simulated process is running. */
  get isAlive(): boolean {
    return this.alive;
  }

  /**
   * Kills the simulated process. Streams and calls in flight fail; the cache
   * and the loaded models are lost.
   */
  kill(): void {
    if (!this.alive) return;
    this.alive = false;
    this.engineModel.close();
    for (const stream of this.streams.values()) {
      stream.terminate();
    }
    this.streams.clear();
    this.inFlight.failAll();
    for (const listener of this.deathListeners) listener();
  }

  /** Restarts the process with an empty cache; no effect while it runs. */
  restart(): void {
    if (this.alive) return;
    this.engineModel = this.createModel();
    this.alive = true;
  }

  /**
   * Adds a listener for the end of the process.
   * @param listener - Called each time the process is killed or crashes.
   */
  addDeathListener(listener: () => void): void {
    this.deathListeners.add(listener);
  }

  /** Gets the records of all generations, also of those before a restart. */
  getStreams(): readonly StreamRecord[] {
    return this.records.map((stream) => stream.getRecord());
  }

  /** Gets the orders that were executed, in order. */
  getOrders(): readonly EngineOrder[] {
    return this.executedOrders;
  }

  /** Gets the programs whose cache was released, in order. */
  getReleasedPrograms(): readonly ProgramId[] {
    return this.releasedPrograms;
  }

  override async *generate(
    request: EngineRequest,
    signal: AbortSignal,
  ): AsyncIterable<EngineEvent> {
    const stream = await this.openStream(request, signal);
    const cutIndex = this.faults.consumeTruncationIndex();
    const {offsetTokens} = request;
    for (let index = offsetTokens; ; index++) {
      if (index === cutIndex) throw this.createTruncated(index > offsetTokens);
      const event = await this.waitForEvent(stream, index, signal);
      if (event === undefined) throw this.createTruncated(index > offsetTokens);
      yield event;
      if (event.kind === 'end') return;
    }
  }

  override cancelStream(streamId: string): Promise<void> {
    return this.runControlCall(() => {
      const stream = this.streams.get(streamId);
      if (stream === undefined || stream.isSettled) return;
      stream.isCancelled = true;
      this.engineModel.cancelStream(streamId);
      stream.terminate();
      this.streams.delete(streamId);
    });
  }

  override releaseProgram(program: ProgramId): Promise<void> {
    return this.runControlCall(() => {
      this.releasedPrograms.push(program);
      this.engineModel.releaseProgram(program);
    });
  }

  override getLoad(): Promise<EngineLoad> {
    return this.runControlCall(() => this.engineModel.getLoad());
  }

  override getCacheEvents(afterSequence: number): Promise<CacheEvents> {
    return this.runControlCall(() =>
      this.engineModel.getCacheEvents(afterSequence),
    );
  }

  override sendOrder(order: EngineOrder): Promise<void> {
    return this.runControlCall(async () => {
      this.checkFencing(order);
      if (order.kind === 'load_model') await this.loadModel(order.subject);
      if (order.kind === 'unload_model') this.unloadModel(order.subject);
      this.executedOrders.push(order);
    });
  }

  override copyProgramCache(
    program: ProgramId,
    targetAddress: string,
  ): Promise<void> {
    return this.runControlCall(async () => {
      const blockHashes = this.engineModel.exportProgram(program);
      await this.options.sendBlocks?.(targetAddress, program, blockHashes);
    });
  }

  /**
   * Stores a program's blocks that another engine computed, as many as fit.
   * @param program - Program whose cache is copied.
   * @param blockHashes - Chained hashes, first block first.
   */
  importProgram(program: ProgramId, blockHashes: readonly string[]): void {
    this.engineModel.importProgram(program, blockHashes);
  }

  private async openStream(
    request: EngineRequest,
    signal: AbortSignal,
  ): Promise<MemoryStream> {
    if (!this.alive) throw createUnreachable(this.options.target);
    if (this.faults.isHanging) await this.inFlight.waitFor(never(), signal);
    const stream = this.streams.get(request.streamId);
    if (stream !== undefined && this.resumeOnModel(stream)) return stream;
    if (request.isResumeOnly) throw this.createRejected('has no such stream');
    if (!this.engineModel.getModels().includes(request.model)) {
      throw this.createRejected(`has not loaded model "${request.model}"`);
    }
    return this.startStream(request);
  }

  /**
   * Resumes a stream if the engine still has it. The engine retains a complete
   * stream for `keepStreamMs`.
   */
  private resumeOnModel(stream: MemoryStream): boolean {
    const {streamId} = stream.request;
    return this.engineModel.resumeStream(streamId, stream);
  }

  private startStream(request: EngineRequest): MemoryStream {
    const outputTokens = this.options.getOutputTokens?.(request);
    const nowMs = this.options.clock.nowMs();
    const stream = MemoryStream.create(request, nowMs, outputTokens);
    this.streams.set(request.streamId, stream);
    this.records.push(stream);
    if (this.faults.crashesOn(request)) {
      this.kill();
      return stream;
    }
    if (stream.hasReachedMaxTokens) stream.endWithoutTokens();
    else this.startOnModel(stream);
    return stream;
  }

  private startOnModel(stream: MemoryStream): void {
    try {
      this.engineModel.startStream(stream.modelRequest, stream);
    } catch (error) {
      this.streams.delete(stream.request.streamId);
      if (!isErrorOfKind(error, 'too_large')) throw error;
      throw this.createRejected('has too few blocks for the stream');
    }
  }

  private async waitForEvent(
    stream: MemoryStream,
    index: number,
    signal: AbortSignal,
  ): Promise<EngineEvent | undefined> {
    for (;;) {
      const {isHanging} = this.faults;
      const event = isHanging ? undefined : stream.getEvent(index);
      if (event !== undefined) return event;
      if (stream.isTerminated) return undefined;
      const change = this.faults.isHanging
        ? this.faults.waitForHangingChange()
        : stream.waitForChange();
      await this.inFlight.waitFor(change, signal);
    }
  }

  private async runControlCall<Value>(
    action: () => Value | Promise<Value>,
  ): Promise<Value> {
    const {target} = this.options;
    if (!this.alive) throw createUnreachable(target);
    if (this.faults.isHanging) return this.inFlight.waitFor(never());
    const value = await this.inFlight.waitFor(Promise.resolve(action()));
    if (this.faults.consumeLostResponse()) throw createLost(target);
    return value;
  }

  private checkFencing({fencingNumber}: EngineOrder): void {
    if (!this.options.checksFencing) return;
    if (fencingNumber < this.newestFencingNumber) {
      const message = `engine "${this.options.target}" rejected an outdated fencing number`;
      throw MarigoldpostError.create('fenced', message);
    }
    this.newestFencingNumber = fencingNumber;
  }

  private async loadModel(subject: string): Promise<void> {
    const model = subject as ModelId;
    const engineModel = this.engineModel;
    try {
      await this.options.fetchWeights?.(model);
    } catch {
      throw this.createRejected(`could not fetch the weights of "${subject}"`);
    }
    const models = engineModel.getModels().filter((other) => other !== model);
    engineModel.setModels([...models, model]);
  }

  private unloadModel(subject: string): void {
    const models = this.engineModel.getModels();
    this.engineModel.setModels(models.filter((model) => model !== subject));
  }

  private createModel(): EngineModel {
    const {clock, random, models, model} = this.options;
    const options = {reportsEachToken: true, ...model, models};
    return EngineModel.create({clock, random, options});
  }

  /** Creates the error of a stream that stops before its `end` event. */
  private createTruncated(hasBegun: boolean): MarigoldpostError {
    const {target} = this.options;
    if (!hasBegun) return createLost(target);
    const message = `stream of engine "${target}" lost its connection`;
    return MarigoldpostError.create('stream_truncated', message);
  }

  private createRejected(what: string): MarigoldpostError {
    return createFailed(this.options.target, what, 'not_run');
  }
}

function never(): Promise<never> {
  return new Promise(() => {});
}
