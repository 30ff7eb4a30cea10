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
  ProgramKeeper,
  RecoveredCall,
} from '@marigoldpost/programs';
import type {OperatorsConfig, ServiceConfig} from '@marigoldpost/settings';
import {ChatRunner} from './chat_runner.js';
import {checkDependencies} from './dependency_check.js';
import {PlainRunner} from './plain_runner.js';
import type {RunnerContext} from './runner_context.js';

/** Options of a call runner. */
export interface CallRunnerOptions {
  readonly context: RunnerContext;
  /** Gets the text in force; nothing until one is known. */
  readonly getConfig: () => OperatorsConfig | undefined;
}

/** A call under way. */
interface RunningCall {
  readonly ticket: CallTicket;
  /** Aborted when no reader is left and none may come back. */
  readonly abandoned: AbortController;
  readonly ended: Promise<void>;
}

/** Numbers of calls under way. */
export interface CallCounts {
  /** Calls that a target runs. */
  readonly inFlight: number;
  /** Calls that wait for their turn, a limit or a target. */
  readonly waiting: number;
}

/** Runs calls and lets any number of readers follow each. */
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
   * @param options - Parts of the daemon and the text in force.
   */
  static create(options: CallRunnerOptions): CallRunner {
    return new CallRunner(options);
  }

  /** Number of calls under way. */
  get size(): number {
    return this.running.size;
  }

  /**
   * Runs a call, or joins the one that runs under the same key. The run goes on
   * when its reader leaves.
   * @param keeper - Keeper of the call's partition.
   * @param call - The call.
   * @param signal - The reader leaves.
   */
  async *runCall(
    keeper: ProgramKeeper,
    call: Call,
    signal: AbortSignal,
  ): AsyncGenerator<CallEvent> {
    const service = this.getServiceOrThrow(call);
    const {registry} = this.options.context;
    checkDependencies(this.getConfigOrThrow(), service, registry);
    const traits = getCallTraits(service);
    const ticket = keeper.admitCall(call, traits);
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
   * Goes on with the calls that a partition's former holder left under way.
   * @param keeper - Keeper of a partition that was just opened.
   */
  resumeRecovered(keeper: ProgramKeeper): void {
    for (const recovered of keeper.getRecoveredCalls()) {
      try {
        this.resume(keeper, recovered);
      } catch (error) {
        // A call that can no longer run tells its caller when it is sent again.
        this.logFailure(recovered.call, error);
      }
    }
  }

  /** Waits until no call is under way. */
  async waitUntilIdle(): Promise<void> {
    while (this.running.size > 0) {
      await Promise.all([...this.running.values()].map(({ended}) => ended));
    }
  }

  /**
   * Counts the calls under way that fit a condition.
   * @param fits - The condition.
   */
  countCalls(fits: (call: Call) => boolean): CallCounts {
    const {registry} = this.options.context;
    const calls = [...this.running.values()].map(({ticket}) => ticket.call);
    const fitting = calls.filter(fits);
    const sent = fitting.filter(({callId}) => registry.hasWork(callId));
    return {inFlight: sent.length, waiting: fitting.length - sent.length};
  }

  private resume(
    keeper: ProgramKeeper,
    {call, traits, target}: RecoveredCall,
  ): void {
    const resumed = call.kind === 'chat' ? toResumed(call, target) : call;
    const ticket = keeper.admitCall(resumed, traits);
    if (ticket.isOwner) this.start(ticket, traits);
  }

  /** Stops a call whose last reader left, where the text says so. */
  private removeReader(stream: CallStream, service: ServiceConfig): void {
    const readers = (this.readers.get(stream) ?? 1) - 1;
    if (readers > 0) {
      this.readers.set(stream, readers);
      return;
    }
    this.readers.delete(stream);
    if (stream.isEnded || service.kind !== 'engine') return;
    if (service.keepsAbandonedStreams) return;
    const message = `no caller of service "${service.id}" reads the answer any more`;
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

  /** A ticket that fails by itself has already told its readers why. */
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
    const message = `service "${call.service}" is not in the operators' text`;
    throw MarigoldpostError.create('unknown_service', message);
  }

  private getConfigOrThrow(): OperatorsConfig {
    const config = this.options.getConfig();
    if (config !== undefined) return config;
    const message = "no operators' text is in force on this daemon yet";
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
