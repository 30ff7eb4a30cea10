/** What the runner of a call needs to know about its turn. */
import type {ProgramId, TargetId} from '@marigoldpost/common';
import type {ChatMessage} from '@marigoldpost/targets';

/** One turn, ready to run. */
export interface TurnContext {
  /** The program itself, or the outermost parent of a sub-agent. */
  readonly rootProgram: ProgramId;
  /** The whole history and the call's own messages; none for a plain call. */
  readonly messages: readonly ChatMessage[];
  /** Number of turns that the program has finished. */
  readonly turnIndex: number;
  /** 1 for the first run of the call, more after a takeover. */
  readonly attempt: number;
  /**
   * Names the generation: the same program, history and call always give the
   * same id, also at a successor.
   */
  readonly streamId: string;
  /** Tokens of the answer that are here already. */
  readonly resumeOffset: number;
  /** Worst case that the turn may use. */
  readonly reservedTokens: number;
  /** Time left of the program's wall time, in milliseconds. */
  readonly remainingWallMs: number;
  /** Target that ran the call before, here or at the previous holder. */
  readonly previousTarget?: TargetId;
}

/** Options of a dispatch. */
export interface DispatchOptions {
  /** What became of the dispatch before this one; `unknown` by default. */
  readonly previousOutcome?: 'not_run' | 'unknown';
  /** Picks the same generation up at the same target; nothing is reserved. */
  readonly isResume?: boolean;
}

/** How a turn went, for its record. */
export interface TurnReport {
  readonly target: TargetId;
  /** Time from admission to dispatch, in milliseconds. */
  readonly waitMs: number;
  /** Why that target: the decision's terms by name. */
  readonly terms: Readonly<Record<string, number>>;
}
