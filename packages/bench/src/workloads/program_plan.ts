/** Programs of a workload; only the oracle policy may read their plans. */
import type {ServiceId} from '@marigoldpost/common';
import type {CallClass} from '@marigoldpost/settings';

/** One call of a program, and the sub-agents and pause after it. */
export interface CallPlan {
  /** Prompt tokens that the caller adds with the call. */
  readonly newTokens: number;
  readonly outputTokens: number;
  /** Pause between the answer and the next call, in milliseconds. */
  readonly pauseMs: number;
  /** Programs that run concurrently after the answer, before the pause. */
  readonly subAgents: readonly ProgramPlan[];
}

/** Calls of one program, and how its caller behaves. */
export interface ProgramPlan {
  /** Kind of work, for reports. */
  readonly kind: string;
  readonly service: ServiceId;
  readonly callClass: CallClass;
  /** Name of the shared system prompt, by kind and version. */
  readonly systemPrompt: string;
  readonly systemTokens: number;
  readonly calls: readonly CallPlan[];
  /** Whether the caller signals the end; otherwise the idle timeout ends it. */
  readonly notifiesEnd: boolean;
  /** Timeout of one call in milliseconds, after which the program ends. */
  readonly callTimeoutMs: number;
}

/** Program with its arrival time. */
export interface Arrival {
  readonly atMs: number;
  readonly plan: ProgramPlan;
}

/**
 * Counts all prompt and output tokens of a program, without its sub-agents.
 * @param plan - Program to count.
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
 * @param plan - Program, whose sub-agents do not count.
 */
export function getPauseMs(plan: ProgramPlan): number {
  return plan.calls.reduce((sum, {pauseMs}) => sum + pauseMs, 0);
}
