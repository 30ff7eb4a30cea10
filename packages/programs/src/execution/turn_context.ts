/** Data that the runner of a call exchanges with its ticket. */
import type {ProgramId, TargetId} from '@marigoldpost/common';
import type {ChatMessage} from '@marigoldpost/targets';

/** Input for running one turn. */
export interface TurnContext {
  /** The program itself, or the outermost parent of a sub-agent. */
  readonly rootProgram: ProgramId;
  /** Complete history and the call's messages; empty for a plain call. */
  readonly messages: readonly ChatMessage[];
  /** Number of turns that the program has finished. */
  readonly turnIndex: number;
  /** 1 for the first attempt; higher when a previous holder dispatched it. */
  readonly attempt: number;
  /**
   * Identifies the generation. The same program, history and call always have
   * the same id, also at a successor.
   */
  readonly streamId: string;
  /** Number of the answer's tokens that this holder already has. */
  readonly resumeOffset: number;
  /** Worst-case number of tokens that the turn may use. */
  readonly reservedTokens: number;
  /** Remaining wall time of the program's budget, in milliseconds. */
  readonly remainingWallMs: number;
  /** Target that ran the call earlier, here or at the previous holder. */
  readonly previousTarget?: TargetId;
}

/** Relation of a dispatch to the previous one of the same call. */
export interface DispatchOptions {
  /** Outcome of the previous dispatch; `unknown` by default. */
  readonly previousOutcome?: 'not_run' | 'unknown';
  /** Resumes the same generation at the same target; no tokens are reserved. */
  readonly isResume?: boolean;
}

/**
 * Target, wait and placement of a finished turn, as the journal stores them.
 */
export interface TurnReport {
  readonly target: TargetId;
  /** Time from admission to dispatch, in milliseconds. */
  readonly waitMs: number;
  /** Terms of the placement decision that chose the target, by name. */
  readonly terms: Readonly<Record<string, number>>;
}
