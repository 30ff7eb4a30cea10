/**
 * Admission of calls: joins a re-sent call to the running one, replays its
 * answer, rejects a call or queues it.
 */
import {
  MarigoldpostError,
  toId,
  type CallId,
  type Clock,
  type ProgramId,
  type Random,
} from '@marigoldpost/common';
import type {Call} from '../calls/call.js';
import {getCallDigest} from '../state/call_digest.js';
import {
  isRepeatable,
  type CallState,
  type ProgramState,
} from '../state/program_state.js';
import {checkBudget, checkLoops} from './call_guards.js';
import {CallStream} from './call_stream.js';
import type {CallTicket} from './call_ticket.js';
import type {CallTraits} from './call_traits.js';
import {JoinedCallTicket} from './joined_call_ticket.js';
import type {LoopLimits} from './program_manager_types.js';
import {OwnedCallTicket} from './owned_call_ticket.js';
import type {PartitionLog} from './partition_log.js';
import {getProgramOfKey, isProgramOfKey} from './program_for_key.js';
import {ActiveProgramCalls} from './active_program_calls.js';
import {getWorstCaseTokens} from './worst_case.js';

const programNameLength = 20;

/** Dependencies of the admission of one partition. */
export interface CallAdmissionParts {
  readonly log: PartitionLog;
  readonly clock: Clock;
  readonly random: Random;
  readonly limits: LoopLimits;
}

/** Admits the calls of one partition and tracks those that have not ended. */
export class CallAdmission {
  private readonly activeCallsByProgram = new Map<
    ProgramId,
    ActiveProgramCalls
  >();

  private constructor(private readonly parts: CallAdmissionParts) {}

  /**
   * Creates an admission without active calls.
   * @param parts - Log, clock, randomness and loop limits.
   */
  static create(parts: CallAdmissionParts): CallAdmission {
    return new CallAdmission(parts);
  }

  /** Creates a random id for a program of this partition. */
  createProgramId(): ProgramId {
    const {log, random} = this.parts;
    const name = random.nextToken(programNameLength);
    return toId<ProgramId>(`${log.partition}.${name}`);
  }

  /**
   * Gets the tickets of all active calls, or those of one program.
   * @param program - Program to select; all programs by default.
   */
  getTickets(program?: ProgramId): OwnedCallTicket[] {
    const selected =
      program === undefined
        ? [...this.activeCallsByProgram.values()]
        : [this.activeCallsByProgram.get(program)];
    return selected.flatMap((activeCalls) => [
      ...(activeCalls?.getTickets() ?? []),
    ]);
  }

  /**
   * Admits a call. Throws when the call is rejected.
   * @param call - Call to admit; it may be a re-sent one.
   * @param traits - Whether the call may run twice.
   */
  admitCall(call: Call, traits: CallTraits): CallTicket {
    const digest = getCallDigest(call);
    const addressed = this.assignProgramFromKey(call);
    const existing = this.findProgram(addressed);
    if (existing !== undefined) {
      const reused = this.joinOrReplay(existing, call, digest);
      if (reused !== undefined) return reused;
    }
    this.checkIntentCanCommit(call, traits);
    const state = existing ?? this.openProgram(addressed);
    return this.createTicket(state, call, traits, digest);
  }

  /** Sets the program of a keyed call without one, derived from its key. */
  private assignProgramFromKey(call: Call): Call {
    const {idempotencyKey, program, team} = call;
    if (program !== undefined || idempotencyKey === undefined) return call;
    const {partition} = this.parts.log;
    return {...call, program: getProgramOfKey(partition, team, idempotencyKey)};
  }

  /** Gets the call's program, or undefined when the call starts it. */
  private findProgram(call: Call): ProgramState | undefined {
    const {idempotencyKey, program, team} = call;
    if (program === undefined) return undefined;
    const state = this.parts.log.state.getProgram(program);
    if (state?.team === team) return state;
    const isOpening =
      state === undefined &&
      idempotencyKey !== undefined &&
      isProgramOfKey(program, team, idempotencyKey);
    if (isOpening) return undefined;
    throw MarigoldpostError.create(
      'unknown_program',
      `program "${program}" does not exist`,
    );
  }

  /**
   * Joins a re-sent call to the running one or replays its answer. Returns
   * undefined when the call has to run.
   */
  private joinOrReplay(
    state: ProgramState,
    call: Call,
    digest: string,
  ): CallTicket | undefined {
    const {program} = state;
    const ticket = this.activeCallsByProgram.get(program)?.findTicket(call);
    if (ticket !== undefined) {
      checkDigest(call, ticket.digest, digest);
      return JoinedCallTicket.create(call, program, ticket.stream);
    }
    const earlier = findCallState(state, call);
    if (earlier === undefined) return undefined;
    checkDigest(call, earlier.digest, digest);
    checkCanRunAgain(earlier);
    if (earlier.state !== 'finished') return undefined;
    const isDurable = this.parts.log.journal.getUncommittedBytes() === 0;
    return createReplayTicket(state, call, earlier, isDurable);
  }

