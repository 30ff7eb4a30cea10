/** Ticket through which a call runs. */
import {
  Deferred,
  isErrorOfKind,
  MarigoldpostError,
  toMarigoldpostError,
  type CallId,
  type Clock,
  type ProgramId,
  type TargetId,
} from '@marigoldpost/common';
import type {Call, CallAnswer} from '../calls/call.js';
import {
  toFailureReason,
  type FailureReason,
} from '../records/program_record.js';
import {
  isRepeatable,
  type CallState,
  type ProgramState,
} from '../state/program_state.js';
import {checkBudget} from './call_guards.js';
import type {QueueEntry} from './call_queue.js';
import type {CallStream} from './call_stream.js';
import {CallTicket} from './call_ticket.js';
import type {CallTraits} from './call_traits.js';
import {DispatchOutcomeTracker} from './dispatch_outcome_tracker.js';
import type {PartitionLog} from './partition_log.js';
import {createTurnContext} from './create_turn_context.js';
import type {DispatchOptions, TurnContext, TurnReport} from './turn_context.js';
import {
  getNextCap,
  getRaisedCap,
  getUsedTokens,
  getWorstCaseTokens,
} from './worst_case.js';

/**
 * Largest answer body of a plain service that is retained for re-sent calls.
 */
const maxRetainedBodyBytes = 256 * 1024;

/** Data and dependencies of a ticket. */
export interface OwnedCallTicketParts {
  readonly call: Call;
  /** Id under which the call is recorded: the id of its first sending. */
  readonly callId: CallId;
  readonly digest: string;
  readonly traits: CallTraits;
  readonly state: ProgramState;
  readonly stream: CallStream;
  readonly queueEntry: QueueEntry;
  readonly log: PartitionLog;
  readonly clock: Clock;
  /** Called once, when the call has ended. */
  readonly onEnded: () => void;
}

/** Applies a program's call order, budget and journal to one call. */
export class OwnedCallTicket extends CallTicket {
  override readonly isOwner = true;
  private readonly abortController = new AbortController();
  private readonly dispatchOutcomes: DispatchOutcomeTracker;
  private isEnded = false;

  private constructor(private readonly parts: OwnedCallTicketParts) {
    super();
    this.dispatchOutcomes = DispatchOutcomeTracker.create(this.isDispatched);
  }

  /**
   * Creates a ticket for a queued call.
   * @param parts - Call, program state and queue entry.
   */
  static create(parts: OwnedCallTicketParts): OwnedCallTicket {
    return new OwnedCallTicket(parts);
  }

  override get call(): Call {
    return this.parts.call;
  }

  override get program(): ProgramId {
    return this.parts.state.program;
  }

  override get stream(): CallStream {
    return this.parts.stream;
  }

  override get signal(): AbortSignal {
    return this.abortController.signal;
  }

  /** Digest of the call's content. */
  get digest(): string {
    return this.parts.digest;
  }

  /**
   * Whether the call is running and a dispatch of it is recorded, so that it may
   * have been sent to a target.
   */
  get isDispatched(): boolean {
    return this.getRunningCall() !== undefined;
  }

  /** Whether the call is dispatched, still running, and must not run twice. */
  get hasOpenIntent(): boolean {
    return this.getRunningCall() !== undefined && !this.isRepeatable();
  }

  /**
   * Signals the call's runner to stop; the runner must then end the call.
   * @param error - Reason of the signal.
   */
  abort(error: Error): void {
    this.abortController.abort(error);
  }

  /**
   * Ends the call for its runner and all readers without writing a record.
   * @param error - Error that they receive.
   */
  abandon(error: Error): void {
    this.abortController.abort(error);
    this.end(error);
  }

