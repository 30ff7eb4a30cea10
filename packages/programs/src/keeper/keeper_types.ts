/** What a keeper is asked for and what it reports. */
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

/** A program to open. */
export interface AddProgramOptions {
  readonly team: TeamId;
  readonly budget: BudgetConfig;
  /** Program whose budget and partition the new one shares. */
  readonly parent?: ProgramId;
  /** Its id; a new one by default. */
  readonly program?: ProgramId;
}

/** A call that was under way at the previous holder. */
export interface RecoveredCall {
  readonly call: Call;
  readonly traits: CallTraits;
  readonly target: TargetId;
}

/** Cache of an ended program that a target may still hold. */
export interface PendingRelease {
  readonly program: ProgramId;
  readonly target: TargetId;
}

/** State of a held partition. */
export interface KeeperStatus {
  readonly partition: PartitionId;
  readonly epoch: Epoch;
  readonly openPrograms: number;
  readonly endedPrograms: number;
  readonly callsInFlight: number;
  readonly uncommittedBytes: number;
  readonly isPlatformDown: boolean;
  readonly isFenced: boolean;
}

/** Bounds against programs that loop without end. */
export interface LoopLimits {
  /** Most turns of one program. */
  readonly maxTurns: number;
  /** Most calls in a row that ask for the same. */
  readonly maxRepeats: number;
}