  /**
   * Rejects a call that needs a durable intent while the platform is
   * unavailable, since it cannot run safely.
   */
  private checkIntentCanCommit(call: Call, traits: CallTraits): void {
    const {journal, partition} = this.parts.log;
    if (!journal.isStalled()) return;
    if (isRepeatable(traits, call.idempotencyKey)) return;
    throw MarigoldpostError.create(
      'platform_unavailable',
      `platform is unavailable: cannot commit an intent to partition "${partition}"`,
    );
  }

  private openProgram(call: Call): ProgramState {
    const {clock, log} = this.parts;
    const program = call.program ?? this.createProgramId();
    const {budget, team} = call;
    const wallMs = clock.wallTimeMs();
    const durable = log.commit(
      {kind: 'program_added', program, team, budget, wallMs},
      {isLazy: true},
    );
    // The record of the call's dispatch follows in the same write, so a failure
    // shows there.
    durable.catch(() => undefined);
    return log.state.getProgram(program)!;
  }

  private createTicket(
    state: ProgramState,
    call: Call,
    traits: CallTraits,
    digest: string,
  ): OwnedCallTicket {
    const {clock, limits, log} = this.parts;
    const earlier = findCallState(state, call);
    const isRecovered = earlier?.state === 'running';
    this.checkIsOpen(state);
    if (!isRecovered) {
      const root = log.state.getRoot(state);
      const tokens = getWorstCaseTokens(state, call);
      checkBudget(root, tokens, clock.wallTimeMs());
      checkLoops(state, digest, limits);
    }
    const activeCalls = this.getActiveCalls(state.program);
    const callId: CallId = earlier?.callId ?? call.callId;
    const {program} = state;
    const ticket: OwnedCallTicket = OwnedCallTicket.create({
      call,
      callId,
      digest,
      traits,
      state,
      stream: CallStream.create({program, callId: call.callId}),
      queueEntry: activeCalls.queue.enqueue(),
      log,
      clock,
      onEnded: () => this.removeTicket(program, ticket),
    });
    activeCalls.addTicket(ticket);
    return ticket;
  }

  private checkIsOpen(state: ProgramState): void {
    if (state.endedAtWallMs === undefined) return;
    throw MarigoldpostError.create(
      'program_ended',
      `program "${state.program}" has ended`,
    );
  }

  private getActiveCalls(program: ProgramId): ActiveProgramCalls {
    const activeCalls =
      this.activeCallsByProgram.get(program) ?? ActiveProgramCalls.create();
    this.activeCallsByProgram.set(program, activeCalls);
    return activeCalls;
  }

  private removeTicket(program: ProgramId, ticket: OwnedCallTicket): void {
    const activeCalls = this.activeCallsByProgram.get(program);
    activeCalls?.removeTicket(ticket);
    if (activeCalls?.isIdle) this.activeCallsByProgram.delete(program);
  }
}

function findCallState(state: ProgramState, call: Call): CallState | undefined {
  const {callId, idempotencyKey} = call;
  return state.calls.findLast(
    (other) =>
      other.callId === callId ||
      (idempotencyKey !== undefined && other.idempotencyKey === idempotencyKey),
  );
}

function checkDigest(call: Call, earlier: string, digest: string): void {
  if (earlier === digest) return;
  const name = call.idempotencyKey === undefined ? 'id' : 'idempotency key';
  throw MarigoldpostError.create(
    'idempotency_mismatch',
    `the ${name} of call "${call.callId}" was already used for a different request`,
  );
}

/**
 * Throws when an earlier call must not run again: `outcome_unknown` when it may
 * have run, or its recorded error when it did run and failed.
 */
function checkCanRunAgain({error, state, traits, ...call}: CallState): void {
  if (state === 'unknown') {
    throw MarigoldpostError.create(
      'outcome_unknown',
      `call "${call.callId}" was dispatched before and may have run`,
    );
  }
  const isFinal =
    state === 'failed' &&
    error?.outcome === 'ran' &&
    !isRepeatable(traits, call.idempotencyKey);
  if (!isFinal) return;
  throw MarigoldpostError.create(error.kind, error.message, {outcome: 'ran'});
}

function createReplayTicket(
  {program}: ProgramState,
  call: Call,
  {answer}: CallState,
  isDurable: boolean,
): CallTicket {
  if (answer === undefined) {
    throw MarigoldpostError.create(
      'program_ended',
      `the answer of call "${call.callId}" is no longer retained`,
      {outcome: 'ran'},
    );
  }
  const stream = CallStream.create({program, callId: call.callId});
  if (answer.kind === 'chat') {
    answer.tokens.forEach((text, index) => stream.addToken(index, text));
  }
  stream.finish(answer, isDurable);
  return JoinedCallTicket.create(call, program, stream);
}
