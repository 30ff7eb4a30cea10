/** Ticket of a call that is run through it. */
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
import type {CallPlace} from './call_queue.js';
import type {CallStream} from './call_stream.js';
import {CallTicket} from './call_ticket.js';
import type {CallTraits} from './call_traits.js';
import {DispatchAccount} from './dispatch_account.js';
import type {PartitionLog} from './partition_log.js';
import {createTurnContext} from './create_turn_context.js';
import type {DispatchOptions, TurnContext, TurnReport} from './turn_context.js';
import {
  getNextCap,
  getRaisedCap,
  getUsedTokens,
  getWorstCaseTokens,
} from './worst_case.js';

/** Largest answer of a plain service that is kept for re-sent calls. */
const maxKeptBodyBytes = 256 * 1024;

/** Parts of a ticket. */
export interface OwnedCallTicketParts {
  readonly call: Call;
  /** Id under which the call is recorded: that of its first sending. */
  readonly callId: CallId;
  readonly digest: string;
  readonly traits: CallTraits;
  readonly state: ProgramState;
  readonly stream: CallStream;
  readonly place: CallPlace;
  readonly log: PartitionLog;
  readonly clock: Clock;
  /** Called once, when the call is over. */
  readonly onEnded: () => void;
}

/** Runs one call through its program's order, budget and journal. */
export class OwnedCallTicket extends CallTicket {
  override readonly isOwner = true;
  private readonly aborting = new AbortController();
  private readonly dispatches: DispatchAccount;
  private isEnded = false;

  private constructor(private readonly parts: OwnedCallTicketParts) {
    super();
    this.dispatches = DispatchAccount.create(this.isDispatched);
  }

  /**
   * Creates a ticket.
   * @param parts - The call, its program and its place.
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
    return this.aborting.signal;
  }

  /** Digest of what the call asks for. */
  get digest(): string {
    return this.parts.digest;
  }

  /** Whether the call may have been sent to a target. */
  get isDispatched(): boolean {
    return this.getRunning() !== undefined;
  }

  /** Whether the call has been sent and must not be sent again. */
  get holdsIntent(): boolean {
    return this.getRunning() !== undefined && !this.isRepeatable();
  }

  /**
   * Stops the call; what runs it gets the reason and has to end it.
   * @param error - The reason.
   */
  abort(error: Error): void {
    this.aborting.abort(error);
  }

  /**
   * Ends the call for all its readers, without a record.
   * @param error - What they get thrown.
   */
  abandon(error: Error): void {
    this.aborting.abort(error);
    this.end(error);
  }

  override async waitForTurn(signal: AbortSignal): Promise<TurnContext> {
    const {call, clock, digest, place, state} = this.parts;
    try {
      await waitWithSignals(place.reached, [signal, this.signal]);
      this.checkIsOpen();
      const root = this.parts.log.state.getRoot(state);
      const wallMs = clock.wallTimeMs();
      const reservedTokens = getWorstCaseTokens(state, call);
      const running = this.getRunning();
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
    const running = this.getRunning();
    this.checkMayRepeat(running, options);
    const isResume = options.isResume === true && running?.target === target;
    if (!isResume) {
      this.dispatches.noteWanted(options);
      const commit = this.addDispatch(target, options, running);
      this.dispatches.noteDispatched();
      if (commit !== undefined) await this.waitForDispatch(commit);
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
    const running = this.getRunningOrThrow();
    const root = log.state.getRoot(state);
    const cap = getNextCap(root, call, running.reservedTokens, answer);
    try {
      const durable = log.commit(
        {
          kind: 'call_completed',
          program: state.program,
          callId,
          answer: getKeptAnswer(answer),
          report,
          usedTokens: getUsedTokens(answer),
          cap,
        },
        {isEssential: true},
      );
      const isDurable = await log.settle(durable);
      this.finish(answer, isDurable);
    } catch (error) {
      const failure = this.toLostAnswer(error);
      await this.fail(failure);
      throw failure;
    }
  }

  override fail(error: Error): Promise<void> {
    if (this.isEnded) return Promise.resolve();
    const reported = toMarigoldpostError(error);
    const failure = this.dispatches.toWholeOutcome(reported);
    const running = this.getRunning();
    if (running !== undefined && !this.parts.log.journal.isFenced()) {
      const isNotRun = this.dispatches.isLatestNotRun(reported);
      const usedTokens = isNotRun ? 0 : running.reservedTokens;
      this.addFailure(toFailureReason(failure), usedTokens);
    }
    this.end(failure);
    return Promise.resolve();
  }

  /** A request that may have run and may not run twice is never sent again. */
  private checkMayRepeat(
    running: CallState | undefined,
    options: DispatchOptions,
  ): void {
    if (running === undefined || this.isRepeatable()) return;
    if (options.previousOutcome === 'not_run') return;
    throw MarigoldpostError.create(
      'outcome_unknown',
      `call "${this.call.callId}" was sent before and may have run`,
    );
  }

  /** Adds the record of a dispatch; gives the commit that it has to wait for. */
  private addDispatch(
    target: TargetId,
    options: DispatchOptions,
    running: CallState | undefined,
  ): Promise<void> | undefined {
    const {call, callId, clock, log, state, traits} = this.parts;
    const root = log.state.getRoot(state);
    const reservedTokens = getWorstCaseTokens(state, call);
    const wallMs = clock.wallTimeMs();
    const isKnownNotRun = options.previousOutcome === 'not_run';
    const held = running?.reservedTokens ?? 0;
    const lostTokens = isKnownNotRun ? 0 : held;
    const addedTokens = reservedTokens + lostTokens - held;
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

  /** Waits until an intent is durable, or a repeatable call may go on. */
  private async waitForDispatch(durable: Promise<void>): Promise<void> {
    const {call, log} = this.parts;
    if (this.isRepeatable()) {
      await log.settle(durable);
      return;
    }
    if (await log.journal.waitOrStall(durable)) return;
    throw MarigoldpostError.create(
      'platform_unavailable',
      `the intent of call "${call.callId}" could not be committed`,
    );
  }

  private addFailure(error: FailureReason, usedTokens: number): void {
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
    // A lost record leaves the intent open, which reads as unknown.
    durable.catch(() => undefined);
  }

  private finish(answer: CallAnswer, isDurable: boolean): void {
    this.stream.finish(answer, isDurable);
    this.leave();
  }

  private end(error: Error): void {
    this.stream.fail(error);
    this.leave();
  }

  private leave(): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.parts.place.leave();
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

  private getRunning(): CallState | undefined {
    const {callId, state} = this.parts;
    return state.calls.find(
      (other) => other.callId === callId && other.state === 'running',
    );
  }

  private getRunningOrThrow(): CallState {
    const running = this.getRunning();
    if (running !== undefined) return running;
    throw MarigoldpostError.create(
      'internal',
      `call "${this.call.callId}" was never dispatched`,
    );
  }

  /** An answer whose turn was not committed here is not the program's. */
  private toLostAnswer(error: unknown): MarigoldpostError {
    if (!isErrorOfKind(error, 'fenced')) return toMarigoldpostError(error);
    return MarigoldpostError.create('fenced', error.message, {
      outcome: 'unknown',
    });
  }
}

function getKeptAnswer(answer: CallAnswer): CallAnswer | undefined {
  if (answer.kind === 'chat') return answer;
  const bytes = Buffer.byteLength(answer.response.body);
  return bytes <= maxKeptBodyBytes ? answer : undefined;
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
