/** One held partition and the programs in it. */
import {
  MarigoldpostError,
  type ProgramId,
  type TargetId,
  type TeamId,
  type Timer,
} from '@marigoldpost/common';
import type {Call} from '../calls/call.js';
import type {ProgramHistory, ProgramView} from '../calls/program_view.js';
import type {GrantNote} from '../records/program_record.js';
import type {ProgramState} from '../state/program_state.js';
import {CallAdmission} from './call_admission.js';
import type {CallTicket} from './call_ticket.js';
import type {CallTraits} from './call_traits.js';
import type {ProgramKeeperOptions} from './keeper_options.js';
import type {
  AddProgramOptions,
  KeeperStatus,
  LoopLimits,
  PendingRelease,
  RecoveredCall,
} from './keeper_types.js';
import {findRecoveredCalls, openPartitionLog} from './partition_recovery.js';
import type {PartitionLog} from './partition_log.js';
import type {CopiedRecords} from './record_copier.js';
import {toProgramView} from './program_views.js';

const defaultLoopLimits: LoopLimits = {maxTurns: 1_000, maxRepeats: 10};
const defaultKeyRetentionMs = 24 * 60 * 60 * 1000;
const maintenanceMs = 10_000;
const intentPollMs = 20;

/** Decides for the programs of one partition. */
export class ProgramKeeper {
  private readonly admission: CallAdmission;
  private readonly recovered: readonly RecoveredCall[];
  private timer: Timer | undefined;
  private isClosing = false;

  private constructor(
    private readonly options: ProgramKeeperOptions,
    private readonly log: PartitionLog,
  ) {
    const {clock, loopLimits, random} = options;
    const limits = loopLimits ?? defaultLoopLimits;
    this.admission = CallAdmission.create({log, clock, random, limits});
    this.recovered = findRecoveredCalls(log.state);
    this.scheduleMaintenance();
  }

  /**
   * Opens a partition whose epoch this daemon has claimed: seals the journal,
   * replays it and takes in what peers kept. Throws `fenced`,
   * `store_unavailable` or `store_ambiguous`; the epoch is then used up.
   * @param options - The partition and its holder.
   */
  static async open(options: ProgramKeeperOptions): Promise<ProgramKeeper> {
    const opened: {keeper?: ProgramKeeper} = {};
    const onFenced = () => {
      opened.keeper?.abandonAll('fenced');
      options.onFenced?.();
    };
    const log = await openPartitionLog({...options, onFenced});
    opened.keeper = new ProgramKeeper(options, log);
    return opened.keeper;
  }

  /**
   * Opens a program; committed before it resolves.
   * @param options - Its team, budget, parent and id.
   */
  async addProgram(options: AddProgramOptions): Promise<ProgramView> {
    this.checkIsHeld();
    const {budget, parent, team} = options;
    if (parent !== undefined) this.getOpenOrThrow(team, parent);
    const program = options.program ?? this.admission.createProgramId();
    const wallMs = this.options.clock.wallTimeMs();
    const durable = this.log.commit({
      kind: 'program_added',
      program,
      team,
      budget,
      parent,
      wallMs,
    });
    await this.log.settle(durable);
    return this.getProgramViewOrThrow(team, program);
  }

  /**
   * Admits a call: gives it the next place in its program, joins it to the same
   * call that runs, or replays the answer. Throws refusals, with outcome
   * `not_run` unless an earlier sending of the call tells otherwise.
   * @param call - The call.
   * @param traits - Whether it may run twice.
   */
  admitCall(call: Call, traits: CallTraits): CallTicket {
    this.checkIsHeld();
    return this.admission.admitCall(call, traits);
  }

  /**
   * Gets the team of a program; throws `unknown_program`.
   * @param program - The program.
   */
  getTeamOrThrow(program: ProgramId): TeamId {
    const state = this.log.state.getProgram(program);
    if (state !== undefined) return state.team;
    throw createUnknownProgramError(program);
  }

  /**
   * Gets a program; throws `unknown_program`, also for another team's.
   * @param team - The caller's team.
   * @param program - The program.
   */
  getProgramViewOrThrow(team: TeamId, program: ProgramId): ProgramView {
    return this.toView(this.getStateOrThrow(team, program));
  }

