/** Management of the programs of one held partition. */
import {
  MarigoldpostError,
  type ProgramId,
  type TargetId,
  type TeamId,
  type Timer,
} from '@marigoldpost/common';
import type {Call} from '../calls/call.js';
import type {ProgramHistory, ProgramView} from '../calls/program_view.js';
import type {GrantBound} from '../records/program_record.js';
import type {ProgramState} from '../state/program_state.js';
import {CallAdmission} from './call_admission.js';
import type {CallTicket} from './call_ticket.js';
import type {CallTraits} from './call_traits.js';
import type {ProgramManagerOptions} from './program_manager_options.js';
import type {
  AddProgramOptions,
  HeldPartitionStatus,
  LoopLimits,
  PendingRelease,
  RecoveredCall,
} from './program_manager_types.js';
import {findRecoveredCalls, openPartitionLog} from './partition_recovery.js';
import type {PartitionLog} from './partition_log.js';
import type {CopiedRecords} from './record_copier.js';
import {toProgramView} from './program_views.js';

const defaultLoopLimits: LoopLimits = {maxTurns: 1_000, maxRepeats: 10};
const defaultKeyRetentionMs = 24 * 60 * 60 * 1000;
const maintenanceIntervalMs = 10_000;
const intentPollIntervalMs = 20;

/**
 * Adds, runs, expires and ends the programs of one partition, and commits each
 * decision to its journal.
 */
export class ProgramManager {
  private readonly admission: CallAdmission;
  private readonly recovered: readonly RecoveredCall[];
  private timer: Timer | undefined;
  private isClosing = false;

