/** Programs of a workload, with the shape that no policy may read. */
import type {ServiceId} from '@marigoldpost/common';
import type {CallClass} from '@marigoldpost/settings';

/** One call of a program and what follows it. */
export interface CallPlan {
  /** Tokens that the caller adds before the call. */
  readonly newTokens: number;
  readonly outputTokens: number;
  /** Pause between the answer and the next call, in milliseconds. */
  readonly pauseMs: number;
  /** Programs that run at once after the answer, before the pause. */
  readonly subAgents: readonly ProgramPlan[];
}

/** One program. */
export interface ProgramPlan {
  /** Kind of work, for reports. */
  readonly kind: string;
  readonly service: ServiceId;
  readonly callClass: CallClass;
  /** Shared system prompt, named by kind and version. */
  readonly systemPrompt: string;
  readonly systemTokens: number;
  readonly calls: readonly CallPlan[];
  /** Whether the caller tells of the end; others idle out. */
  readonly tellsEnd: boolean;
  /** Longest wait for one answer before the caller gives up. */
  readonly patienceMs: number;
}

/** A program and when it arrives. */
export interface Arrival {
  readonly atMs: number;
  readonly plan: ProgramPlan;
}

/**
 * Gets all tokens that a program's prompts and answers have at its end.
 * @param plan - The program.
 */
export function countAllTokens(plan: ProgramPlan): number {
  let tokens = plan.systemTokens;
  for (const {newTokens, outputTokens} of plan.calls) {
    tokens += newTokens + outputTokens;
  }
  return tokens;
}

/**
 * Gets the sum of a program's own pauses, in milliseconds.
 * @param plan - The program.
 */
export function getPauseMs(plan: ProgramPlan): number {
  return plan.calls.reduce((sum, {pauseMs}) => sum + pauseMs, 0);
}
