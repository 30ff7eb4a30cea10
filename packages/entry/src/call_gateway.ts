/** Interface between the callers' HTTP API and the rest of the daemon. */
import type {ProgramId, TeamId} from '@marigoldpost/common';
import type {
  Call,
  CallEvent,
  ProgramHistory,
  ProgramView,
} from '@marigoldpost/programs';
import type {BudgetConfig, OperatorsConfig} from '@marigoldpost/settings';

/** Request to open a program before its first call. */
export interface ProgramRequest {
  readonly team: TeamId;
  readonly parent?: ProgramId;
  readonly budget: BudgetConfig;
}

/**
 * Serves calls and programs, on this daemon or on the one that holds their
 * partition.
 */
export abstract class CallGateway {
  /**
   * Gets the operators' configuration in force; `undefined` until the daemon
   * has received one.
   */
  abstract getConfig(): OperatorsConfig | undefined;

  /** Whether the daemon accepts new calls. */
  abstract isReady(): boolean;

  /**
   * Runs a call and yields its events. Throws a `MarigoldpostError` with kind
   * and outcome if the call fails.
   * @param call - Call whose team and service have been authorized.
   * @param signal - Aborted when the caller disconnects.
   */
  abstract runCall(call: Call, signal: AbortSignal): AsyncIterable<CallEvent>;

  /**
   * Opens a program.
   * @param request - Team, parent and budget of the program.
   */
  abstract addProgram(request: ProgramRequest): Promise<ProgramView>;

  /**
   * Gets a program. Throws `unknown_program`, also for another team's program.
   * @param team - The calling team.
   * @param program - Id of the program.
   */
  abstract getProgram(team: TeamId, program: ProgramId): Promise<ProgramView>;

  /**
   * Gets a program's messages. Throws `unknown_program`.
   * @param team - The calling team.
   * @param program - Id of the program.
   */
  abstract getHistory(
    team: TeamId,
    program: ProgramId,
  ): Promise<ProgramHistory>;

  /**
   * Ends a program and releases its cache; idempotent.
   * @param team - The calling team.
   * @param program - Id of the program.
   */
  abstract endProgram(team: TeamId, program: ProgramId): Promise<ProgramView>;
}
