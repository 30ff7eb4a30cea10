/** One held partition and the programs in it. */
import type {ProgramId, TargetId, TeamId} from '@marigoldpost/common';
import type {Call} from '../calls/call.js';
import type {ProgramHistory, ProgramView} from '../calls/program_view.js';
import type {CallTicket} from './call_ticket.js';
import type {CallTraits} from './call_traits.js';
import type {
  AddProgramOptions,
  KeeperStatus,
  PendingRelease,
  RecoveredCall,
} from './keeper_types.js';

/** Decides for the programs of one partition. */
export abstract class ProgramKeeper {
  /**
   * Opens a program; committed before it resolves.
   * @param options - Its team, budget, parent and id.
   */
  abstract addProgram(options: AddProgramOptions): Promise<ProgramView>;

  /**
   * Admits a call, joins it to a running one, or replays a finished one.
   * @param call - The call.
   * @param traits - Whether it may run twice.
   */
  abstract admitCall(call: Call, traits: CallTraits): CallTicket;

  /**
   * Gets a program; throws `unknown_program`, also for another team's.
   * @param team - The caller's team.
   * @param program - The program.
   */
  abstract getProgramViewOrThrow(team: TeamId, program: ProgramId): ProgramView;

  /**
   * Gets a program's history; throws `unknown_program`.
   * @param team - The caller's team.
   * @param program - The program.
   */
  abstract getHistoryOrThrow(team: TeamId, program: ProgramId): ProgramHistory;

  /**
   * Ends a program and its children; idempotent.
   * @param team - The caller's team.
   * @param program - The program.
   */
  abstract endProgram(team: TeamId, program: ProgramId): Promise<ProgramView>;

  /** Gets idempotent calls that the previous holder left under way. */
  abstract getRecoveredCalls(): readonly RecoveredCall[];

  /** Gets cache of ended programs that targets have not yet freed. */
  abstract getPendingReleases(): readonly PendingRelease[];

  /**
   * Notes that a target has freed an ended program's cache.
   * @param program - The program.
   * @param target - The target.
   */
  abstract noteReleased(program: ProgramId, target: TargetId): void;

  /** Commits everything that is pending. */
  abstract flush(): Promise<void>;

  /** Commits what is pending and takes nothing more. */
  abstract close(): Promise<void>;

  /** Gets the partition's state. */
  abstract getStatus(): KeeperStatus;
}
