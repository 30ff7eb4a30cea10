/** Admits calls: joins, replays, refuses or gives them a place. */
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
import type {LoopLimits} from './keeper_types.js';
import {OwnedCallTicket} from './owned_call_ticket.js';
import type {PartitionLog} from './partition_log.js';
import {getProgramOfKey, isProgramOfKey} from './program_for_key.js';
import {ProgramRuntime} from './program_runtime.js';
import {getWorstCaseTokens} from './worst_case.js';

const programNameLength = 20;

/** Parts of an admission. */
export interface CallAdmissionParts {
  readonly log: PartitionLog;
  readonly clock: Clock;
  readonly random: Random;
  readonly limits: LoopLimits;
}

/** Admits the calls of one partition. */
export class CallAdmission {
  private readonly runtimes = new Map<ProgramId, ProgramRuntime>();

  private constructor(private readonly parts: CallAdmissionParts) {}

  /**
   * Creates an admission without calls.
   * @param parts - Log, time and limits.
   */
  static create(parts: CallAdmissionParts): CallAdmission {
    return new CallAdmission(parts);
  }

  /** Creates the id of a program that is opened here. */
  createProgramId(): ProgramId {
    const {log, random} = this.parts;
    const name = random.nextToken(programNameLength);
    return toId<ProgramId>(`${log.partition}.${name}`);
  }

  /**
   * Gets the tickets of all calls under way, or of one program's.
   * @param program - The program; all by default.
   */
  getTickets(program?: ProgramId): OwnedCallTicket[] {
    const runtimes =
      program === undefined
        ? [...this.runtimes.values()]
        : [this.runtimes.get(program)];
    return runtimes.flatMap((runtime) => [...(runtime?.getTickets() ?? [])]);
  }

  /**
   * Admits a call.
   * @param call - The call.
   * @param traits - Whether it may run twice.
   */
  admitCall(call: Call, traits: CallTraits): CallTicket {
    const digest = getCallDigest(call);
    const named = this.nameProgram(call);
    const known = this.findProgram(named);
    if (known !== undefined) {
      const earlier = this.findEarlier(known, call, digest);
      if (earlier !== undefined) return earlier;
    }
    this.checkPlatform(call, traits);
    const state = known ?? this.openProgram(named);
    return this.createTicket(state, call, traits, digest);
  }

  /** Gives a keyed call that names no program the one that its key names. */
  private nameProgram(call: Call): Call {
    const {idempotencyKey, program, team} = call;
    if (program !== undefined || idempotencyKey === undefined) return call;
    const {partition} = this.parts.log;
    return {...call, program: getProgramOfKey(partition, team, idempotencyKey)};
  }

  /** Gets the call's program; nothing when the call is to open it. */
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

  /** Gets the ticket of a re-sent call; nothing when the call is to run. */
  private findEarlier(
    state: ProgramState,
    call: Call,
    digest: string,
  ): CallTicket | undefined {
    const {program} = state;
    const ticket = this.runtimes.get(program)?.findTicket(call);
    if (ticket !== undefined) {
      checkDigest(call, ticket.digest, digest);
      return JoinedCallTicket.create(call, program, ticket.stream);
    }
    const earlier = findCallState(state, call);
    if (earlier === undefined) return undefined;
    checkDigest(call, earlier.digest, digest);
    checkOutcome(earlier);
    if (earlier.state !== 'finished') return undefined;
    const isDurable = this.parts.log.journal.getUncommittedBytes() === 0;
    return replay(state, call, earlier, isDurable);
  }

  /** Refuses what the platform's absence leaves no safe way to run. */
  private checkPlatform(call: Call, traits: CallTraits): void {
    const {journal, partition} = this.parts.log;
    if (!journal.isStalled()) return;
    if (isRepeatable(traits, call.idempotencyKey)) return;
    throw MarigoldpostError.create(
      'platform_unavailable',
      `no intent can be committed to partition "${partition}"`,
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
    // The call's dispatch is committed behind it, in the same write.
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
    const runtime = this.getRuntime(state.program);
    const callId: CallId = earlier?.callId ?? call.callId;
    const {program} = state;
    const ticket: OwnedCallTicket = OwnedCallTicket.create({
      call,
      callId,
      digest,
      traits,
      state,
      stream: CallStream.create({program, callId: call.callId}),
      place: runtime.queue.addPlace(),
      log,
      clock,
      onEnded: () => this.removeTicket(program, ticket),
    });
    runtime.addTicket(ticket);
    return ticket;
  }

  private checkIsOpen(state: ProgramState): void {
    if (state.endedAtWallMs === undefined) return;
    throw MarigoldpostError.create(
      'program_ended',
      `program "${state.program}" has ended`,
    );
  }

  private getRuntime(program: ProgramId): ProgramRuntime {
    const runtime = this.runtimes.get(program) ?? ProgramRuntime.create();
    this.runtimes.set(program, runtime);
    return runtime;
  }

  private removeTicket(program: ProgramId, ticket: OwnedCallTicket): void {
    const runtime = this.runtimes.get(program);
    runtime?.removeTicket(ticket);
    if (runtime?.isIdle) this.runtimes.delete(program);
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
    `the ${name} of call "${call.callId}" was used for another request`,
  );
}

/** Throws what is known of an earlier call that must not run again. */
function checkOutcome({error, state, traits, ...call}: CallState): void {
  if (state === 'unknown') {
    throw MarigoldpostError.create(
      'outcome_unknown',
      `call "${call.callId}" was sent before and may have run`,
    );
  }
  const isOver =
    state === 'failed' &&
    error?.outcome === 'ran' &&
    !isRepeatable(traits, call.idempotencyKey);
  if (!isOver) return;
  throw MarigoldpostError.create(error.kind, error.message, {outcome: 'ran'});
}

function replay(
  {program}: ProgramState,
  call: Call,
  {answer}: CallState,
  isDurable: boolean,
): CallTicket {
  if (answer === undefined) {
    throw MarigoldpostError.create(
      'program_ended',
      `the answer of call "${call.callId}" is no longer kept`,
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
