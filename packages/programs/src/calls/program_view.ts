/** Read-only views of programs for callers and operators. */
import type {
  CallId,
  PartitionId,
  ProgramId,
  ServiceId,
  TargetId,
  TeamId,
} from '@marigoldpost/common';
import type {BudgetConfig} from '@marigoldpost/settings';
import type {ChatMessage} from '@marigoldpost/targets';

/** State, placement and token usage of one call of a program. */
export interface CallView {
  readonly callId: CallId;
  readonly service: ServiceId;
  readonly state: 'waiting' | 'running' | 'finished' | 'failed' | 'unknown';
  readonly target?: TargetId;
  /** Time from admission to dispatch, in milliseconds. */
  readonly waitMs?: number;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly completionTokens: number;
  /** Terms of the placement decision that chose the target, by name. */
  readonly placementTerms?: Readonly<Record<string, number>>;
}

/** State of one program; usage covers the root program and all sub-agents. */
export interface ProgramView {
  readonly program: ProgramId;
  readonly partition: PartitionId;
  readonly team: TeamId;
  readonly parent?: ProgramId;
  readonly state: 'open' | 'ended';
  readonly budget: BudgetConfig;
  readonly usedTokens: number;
  /** Worst-case tokens of the calls that are running. */
  readonly reservedTokens: number;
  readonly usedCalls: number;
  readonly calls: readonly CallView[];
}

/** Messages of a program in turn order; empty once the program has ended. */
export interface ProgramHistory {
  readonly program: ProgramId;
  readonly messages: readonly ChatMessage[];
}
