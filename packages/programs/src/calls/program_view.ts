/** Programs as callers and operators see them. */
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

/** One call of a program, as it went. */
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
  /** Why that target: the decision's terms by name. */
  readonly placementTerms?: Readonly<Record<string, number>>;
}

/** One program. */
export interface ProgramView {
  readonly program: ProgramId;
  readonly partition: PartitionId;
  readonly team: TeamId;
  readonly parent?: ProgramId;
  readonly state: 'open' | 'ended';
  readonly budget: BudgetConfig;
  readonly usedTokens: number;
  /** Worst case of what is under way. */
  readonly reservedTokens: number;
  readonly usedCalls: number;
  readonly calls: readonly CallView[];
}

/** History of a program, in order. */
export interface ProgramHistory {
  readonly program: ProgramId;
  readonly messages: readonly ChatMessage[];
}