  /**
   * Gets a program's history, empty once it has ended; throws `unknown_program`.
   * @param team - The caller's team.
   * @param program - The program.
   */
  getHistoryOrThrow(team: TeamId, program: ProgramId): ProgramHistory {
    const {messages} = this.getStateOrThrow(team, program);
    return {program, messages: [...messages]};
  }

  /**
   * Ends a program and its sub-agents; idempotent.
   * @param team - The caller's team.
   * @param program - The program.
   */
  async endProgram(team: TeamId, program: ProgramId): Promise<ProgramView> {
    this.checkIsHeld();
    const state = this.getStateOrThrow(team, program);
    const durable = this.endFamily(state);
    if (durable !== undefined) await this.log.settle(durable);
    return this.toView(state);
  }

  /** Gets the repeatable calls that the previous holder left under way. */
  getRecoveredCalls(): readonly RecoveredCall[] {
    return this.recovered;
  }

  /** Gets cache of ended programs that targets have not yet freed. */
  getPendingReleases(): readonly PendingRelease[] {
    const releases: PendingRelease[] = [];
    for (const state of this.log.state.getPrograms()) {
      const {endedAtWallMs, program, targets} = state;
      if (endedAtWallMs === undefined) continue;
      if (this.admission.getTickets(program).length > 0) continue;
      for (const target of targets) releases.push({program, target});
    }
    return releases;
  }

  /**
   * Notes that a target has freed an ended program's cache.
   * @param program - The program.
   * @param target - The target.
   */
  noteReleased(program: ProgramId, target: TargetId): void {
    if (this.log.journal.isFenced()) return;
    this.commitLazily({kind: 'cache_released', program, target});
  }

  /** Gets the bounds on holders' shares of the limits kept here. */
  getGrantNotes(): readonly GrantNote[] {
    return [...this.log.state.getGrantNotes()];
  }

  /**
   * Notes a bound on a holder's share of a limit, for a successor. A raised
   * bound is committed before the promise settles; throws `fenced`.
   * @param note - The bound.
   */
  async noteGrant(note: GrantNote): Promise<void> {
    this.checkIsHeld();
    const options = {isEssential: true};
    const durable = this.log.commit({kind: 'grant_noted', ...note}, options);
    await this.log.settle(durable);
  }

  /** Commits everything that is pending; throws `fenced`. */
  async flush(): Promise<void> {
    await this.log.journal.flush();
  }

  /**
   * Takes no more calls, waits for those that must not be sent twice, commits
   * all and stops. Other calls end with `not_holder`; sent again, they go on at
   * the next holder. Throws `fenced`, and `platform_unavailable` when what was
   * pending could only be copied.
   * @param graceMs - Longest wait for calls, in milliseconds.
   */
  async close(graceMs = 0): Promise<void> {
    this.isClosing = true;
    this.timer?.cancel();
    await this.waitForIntents(graceMs);
    this.abandonAll('not_holder');
    this.commitLazily({kind: 'partition_closed'});
    const {journal, partition} = this.log;
    if (await this.log.settle(journal.close())) return;
    journal.stop();
    throw MarigoldpostError.create(
      'platform_unavailable',
      `partition "${partition}" could not be closed in time`,
    );
  }

  /** Whether a request is under way that must not be sent twice. */
  hasIntents(): boolean {
    return this.admission.getTickets().some((ticket) => ticket.holdsIntent);
  }

  /** Stops at once; what is not committed is lost to this holder. */
  stop(): void {
    this.isClosing = true;
    this.log.journal.stop();
    this.abandonAll('not_holder');
  }

  /**
   * Gives the partition up to a holder that has sealed it, with the records
   * that the platform did not take.
   */
  surrender(): CopiedRecords {
    const records = this.log.journal.getUncommitted();
    this.stop();
    return records;
  }

  /** Gets the partition's state. */
  getStatus(): KeeperStatus {
    const states = [...this.log.state.getPrograms()];
    const open = states.filter((state) => state.endedAtWallMs === undefined);
    const {epoch, journal, partition} = this.log;
    return {
      partition,
      epoch,
      openPrograms: open.length,
      endedPrograms: states.length - open.length,
      callsInFlight: this.admission.getTickets().length,
      uncommittedBytes: journal.getUncommittedBytes(),
      isPlatformDown: journal.isStalled(),
      isFenced: journal.isFenced(),
    };
  }

