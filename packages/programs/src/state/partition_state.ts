/** In-memory state of a partition, built by applying its records in order. */
import type {CallId, ProgramId} from '@marigoldpost/common';
import type {
  CallCompleted,
  CallDispatched,
  CallFailed,
  GrantBound,
  GrantNoted,
  ProgramAdded,
  ProgramEnded,
  ProgramRecord,
} from '../records/program_record.js';
import {getCallDigest, getHistoryDigest} from './call_digest.js';
import {
  createProgramState,
  isRepeatable,
  type BudgetAccount,
  type CallState,
  type ProgramState,
} from './program_state.js';

/**
 * Programs and grant bounds of one partition. Applying a record never fails: a
 * record of an unknown program or call is ignored.
 */
export class PartitionState {
  private readonly programs = new Map<ProgramId, ProgramState>();
  private readonly grants = new Map<string, GrantNoted>();

  private constructor() {}

  /** Creates the state of a partition without programs. */
  static create(): PartitionState {
    return new PartitionState();
  }

  /** Gets all programs, open and ended, in order of addition. */
  getPrograms(): Iterable<ProgramState> {
    return this.programs.values();
  }

  /**
   * Gets a program, or undefined when the partition does not have it.
   * @param program - Program id.
   */
  getProgram(program: ProgramId): ProgramState | undefined {
    return this.programs.get(program);
  }

  /**
   * Gets the root program, whose budget account the program uses.
   * @param state - The program itself or a sub-agent.
   */
  getRoot(state: ProgramState): ProgramState {
    return this.programs.get(state.root) ?? state;
  }

  /**
   * Deletes an ended program. No record is written: the next snapshot omits it.
   * @param program - Program id.
   */
  removeProgram(program: ProgramId): void {
    this.programs.delete(program);
  }

  /** Gets the bounds on grants of the limits that this partition manages. */
  getGrantBounds(): Iterable<GrantBound> {
    return this.grants.values();
  }

  /** Gets the complete state as records, each as JSON text. */
  toSnapshot(): string[] {
    const programs = [...this.programs.values()].map((state) =>
      JSON.stringify({kind: 'program_snapshot', state}),
    );
    const grants = [...this.grants.values()].map((grant) =>
      JSON.stringify(grant),
    );
    return [...programs, ...grants];
  }

  /**
   * Applies the next record.
   * @param record - Record that follows the last one applied.
   */
  apply(record: ProgramRecord): void {
    switch (record.kind) {
      case 'program_added':
        return this.applyAdded(record);
      case 'call_dispatched':
        return this.applyDispatched(record);
      case 'call_completed':
        return this.applyCompleted(record);
      case 'call_failed':
        return this.applyFailed(record);
      case 'program_ended':
        return this.applyEnded(record);
      case 'cache_released':
        return this.removeTarget(record.program, record.target);
      case 'partition_closed':
        return this.applyClosed();
      case 'partition_recovered':
        return this.applyRecovered();
      case 'grant_noted':
        return this.applyGrant(record);
      case 'program_snapshot':
        this.programs.set(record.state.program, record.state);
    }
  }

  private applyAdded(record: ProgramAdded): void {
    const {parent, program} = record;
    if (this.programs.has(program)) return;
    const parentState = parent && this.programs.get(parent);
    const root = parentState ? parentState.root : program;
    this.programs.set(program, createProgramState(record, root));
  }

  private applyDispatched(record: CallDispatched): void {
    const state = this.programs.get(record.program);
    if (state === undefined) return;
    const account = this.getRoot(state).account;
    const running = getRunningCall(state, record.callId);
    if (running === undefined) recordFirstDispatch(state, account, record);
    else recordRepeatedDispatch(running, account, record);
    if (!state.targets.includes(record.target)) {
      state.targets.push(record.target);
    }
    if (record.cap === undefined) return;
    account.capTokens = Math.max(account.capTokens, record.cap.tokens);
    account.capCalls = Math.max(account.capCalls, record.cap.calls);
  }

  private applyCompleted(record: CallCompleted): void {
    const state = this.programs.get(record.program);
    const running = state && getRunningCall(state, record.callId);
    if (state === undefined || running === undefined) return;
    const account = this.getRoot(state).account;
    account.reservedTokens -= running.reservedTokens;
    account.usedTokens += record.usedTokens;
    account.capTokens = record.cap.tokens;
    account.capCalls = record.cap.calls;
    recordTurn(state, running, record);
  }

  private applyFailed(record: CallFailed): void {
    const state = this.programs.get(record.program);
    const running = state && getRunningCall(state, record.callId);
    if (state === undefined || running === undefined) return;
    const account = this.getRoot(state).account;
    account.reservedTokens -= running.reservedTokens;
    account.usedTokens += record.usedTokens;
    if (record.error.outcome === 'not_run') account.usedCalls -= 1;
    recordFailure(running, record);
  }