  override async waitForTurn(signal: AbortSignal): Promise<TurnContext> {
    const {call, clock, digest, queueEntry, state} = this.parts;
    try {
      await waitWithSignals(queueEntry.headReached, [signal, this.signal]);
      this.checkIsOpen();
      const root = this.parts.log.state.getRoot(state);
      const wallMs = clock.wallTimeMs();
      const reservedTokens = getWorstCaseTokens(state, call);
      const running = this.getRunningCall();
      if (!running) checkBudget(root, reservedTokens, wallMs);
      return createTurnContext({
        call,
        digest,
        state,
        root,
        running,
        reservedTokens,
        wallMs,
      });
    } catch (error) {
      await this.fail(error as Error);
      throw error;
    }
  }

  override async commitDispatch(
    target: TargetId,
    options: DispatchOptions = {},
  ): Promise<void> {
    this.checkIsOpen();
    const running = this.getRunningCall();
    this.checkCanDispatchAgain(running, options);
    const isResume = options.isResume === true && running?.target === target;
    if (!isResume) {
      this.dispatchOutcomes.recordAttempt(options);
      const commit = this.commitDispatchRecord(target, options, running);
      this.dispatchOutcomes.recordDispatch();
      if (commit !== undefined) await this.waitForDispatchCommit(commit);
      this.signal.throwIfAborted();
    }
    this.stream.setTarget(target);
  }

  override addToken(token: {
    readonly index: number;
    readonly text: string;
  }): void {
    this.stream.addToken(token.index, token.text);
  }

  override async complete(
    answer: CallAnswer,
    report: TurnReport,
  ): Promise<void> {
    const {call, callId, log, state} = this.parts;
    const running = this.getRunningCallOrThrow();
    const root = log.state.getRoot(state);
    const cap = getNextCap(root, call, running.reservedTokens, answer);
    try {
      const durable = log.commit(
        {
          kind: 'call_completed',
          program: state.program,
          callId,
          answer: getRetainedAnswer(answer),
          report,
          usedTokens: getUsedTokens(answer),
          cap,
        },
        {isEssential: true},
      );
      const isDurable = await log.waitForCommitOrCopy(durable);
      this.finish(answer, isDurable);
    } catch (error) {
      const failure = this.toCommitError(error);
      await this.fail(failure);
      throw failure;
    }
  }

  override fail(error: Error): Promise<void> {
    if (this.isEnded) return Promise.resolve();
    const reported = toMarigoldpostError(error);
    const failure = this.dispatchOutcomes.toCallFailure(reported);
    const running = this.getRunningCall();
    if (running !== undefined && !this.parts.log.journal.isFenced()) {
      const isNotRun = this.dispatchOutcomes.isLatestNotRun(reported);
      const usedTokens = isNotRun ? 0 : running.reservedTokens;
      this.commitFailureRecord(toFailureReason(failure), usedTokens);
    }
    this.end(failure);
    return Promise.resolve();
  }

  /** Throws for a request that may have run and must not run twice. */
  private checkCanDispatchAgain(
    running: CallState | undefined,
    options: DispatchOptions,
  ): void {
    if (running === undefined || this.isRepeatable()) return;
    if (options.previousOutcome === 'not_run') return;
    throw MarigoldpostError.create(
      'outcome_unknown',
      `call "${this.call.callId}" was dispatched before and may have run`,
    );
  }

  /**
   * Adds the record of a dispatch. Returns the commit that must complete before
   * the request is sent, or undefined.
   */
  private commitDispatchRecord(
    target: TargetId,
    options: DispatchOptions,
    running: CallState | undefined,
  ): Promise<void> | undefined {
    const {call, callId, clock, log, state, traits} = this.parts;
    const root = log.state.getRoot(state);
    const reservedTokens = getWorstCaseTokens(state, call);
    const wallMs = clock.wallTimeMs();
    const isKnownNotRun = options.previousOutcome === 'not_run';
    const previouslyReserved = running?.reservedTokens ?? 0;
    const lostTokens = isKnownNotRun ? 0 : previouslyReserved;
    const addedTokens = reservedTokens + lostTokens - previouslyReserved;
    const addedCalls = running === undefined ? 1 : 0;
    checkBudget(root, addedTokens, wallMs, addedCalls);
    const cap = getRaisedCap(root.account, addedTokens, addedCalls);
    const isUrgent = cap !== undefined || !this.isRepeatable();
    const durable = log.commit(
      {
        kind: 'call_dispatched',
        program: state.program,
        callId,
        call: running === undefined ? call : undefined,
        traits,
        target,
        reservedTokens,
        lostTokens,
        cap,
        wallMs,
      },
      {isLazy: !isUrgent},
    );
    return isUrgent ? durable : log.getCapCommit(root.account);
  }

