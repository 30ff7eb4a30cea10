/** Model engine in memory, with switches for faults. */
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
import {PendingAnswers} from './pending_answers.js';
import {createCut, createFailed, createUnreached} from './target_faults.js';

/** Options of an engine. */
export interface MemoryEngineOptions {
  readonly target: TargetId;
  readonly clock: Clock;
  readonly random: Random;
  readonly models: readonly ModelId[];
  /** Longest silence that a client accepts, in milliseconds. */
  readonly timeoutMs: number;
  /** Speed, size and cache events. */
  readonly model?: Partial<EngineModelOptions>;
  /** Whether orders with an old fencing number are refused. */
  readonly checksFencing?: boolean;
  /** Gets the length of an answer; by default the prompt's digest decides. */
  readonly getOutputTokens?: (request: EngineRequest) => number | undefined;
  /** Fetches a model's weights before it is loaded. */
  readonly fetchWeights?: (model: ModelId) => Promise<void>;
  /** Hands a program's blocks to the engine at an address. */
  readonly sendBlocks?: (
    targetAddress: string,
    program: ProgramId,
    blockHashes: readonly string[],
  ) => Promise<void>;
}

/** Engine around the timing model; also its own client. */
export class MemoryEngine extends EngineClient {
  readonly faults = EngineFaults.create();
  private readonly pending: PendingAnswers;
  private readonly streams = new Map<string, MemoryStream>();
  private readonly records: MemoryStream[] = [];
  private readonly orders: EngineOrder[] = [];
  private readonly released: ProgramId[] = [];
  private readonly deathListeners = new Set<() => void>();
  private engineModel: EngineModel;
  private newestFencingNumber = 0;
  private alive = true;

  private constructor(private readonly options: MemoryEngineOptions) {
    super();
    this.pending = PendingAnswers.create(options);
    this.engineModel = this.createModel();
  }

  /**
   * Creates an engine that is up.
   * @param options - Target, clock, models and behaviour.
   */
  static create(options: MemoryEngineOptions): MemoryEngine {
    return new MemoryEngine(options);
  }

  /** The timing model of the present life. */
  get model(): EngineModel {
    return this.engineModel;
  }

  /** Whether the process runs. */
  get isAlive(): boolean {
    return this.alive;
  }

  /** Ends the process; streams are cut, cache and loaded models are lost. */
  kill(): void {
    if (!this.alive) return;
    this.alive = false;
    this.engineModel.close();
    for (const stream of this.streams.values()) {
      stream.setBroken();
    }
    this.streams.clear();
    this.pending.cutAll();
    for (const listener of this.deathListeners) listener();
  }

  /** Starts the process again, with an empty cache. */
  restart(): void {
    if (this.alive) return;
    this.engineModel = this.createModel();
    this.alive = true;
  }

  /**
   * Adds a listener for the process's death.
   * @param listener - Called at each death.
   */
  addDeathListener(listener: () => void): void {
    this.deathListeners.add(listener);
  }

  /** Gets what became of every generation, over all lives. */
  getStreams(): readonly StreamRecord[] {
    return this.records.map((stream) => stream.getRecord());
  }

  /** Gets the orders that were carried out. */
  getOrders(): readonly EngineOrder[] {
    return this.orders;
  }

  /** Gets the programs whose cache was released, in order. */
  getReleasedPrograms(): readonly ProgramId[] {
    return this.released;
  }

  override async *generate(
    request: EngineRequest,
    signal: AbortSignal,
  ): AsyncIterable<EngineEvent> {
    const stream = await this.openStream(request, signal);
    const cutIndex = this.faults.takeTruncation();
    const {offsetTokens} = request;
    for (let index = offsetTokens; ; index++) {
      if (index === cutIndex) throw this.createBroken(index > offsetTokens);
      const event = await this.waitForEvent(stream, index, signal);
      if (event === undefined) throw this.createBroken(index > offsetTokens);
      yield event;
      if (event.kind === 'end') return;
    }
  }

  override cancelStream(streamId: string): Promise<void> {
    return this.control(() => {
      const stream = this.streams.get(streamId);
      if (stream === undefined || stream.isSettled) return;
      stream.isCancelled = true;
      this.engineModel.cancelStream(streamId);
      stream.setBroken();
      this.streams.delete(streamId);
    });
  }

