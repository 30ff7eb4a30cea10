/** Parameter and result types of the program manager. */
import type {
  Epoch,
  PartitionId,
  ProgramId,
  TargetId,
  TeamId,
} from '@marigoldpost/common';
import type {BudgetConfig} from '@marigoldpost/settings';
import type {Call} from '../calls/call.js';
import type {CallTraits} from './call_traits.js';

/** Properties of a program to add. */
export interface AddProgramOptions {
  readonly team: TeamId;
  readonly budget: BudgetConfig;
  /** Program whose budget and partition the new one shares. */
  readonly parent?: ProgramId;
  /** Id of the program; a random one by default. */
  readonly program?: ProgramId;
}

/** A call that was running at the previous holder and may run again. */
export interface RecoveredCall {
  readonly call: Call;
  readonly traits: CallTraits;
  readonly target: TargetId;
}

/** An ended program whose cache a target has not yet released. */
export interface PendingRelease {
  readonly program: ProgramId;
  readonly target: TargetId;
}

/** Status of a held partition, for operators and metrics. */
export interface HeldPartitionStatus {
  readonly partition: PartitionId;
  readonly epoch: Epoch;
  readonly openPrograms: number;
  readonly endedPrograms: number;
  readonly callsInFlight: number;
  readonly uncommittedBytes: number;
  readonly isPlatformDown: boolean;
  readonly isFenced: boolean;
}

/** Limits that stop programs which loop endlessly. */
export interface LoopLimits {
  /** Maximum number of turns of one program. */
  readonly maxTurns: number;
  /** Maximum number of consecutive calls with the same content. */
  readonly maxRepeats: number;
}