  private constructor(
    private readonly options: ProgramManagerOptions,
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
   * replays it and applies the copies from peers. Throws `fenced`,
   * `store_unavailable` or `store_ambiguous`; the epoch cannot be used again.
   * @param options - Partition, epoch and holder.
   */
  static async open(options: ProgramManagerOptions): Promise<ProgramManager> {
    const opened: {manager?: ProgramManager} = {};
    const onFenced = () => {
      opened.manager?.abandonAll('fenced');
      options.onFenced?.();
    };
    const log = await openPartitionLog({...options, onFenced});
    opened.manager = new ProgramManager(options, log);
    return opened.manager;
  }

  /**
   * Adds a program. Resolves once its record is durable or, while the platform
   * is unavailable, buffered and copied.
   * @param options - Team, budget, parent and id of the program.
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
    await this.log.waitForCommitOrCopy(durable);
    return this.getProgramViewOrThrow(team, program);
  }

  /**
   * Admits a call: appends it to its program's queue, joins it to the running
   * first sending, or replays the answer. Throws when the call is rejected,
   * with outcome `not_run` unless an earlier sending of the call had another
   * outcome.
   * @param call - Call to admit; it may be a re-sent one.
   * @param traits - Whether the call may run twice.
   */
  admitCall(call: Call, traits: CallTraits): CallTicket {
    this.checkIsHeld();
    return this.admission.admitCall(call, traits);
  }

  /**
   * Gets the team of a program; throws `unknown_program`.
   * @param program - Program id.
   */
  getTeamOrThrow(program: ProgramId): TeamId {
    const state = this.log.state.getProgram(program);
    if (state !== undefined) return state.team;
    throw createUnknownProgramError(program);
  }

  /**
   * Gets the view of a program; throws `unknown_program`, also when the program
   * belongs to another team.
   * @param team - Calling team.
   * @param program - Program id.
   */
  getProgramViewOrThrow(team: TeamId, program: ProgramId): ProgramView {
    return this.toView(this.getStateOrThrow(team, program));
  }

  /**
   * Gets a program's history, empty once it has ended; throws
   * `unknown_program`.
   * @param team - Calling team.
   * @param program - Program id.
   */
  getHistoryOrThrow(team: TeamId, program: ProgramId): ProgramHistory {
    const {messages} = this.getStateOrThrow(team, program);
    return {program, messages: [...messages]};
  }

  /**
   * Ends a program and its sub-agents, and aborts their calls; idempotent.
   * @param team - Calling team.
   * @param program - Program id.
   */
  async endProgram(team: TeamId, program: ProgramId): Promise<ProgramView> {
    this.checkIsHeld();
    const state = this.getStateOrThrow(team, program);
    const durable = this.endProgramTree(state);
    if (durable !== undefined) await this.log.waitForCommitOrCopy(durable);
    return this.toView(state);
  }

  /** Gets the repeatable calls that were running at the previous holder. */
  getRecoveredCalls(): readonly RecoveredCall[] {
    return this.recovered;
  }

  /** Gets the cache releases that targets have not yet acknowledged. */
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
   * Records that a target has released an ended program's cache.
   * @param program - Ended program.
   * @param target - Target that acknowledged the release.
   */
  recordCacheReleased(program: ProgramId, target: TargetId): void {
    if (this.log.journal.isFenced()) return;
    this.commitLazily({kind: 'cache_released', program, target});
  }

  /** Gets the bounds on grants of the limits that this partition manages. */
  getGrantBounds(): readonly GrantBound[] {
    return [...this.log.state.getGrantBounds()];
  }

  /**
   * Records the bound on what a holder has been granted of a limit, so that a
   * successor knows it. The record is durable, or buffered and copied while the
   * platform is unavailable, before the promise settles; throws `fenced`.
   * @param bound - New bound; an amount of 0 removes it.
   */
  async recordGrantBound(bound: GrantBound): Promise<void> {
    this.checkIsHeld();
    const options = {isEssential: true};
    const durable = this.log.commit({kind: 'grant_noted', ...bound}, options);
    await this.log.waitForCommitOrCopy(durable);
  }

  /** Waits until all records added so far are durable; throws `fenced`. */
  async flush(): Promise<void> {
    await this.log.journal.flush();
  }

  /**
   * Rejects new calls, waits for those that must not run twice, commits all
   * records and stops. Other calls end with `not_holder`; when re-sent, they
   * resume at the next holder. Throws `fenced`, and `platform_unavailable` when
   * pending records could only be copied.
   * @param graceMs - Longest wait for calls, in milliseconds.
   */
  async close(graceMs = 0): Promise<void> {
    this.isClosing = true;
    this.timer?.cancel();
    await this.waitForOpenIntents(graceMs);
    this.abandonAll('not_holder');
    this.commitLazily({kind: 'partition_closed'});
    const {journal, partition} = this.log;
    if (await this.log.waitForCommitOrCopy(journal.close())) return;
    journal.stop();
    throw MarigoldpostError.create(
      'platform_unavailable',
      `partition "${partition}" was closed with records that are not durable: the platform is unavailable`,
    );
  }

  /** Whether a call is running that must not run twice. */
  hasOpenIntents(): boolean {
    return this.admission.getTickets().some((ticket) => ticket.hasOpenIntent);
  }

  /**
   * Stops immediately; records that are not durable are lost to this holder.
   */
  stop(): void {
    this.isClosing = true;
    this.log.journal.stop();
    this.abandonAll('not_holder');
  }

  /**
   * Stops the partition for a holder that has sealed it, and returns the
   * records that are not durable.
   */
  stopAndGetUncommitted(): CopiedRecords {
    const records = this.log.journal.getUncommittedRecords();
    this.stop();
    return records;
  }

  /** Gets the partition's program counts, uncommitted bytes and health. */
  getStatus(): HeldPartitionStatus {
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

  private endProgramTree(state: ProgramState): Promise<void> | undefined {
    let last: Promise<void> | undefined;
    const wallMs = this.options.clock.wallTimeMs();
    for (const {endedAtWallMs, program} of this.getProgramTree(state)) {
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

  /** Gets a program and all its descendants. */
  private getProgramTree(state: ProgramState): ProgramState[] {
    const tree = new Map([[state.program, state]]);
    for (const other of this.log.state.getPrograms()) {
      if (other.parent === undefined || !tree.has(other.parent)) continue;
      tree.set(other.program, other);
    }
    return [...tree.values()];
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

  private async waitForOpenIntents(graceMs: number): Promise<void> {
    const {clock} = this.options;
    const endMs = clock.nowMs() + graceMs;
    while (this.hasOpenIntents() && clock.nowMs() < endMs) {
      await clock.sleep(intentPollIntervalMs);
    }
  }

  private scheduleMaintenance(): void {
    this.timer = this.options.clock.setTimer(maintenanceIntervalMs, () => {
      if (this.isClosing || this.log.journal.isFenced()) return;
      this.expirePrograms();
      this.scheduleMaintenance();
    });
  }

  /** Ends programs whose wall time is used up; deletes expired ended ones. */
  private expirePrograms(): void {
    const wallMs = this.options.clock.wallTimeMs();
    const {keyRetentionMs = defaultKeyRetentionMs} = this.options;
    for (const state of [...this.log.state.getPrograms()]) {
      const {endedAtWallMs, program} = state;
      if (endedAtWallMs === undefined) this.endIfExpired(state, wallMs);
      else if (wallMs - endedAtWallMs > keyRetentionMs) {
        this.log.state.removeProgram(program);
      }
    }
  }

  private endIfExpired(state: ProgramState, wallMs: number): void {
    const root = this.log.state.getRoot(state);
    const startedAtMs = root.account.startedAtWallMs ?? root.addedAtWallMs;
    const isOver = wallMs - startedAtMs > root.budget.maxWallMs;
    if (!isOver || this.admission.getTickets(state.program).length > 0) return;
    void this.endProgramTree(state);
  }

  private commitLazily(record: Parameters<PartitionLog['commit']>[0]): void {
    const durable = this.log.commit(record, {isLazy: true, isEssential: true});
    // A fenced journal notifies its holder through `onFenced`.
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