  private applyEnded(record: ProgramEnded): void {
    const state = this.programs.get(record.program);
    if (state === undefined) return;
    state.endedAtWallMs ??= record.wallMs;
    state.messages = [];
    for (const call of state.calls) {
      if (call.answer?.kind === 'chat') delete call.answer;
    }
  }

  private removeTarget(program: ProgramId, target: string): void {
    const state = this.programs.get(program);
    if (state === undefined) return;
    state.targets = state.targets.filter((other) => other !== target);
  }

  private applyGrant(record: GrantNoted): void {
    const key = JSON.stringify([record.limit, record.holder]);
    if (record.amount > 0) this.grants.set(key, record);
    else this.grants.delete(key);
  }

  private applyClosed(): void {
    for (const {account} of this.programs.values()) {
      account.capTokens = account.usedTokens + account.reservedTokens;
      account.capCalls = account.usedCalls;
    }
  }

  /**
   * Counts everything that may have been dispatched as used. Sets running calls
   * that must not run twice to `unknown`.
   */
  private applyRecovered(): void {
    for (const state of this.programs.values()) closeOpenIntents(state);
    for (const {account} of this.programs.values()) {
      const spent = account.capTokens - account.reservedTokens;
      account.usedTokens = Math.max(account.usedTokens, spent);
      account.usedCalls = Math.max(account.usedCalls, account.capCalls);
    }
  }
}

function getRunningCall(
  state: ProgramState,
  callId: CallId,
): CallState | undefined {
  return state.calls.find(
    (call) => call.callId === callId && call.state === 'running',
  );
}

function recordFirstDispatch(
  state: ProgramState,
  account: BudgetAccount,
  record: CallDispatched,
): void {
  const {call, callId, reservedTokens, target, traits, wallMs} = record;
  if (call === undefined) return;
  const digest = getCallDigest(call);
  const {idempotencyKey, service} = call;
  state.calls = state.calls.filter((other) => other.callId !== callId);
  state.calls.push({
    callId,
    idempotencyKey,
    digest,
    service,
    traits,
    state: 'running',
    target,
    reservedTokens,
    attempts: 1,
    call,
  });
  account.reservedTokens += reservedTokens;
  account.usedCalls += 1;
  account.startedAtWallMs ??= wallMs;
  state.repeats = state.lastDigest === digest ? state.repeats + 1 : 1;
  state.lastDigest = digest;
}

function recordRepeatedDispatch(
  running: CallState,
  account: BudgetAccount,
  record: CallDispatched,
): void {
  account.usedTokens += record.lostTokens;
  account.reservedTokens += record.reservedTokens - running.reservedTokens;
  running.reservedTokens = record.reservedTokens;
  running.target = record.target;
  running.attempts += 1;
}

function recordTurn(
  state: ProgramState,
  running: CallState,
  record: CallCompleted,
): void {
  const {answer, report} = record;
  const {call} = running;
  deletePreviousAnswer(state);
  running.state = 'finished';
  running.reservedTokens = 0;
  running.report = report;
  running.answer = answer;
  delete running.call;
  state.turnIndex += 1;
  state.historyDigest = getHistoryDigest(
    state.historyDigest,
    running.digest,
    answer,
  );
  if (call?.kind !== 'chat' || answer?.kind !== 'chat') return;
  const {usage} = answer;
  running.usage = usage;
  state.historyTokens = usage.promptTokens + usage.completionTokens;
  if (state.endedAtWallMs !== undefined) return;
  const content = answer.tokens.join('');
  state.messages.push(...call.messages, {role: 'assistant', content});
}

/**
 * Deletes the answer of the last finished call unless the call has a key. Only
 * keyed calls and the newest call can be re-sent for their answer.
 */
function deletePreviousAnswer(state: ProgramState): void {
  const last = state.calls.findLast(({state}) => state === 'finished');
  if (last?.idempotencyKey === undefined) delete last?.answer;
}

function recordFailure(running: CallState, record: CallFailed): void {
  const {error} = record;
  const isUnknown =
    error.outcome === 'unknown' &&
    !isRepeatable(running.traits, running.idempotencyKey);
  running.state = isUnknown ? 'unknown' : 'failed';
  running.error = error;
  running.reservedTokens = 0;
  delete running.call;
}

function closeOpenIntents(state: ProgramState): void {
  for (const call of state.calls) {
    if (call.state !== 'running') continue;
    if (isRepeatable(call.traits, call.idempotencyKey)) continue;
    call.state = 'unknown';
    delete call.call;
  }
}