  /**
   * Waits until an intent is durable. A repeatable call also continues once the
   * commit is buffered during an outage of the platform.
   */
  private async waitForDispatchCommit(durable: Promise<void>): Promise<void> {
    const {call, log} = this.parts;
    if (this.isRepeatable()) {
      await log.waitForCommitOrCopy(durable);
      return;
    }
    if (await log.journal.waitUntilDurableOrStalled(durable)) return;
    throw MarigoldpostError.create(
      'platform_unavailable',
      `platform is unavailable: the intent of call "${call.callId}" is not durable`,
    );
  }

  private commitFailureRecord(error: FailureReason, usedTokens: number): void {
    const {callId, log, state} = this.parts;
    const durable = log.commit(
      {
        kind: 'call_failed',
        program: state.program,
        callId,
        error,
        usedTokens,
      },
      {isEssential: true, isLazy: this.isRepeatable()},
    );
    // If the record is lost, the intent stays open and the outcome is unknown.
    durable.catch(() => undefined);
  }

  private finish(answer: CallAnswer, isDurable: boolean): void {
    this.stream.finish(answer, isDurable);
    this.markEnded();
  }

  private end(error: Error): void {
    this.stream.fail(error);
    this.markEnded();
  }

  private markEnded(): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.parts.queueEntry.remove();
    this.parts.onEnded();
  }

  private isRepeatable(): boolean {
    const {call, traits} = this.parts;
    return isRepeatable(traits, call.idempotencyKey);
  }

  private checkIsOpen(): void {
    const {log, state} = this.parts;
    this.signal.throwIfAborted();
    if (log.journal.isFenced()) {
      throw MarigoldpostError.create(
        'fenced',
        `partition "${log.partition}" is no longer held here`,
      );
    }
    if (state.endedAtWallMs === undefined) return;
    throw MarigoldpostError.create(
      'program_ended',
      `program "${state.program}" has ended`,
    );
  }

  private getRunningCall(): CallState | undefined {
    const {callId, state} = this.parts;
    return state.calls.find(
      (other) => other.callId === callId && other.state === 'running',
    );
  }

  private getRunningCallOrThrow(): CallState {
    const running = this.getRunningCall();
    if (running !== undefined) return running;
    throw MarigoldpostError.create(
      'internal',
      `call "${this.call.callId}" is not running: no dispatch is recorded`,
    );
  }

  /**
   * Gets the error of an answer that could not be committed. When fenced, the
   * answer is not part of the program's history, so its outcome is unknown.
   */
  private toCommitError(error: unknown): MarigoldpostError {
    if (!isErrorOfKind(error, 'fenced')) return toMarigoldpostError(error);
    return MarigoldpostError.create('fenced', error.message, {
      outcome: 'unknown',
    });
  }
}

function getRetainedAnswer(answer: CallAnswer): CallAnswer | undefined {
  if (answer.kind === 'chat') return answer;
  const bytes = Buffer.byteLength(answer.response.body);
  return bytes <= maxRetainedBodyBytes ? answer : undefined;
}

async function waitWithSignals(
  reached: Promise<void>,
  signals: readonly AbortSignal[],
): Promise<void> {
  const aborted = Deferred.create<void>();
  const onAbort = () => aborted.resolve();
  for (const signal of signals) {
    signal.addEventListener('abort', onAbort, {once: true});
  }
  try {
    for (const signal of signals) signal.throwIfAborted();
    await Promise.race([reached, aborted.promise]);
    for (const signal of signals) signal.throwIfAborted();
  } finally {
    for (const signal of signals) signal.removeEventListener('abort', onAbort);
  }
}