  override releaseProgram(program: ProgramId): Promise<void> {
    return this.control(() => {
      this.released.push(program);
      this.engineModel.releaseProgram(program);
    });
  }

  override getLoad(): Promise<EngineLoad> {
    return this.control(() => this.engineModel.getLoad());
  }

  override getCacheEvents(afterSequence: number): Promise<CacheEvents> {
    return this.control(() => this.engineModel.getCacheEvents(afterSequence));
  }

  override giveOrder(order: EngineOrder): Promise<void> {
    return this.control(async () => {
      this.checkFencing(order);
      if (order.kind === 'load_model') await this.loadModel(order.subject);
      if (order.kind === 'unload_model') this.unloadModel(order.subject);
      this.orders.push(order);
    });
  }

  override moveProgram(
    program: ProgramId,
    targetAddress: string,
  ): Promise<void> {
    return this.control(async () => {
      const blockHashes = this.engineModel.exportProgram(program);
      await this.options.sendBlocks?.(targetAddress, program, blockHashes);
    });
  }

  /**
   * Takes in a program's blocks from another engine.
   * @param program - The program.
   * @param blockHashes - First block first.
   */
  importProgram(program: ProgramId, blockHashes: readonly string[]): void {
    this.engineModel.importProgram(program, blockHashes);
  }

  private async openStream(
    request: EngineRequest,
    signal: AbortSignal,
  ): Promise<MemoryStream> {
    if (!this.alive) throw createUnreached(this.options.target);
    if (this.faults.isHanging) await this.pending.waitFor(never(), signal);
    const stream = this.streams.get(request.streamId);
    if (stream !== undefined && this.resume(stream)) return stream;
    if (request.isResumeOnly) throw this.createRefused('has no such stream');
    if (!this.engineModel.getModels().includes(request.model)) {
      throw this.createRefused(`has not loaded model "${request.model}"`);
    }
    return this.startStream(request);
  }

  /** Whether the engine still has a stream; a finished one is kept a while. */
  private resume(stream: MemoryStream): boolean {
    const {streamId} = stream.request;
    return this.engineModel.resumeStream(streamId, stream);
  }

  private startStream(request: EngineRequest): MemoryStream {
    const outputTokens = this.options.getOutputTokens?.(request);
    const nowMs = this.options.clock.nowMs();
    const stream = MemoryStream.create(request, nowMs, outputTokens);
    this.streams.set(request.streamId, stream);
    this.records.push(stream);
    if (this.faults.isCrash(request)) {
      this.kill();
      return stream;
    }
    if (stream.isFull) stream.endFull();
    else this.admit(stream);
    return stream;
  }

  private admit(stream: MemoryStream): void {
    try {
      this.engineModel.startStream(stream.modelRequest, stream);
    } catch (error) {
      this.streams.delete(stream.request.streamId);
      if (!isErrorOfKind(error, 'too_large')) throw error;
      throw this.createRefused('has too little memory for the stream');
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
      if (stream.isBroken) return undefined;
      const change = this.faults.isHanging
        ? this.faults.whenChanged()
        : stream.whenChanged();
      await this.pending.waitFor(change, signal);
    }
  }

  private async control<Value>(
    action: () => Value | Promise<Value>,
  ): Promise<Value> {
    const {target} = this.options;
    if (!this.alive) throw createUnreached(target);
    if (this.faults.isHanging) return this.pending.waitFor(never());
    const value = await this.pending.waitFor(Promise.resolve(action()));
    if (this.faults.takeLostAnswer()) throw createCut(target);
    return value;
  }

  private checkFencing({fencingNumber}: EngineOrder): void {
    if (!this.options.checksFencing) return;
    if (fencingNumber < this.newestFencingNumber) {
      const message = `engine "${this.options.target}" has seen a newer number`;
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
      throw this.createRefused(`could not fetch the weights of "${subject}"`);
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

  /** Creates the error of a stream that stops before its end. */
  private createBroken(hasBegun: boolean): MarigoldpostError {
    const {target} = this.options;
    if (!hasBegun) return createCut(target);
    const message = `a stream of engine "${target}" was cut off`;
    return MarigoldpostError.create('stream_truncated', message);
  }

  private createRefused(what: string): MarigoldpostError {
    return createFailed(this.options.target, what, 'not_run');
  }
}

function never(): Promise<never> {
  return new Promise(() => {});
}
