/** Runs the calls of the partitions that are held here. */
import {
  type CallId,
  MarigoldpostError,
  type TargetId,
} from '@marigoldpost/common';
import type {
  Call,
  CallEvent,
  CallStream,
  CallTicket,
  CallTraits,
  ChatCall,
  ProgramManager,
  RecoveredCall,
} from '@marigoldpost/programs';
import type {OperatorsConfig, ServiceConfig} from '@marigoldpost/settings';
import {ChatRunner} from './chat_runner.js';
import {checkDependencies} from './dependency_check.js';
import {PlainRunner} from './plain_runner.js';
import type {RunnerContext} from './runner_context.js';

/** Context of the runs, and the operators' configuration. */
export interface CallRunnerOptions {
  readonly context: RunnerContext;
  /** Gets the operators' configuration; `undefined` until one is active. */
  readonly getConfig: () => OperatorsConfig | undefined;
}

/** A call that runs on this daemon. */
interface RunningCall {
  readonly ticket: CallTicket;
  /** Aborted when the last reader has left and the stream is not kept. */
  readonly abandoned: AbortController;
  readonly ended: Promise<void>;
}

/** Numbers of calls that run on this daemon. */
export interface CallCounts {
  /** Calls that have been sent to a target. */
  readonly inFlight: number;
  /** Calls that wait for their turn, for a limit or for a target. */
  readonly waiting: number;
}

/** Runs calls; any number of readers may read the events of each. */
export class CallRunner {
  private readonly chatRunner: ChatRunner;
  private readonly plainRunner: PlainRunner;
  private readonly readers = new Map<CallStream, number>();
  private readonly running = new Map<CallId, RunningCall>();

  private constructor(private readonly options: CallRunnerOptions) {
    this.chatRunner = ChatRunner.create(options.context);
    this.plainRunner = PlainRunner.create(options.context);
  }

  /**
   * Creates a runner.
   * @param options - Context of the runs, and the operators' configuration.
   */
  static create(options: CallRunnerOptions): CallRunner {
    return new CallRunner(options);
  }

  /** Number of calls that run on this daemon. */
  get size(): number {
    return this.running.size;
  }

  /**
   * Runs a call, or joins the run of a call with the same idempotency key. The
   * run continues when a reader disconnects, except a model engine's run whose
   * last reader disconnects and whose service does not keep abandoned streams.
   * @param programManager - Manager of the call's partition.
   * @param call - A call to a service of the operators' configuration.
   * @param signal - Aborted when the reader disconnects.
   */
  async *runCall(
    programManager: ProgramManager,
    call: Call,
    signal: AbortSignal,
  ): AsyncGenerator<CallEvent> {
    const service = this.getServiceOrThrow(call);
    const {registry} = this.options.context;
    checkDependencies(this.getConfigOrThrow(), service, registry);
    const traits = getCallTraits(service);
    const ticket = programManager.admitCall(call, traits);
    if (ticket.isOwner) this.start(ticket, traits);
    const offsetTokens = call.kind === 'chat' ? call.offsetTokens : 0;
    const stream = ticket.stream;
    this.readers.set(stream, (this.readers.get(stream) ?? 0) + 1);
    try {
      yield* stream.read(offsetTokens, signal);
    } finally {
      this.removeReader(stream, service);
    }
  }

  /**
   * Resumes the calls that a partition's former holder left in flight.
   * @param programManager - Manager of a partition that was just opened.
   */
  resumeRecovered(programManager: ProgramManager): void {
    for (const recovered of programManager.getRecoveredCalls()) {
      try {
        this.resume(programManager, recovered);
      } catch (error) {
        // The caller receives the error when it retries the call.
        this.logFailure(recovered.call, error);
      }
    }
  }

  /** Waits until no call runs on this daemon. */
  async waitUntilIdle(): Promise<void> {
    while (this.running.size > 0) {
      await Promise.all([...this.running.values()].map(({ended}) => ended));
    }
  }

  /**
   * Counts the running calls that fit a condition.
   * @param fits - Whether to count a call.
   */
  countCalls(fits: (call: Call) => boolean): CallCounts {
    const {registry} = this.options.context;
    const calls = [...this.running.values()].map(({ticket}) => ticket.call);
    const fitting = calls.filter(fits);
    const sent = fitting.filter(({callId}) => registry.hasWork(callId));
    return {inFlight: sent.length, waiting: fitting.length - sent.length};
  }

  private resume(
    programManager: ProgramManager,
    {call, traits, target}: RecoveredCall,
  ): void {
    const resumed = call.kind === 'chat' ? toResumed(call, target) : call;
    const ticket = programManager.admitCall(resumed, traits);
    if (ticket.isOwner) this.start(ticket, traits);
  }

  /** Stops a call without readers, unless its service keeps such streams. */
  private removeReader(stream: CallStream, service: ServiceConfig): void {
    const readers = (this.readers.get(stream) ?? 1) - 1;
    if (readers > 0) {
      this.readers.set(stream, readers);
      return;
    }
    this.readers.delete(stream);
    if (stream.isEnded || service.kind !== 'engine') return;
    if (service.keepsAbandonedStreams) return;
    const message = `every caller that read the stream of service "${service.id}" has disconnected`;
    const reason = MarigoldpostError.create('cancelled', message);
    for (const {ticket, abandoned} of this.running.values()) {
      if (ticket.stream === stream) abandoned.abort(reason);
    }
  }

  private start(ticket: CallTicket, traits: CallTraits): void {
    const {callId} = ticket.call;
    const abandoned = new AbortController();
    const ended = this.run(ticket, traits, abandoned.signal)
      .catch((error: unknown) => this.logFailure(ticket.call, error))
      .finally(() => this.running.delete(callId));
    this.running.set(callId, {ticket, abandoned, ended});
  }

  private run(
    ticket: CallTicket,
    traits: CallTraits,
    abandoned: AbortSignal,
  ): Promise<void> {
    const {call} = ticket;
    return call.kind === 'chat'
      ? this.chatRunner.run(ticket, call, abandoned)
      : this.plainRunner.run(ticket, call, traits);
  }

  /** Only logs; a failed ticket has already sent its readers the error. */
  private logFailure({team, service}: Call, error: unknown): void {
    const known = error instanceof MarigoldpostError ? error : undefined;
    this.options.context.logger.log('call_failed', {
      team,
      service,
      kind: known?.kind ?? 'internal',
      outcome: known?.outcome ?? 'unknown',
    });
  }

  private getServiceOrThrow(call: Call): ServiceConfig {
    const service = this.getConfigOrThrow().services.get(call.service);
    if (service !== undefined) return service;
    const message = `service "${call.service}" is not in the operators' configuration`;
    throw MarigoldpostError.create('unknown_service', message);
  }

  private getConfigOrThrow(): OperatorsConfig {
    const config = this.options.getConfig();
    if (config !== undefined) return config;
    const message =
      "the daemon has not received the operators' configuration yet";
    throw MarigoldpostError.create('platform_unavailable', message);
  }
}

function toResumed(call: ChatCall, resumeTarget: TargetId): ChatCall {
  return {...call, resumeTarget};
}

function getCallTraits(service: ServiceConfig): CallTraits {
  if (service.kind === 'engine') {
    return {isIdempotent: true, deduplicatesByKey: false};
  }
  const {isIdempotent, deduplicatesByKey} = service;
  return {isIdempotent, deduplicatesByKey};
}
