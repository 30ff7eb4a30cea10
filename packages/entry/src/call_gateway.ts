/** What the callers' HTTP needs from the rest of the daemon. */
import type {ProgramId, TeamId} from '@marigoldpost/common';
import type {
  Call,
  CallEvent,
  ProgramHistory,
  ProgramView,
} from '@marigoldpost/programs';
import type {BudgetConfig, OperatorsConfig} from '@marigoldpost/settings';

/** Request to open a program ahead of its first call. */
export interface ProgramRequest {
  readonly team: TeamId;
  readonly parent?: ProgramId;
  readonly budget: BudgetConfig;
}

/** Serves calls and programs, here or at the holder of their partition. */
export abstract class CallGateway {
  /** Gets the text in force; nothing until one is known. */
  abstract getConfig(): OperatorsConfig | undefined;

  /** Whether the daemon takes new calls. */
  abstract isReady(): boolean;

  /**
   * Runs a call. Failures are thrown with kind and outcome.
   * @param call - The admitted call.
   * @param signal - The caller went away.
   */
  abstract runCall(call: Call, signal: AbortSignal): AsyncIterable<CallEvent>;

  /**
   * Opens a program.
   * @param request - Its team, parent and budget.
   */
  abstract addProgram(request: ProgramRequest): Promise<ProgramView>;

  /**
   * Gets a program; throws `unknown_program`, also for another team's.
   * @param team - The caller's team.
   * @param program - The program.
   */
  abstract getProgram(team: TeamId, program: ProgramId): Promise<ProgramView>;

  /**
   * Gets a program's history; throws `unknown_program`.
   * @param team - The caller's team.
   * @param program - The program.
   */
  abstract getHistory(
    team: TeamId,
    program: ProgramId,
  ): Promise<ProgramHistory>;

  /**
   * Ends a program and releases its cache; idempotent.
   * @param team - The caller's team.
   * @param program - The program.
   */
  abstract endProgram(team: TeamId, program: ProgramId): Promise<ProgramView>;
}
