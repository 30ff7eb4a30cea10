/** Records of a partition's journal. */
import {
  toMarigoldpostError,
  type CallId,
  type ErrorKind,
  type Outcome,
  type ProgramId,
  type TargetId,
  type TeamId,
} from '@marigoldpost/common';
import type {BudgetConfig} from '@marigoldpost/settings';
import * as z from 'zod';
import type {Call, CallAnswer} from '../calls/call.js';
import type {CallTraits} from '../keeper/call_traits.js';
import type {TurnReport} from '../keeper/turn_context.js';
import type {ProgramState} from '../state/program_state.js';

/** How much of a budget may have been dispatched. */
export interface BudgetCap {
  readonly tokens: number;
  readonly calls: number;
}

/** A program was opened. */
export interface ProgramAdded {
  readonly kind: 'program_added';
  readonly program: ProgramId;
  readonly team: TeamId;
  readonly budget: BudgetConfig;
  readonly parent?: ProgramId;
  /** Wall time, in milliseconds since 1970. */
  readonly wallMs: number;
}

/** A call is about to be sent to a target; the intent of a plain call. */
export interface CallDispatched {
  readonly kind: 'call_dispatched';
  readonly program: ProgramId;
  readonly callId: CallId;
  /** The call, with its first dispatch. */
  readonly call?: Call;
  readonly traits: CallTraits;
  readonly target: TargetId;
  readonly reservedTokens: number;
  /** Tokens that a dispatch before this one may have used. */
  readonly lostTokens: number;
  /** The raised cap, when the one before did not cover the dispatch. */
  readonly cap?: BudgetCap;
  readonly wallMs: number;
}

/** A call got its complete answer. */
export interface CallCompleted {
  readonly kind: 'call_completed';
  readonly program: ProgramId;
  readonly callId: CallId;
  /** Absent when it was too large to keep. */
  readonly answer?: CallAnswer;
  readonly report: TurnReport;
  readonly usedTokens: number;
  /** Cap that also covers the program's next turn. */
  readonly cap: BudgetCap;
}

/** A dispatched call failed. */
export interface CallFailed {
  readonly kind: 'call_failed';
  readonly program: ProgramId;
  readonly callId: CallId;
  readonly error: FailureReason;
  readonly usedTokens: number;
}

/** Why a call failed. */
export interface FailureReason {
  readonly kind: ErrorKind;
  readonly message: string;
  readonly outcome: Outcome;
}

/** A program ended; its history is dropped. */
export interface ProgramEnded {
  readonly kind: 'program_ended';
  readonly program: ProgramId;
  readonly wallMs: number;
}

/** A target freed an ended program's cache. */
export interface CacheReleased {
  readonly kind: 'cache_released';
  readonly program: ProgramId;
  readonly target: TargetId;
}

/** The holder closed its journal: nothing is under way that is not recorded. */
export interface PartitionClosed {
  readonly kind: 'partition_closed';
}

/** A new holder has taken in all that came before. */
export interface PartitionRecovered {
  readonly kind: 'partition_recovered';
}

/** Bound on what a holder may have of a limit that the partition keeps. */
export interface GrantNote {
  readonly limit: string;
  readonly holder: string;
  /** Units; 0 once the holder has nothing. */
  readonly amount: number;
}

/** The bound on a holder's share of a limit changed. */
export interface GrantNoted extends GrantNote {
  readonly kind: 'grant_noted';
}

/** One program's whole state, in a snapshot. */
export interface ProgramSnapshot {
  readonly kind: 'program_snapshot';
  readonly state: ProgramState;
}

/** A record of a partition's journal. */
export type ProgramRecord =
  | ProgramAdded
  | CallDispatched
  | CallCompleted
  | CallFailed
  | ProgramEnded
  | CacheReleased
  | PartitionClosed
  | PartitionRecovered
  | GrantNoted
  | ProgramSnapshot;

const kindSchema = z.looseObject({
  kind: z.enum([
    'program_added',
    'call_dispatched',
    'call_completed',
    'call_failed',
    'program_ended',
    'cache_released',
    'partition_closed',
    'partition_recovered',
    'grant_noted',
    'program_snapshot',
  ]),
});

/**
 * Gets a journal's value as a record; throws when its kind is unknown, as in a
 * journal that a later version wrote.
 * @param value - Value from the journal.
 */
export function parseProgramRecord(value: unknown): ProgramRecord {
  return kindSchema.parse(value) as unknown as ProgramRecord;
}

/**
 * Gets the reason of a failure, for its record.
 * @param error - What was thrown.
 */
export function toFailureReason(error: Error): FailureReason {
  const {kind, message, outcome} = toMarigoldpostError(error);
  return {kind, message, outcome};
}