  private endFamily(state: ProgramState): Promise<void> | undefined {
    let last: Promise<void> | undefined;
    const wallMs = this.options.clock.wallTimeMs();
    for (const {endedAtWallMs, program} of this.getFamily(state)) {
      if (endedAtWallMs !== undefined) continue;
      last = this.log.commit(
        {kind: 'program_ended', program, wallMs},
        {isEssential: true},
      );
      last.catch(() => undefined);
      this.abortCalls(program);
    }
    return last;
  }

  /** Gets a program and all its sub-agents, at any depth. */
  private getFamily(state: ProgramState): ProgramState[] {
    const family = new Map([[state.program, state]]);
    for (const other of this.log.state.getPrograms()) {
      if (other.parent === undefined || !family.has(other.parent)) continue;
      family.set(other.program, other);
    }
    return [...family.values()];
  }

  private abortCalls(program: ProgramId): void {
    for (const ticket of this.admission.getTickets(program)) {
      ticket.abort(
        MarigoldpostError.create(
          'program_ended',
          `program "${program}" has ended`,
          {outcome: ticket.isDispatched ? 'unknown' : 'not_run'},
        ),
      );
    }
  }

  private abandonAll(kind: 'fenced' | 'not_holder'): void {
    this.timer?.cancel();
    for (const ticket of this.admission.getTickets()) {
      ticket.abandon(
        MarigoldpostError.create(
          kind,
          `partition "${this.log.partition}" is no longer held here`,
          {outcome: ticket.isDispatched ? 'unknown' : 'not_run'},
        ),
      );
    }
  }

  private async waitForIntents(graceMs: number): Promise<void> {
    const {clock} = this.options;
    const endMs = clock.nowMs() + graceMs;
    while (this.hasIntents() && clock.nowMs() < endMs) {
      await clock.sleep(intentPollMs);
    }
  }

  private scheduleMaintenance(): void {
    this.timer = this.options.clock.setTimer(maintenanceMs, () => {
      if (this.isClosing || this.log.journal.isFenced()) return;
      this.removeOldPrograms();
      this.scheduleMaintenance();
    });
  }

  /** Ends programs whose wall time is over; forgets those that ended long ago. */
  private removeOldPrograms(): void {
    const wallMs = this.options.clock.wallTimeMs();
    const {keyRetentionMs = defaultKeyRetentionMs} = this.options;
    for (const state of [...this.log.state.getPrograms()]) {
      const {endedAtWallMs, program} = state;
      if (endedAtWallMs === undefined) this.endIfOver(state, wallMs);
      else if (wallMs - endedAtWallMs > keyRetentionMs) {
        this.log.state.removeProgram(program);
      }
    }
  }

  private endIfOver(state: ProgramState, wallMs: number): void {
    const root = this.log.state.getRoot(state);
    const startedAtMs = root.account.startedAtWallMs ?? root.addedAtWallMs;
    const isOver = wallMs - startedAtMs > root.budget.maxWallMs;
    if (!isOver || this.admission.getTickets(state.program).length > 0) return;
    void this.endFamily(state);
  }

  private commitLazily(record: Parameters<PartitionLog['commit']>[0]): void {
    const durable = this.log.commit(record, {isLazy: true, isEssential: true});
    // A fenced journal tells its holder by itself.
    durable.catch(() => undefined);
  }

  private toView(state: ProgramState): ProgramView {
    const tickets = this.admission.getTickets(state.program);
    const waiting = tickets
      .filter((ticket) => !ticket.isDispatched)
      .map(({call}) => call);
    const {partition} = this.log;
    const root = this.log.state.getRoot(state);
    return toProgramView({partition, state, root, waiting});
  }

  private getOpenOrThrow(team: TeamId, program: ProgramId): ProgramState {
    const state = this.getStateOrThrow(team, program);
    if (state.endedAtWallMs === undefined) return state;
    throw MarigoldpostError.create(
      'program_ended',
      `program "${program}" has ended`,
    );
  }

  private getStateOrThrow(team: TeamId, program: ProgramId): ProgramState {
    const state = this.log.state.getProgram(program);
    if (state?.team === team) return state;
    throw createUnknownProgramError(program);
  }

  private checkIsHeld(): void {
    if (!this.isClosing && !this.log.journal.isFenced()) return;
    throw MarigoldpostError.create(
      'not_holder',
      `partition "${this.log.partition}" is not held here`,
    );
  }
}

function createUnknownProgramError(program: ProgramId): MarigoldpostError {
  const message = `program "${program}" does not exist`;
  return MarigoldpostError.create('unknown_program', message);
}
