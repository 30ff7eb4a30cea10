/** Records that a partition's journal stores. */
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
import type {CallTraits} from '../execution/call_traits.js';
import type {TurnReport} from '../execution/turn_context.js';
import type {ProgramState} from '../state/program_state.js';

/**
 * Upper bound on what dispatches may have used of a budget. It is committed
 * ahead of the dispatches, and a recovery counts all of it as used.
 */
export interface BudgetCap {
  readonly tokens: number;
  readonly calls: number;
}

/** A program was added to the partition. */
export interface ProgramAdded {
  readonly kind: 'program_added';
  readonly program: ProgramId;
  readonly team: TeamId;
  readonly budget: BudgetConfig;
  readonly parent?: ProgramId;
  /** Wall-clock time, in milliseconds since 1970. */
  readonly wallMs: number;
}

/**
 * A call is about to be sent to a target. For a call that must not run twice,
 * this record is the intent that must be durable before the request is sent.
 */
export interface CallDispatched {
  readonly kind: 'call_dispatched';
  readonly program: ProgramId;
  readonly callId: CallId;
  /** The call; present only in the record of its first dispatch. */
  readonly call?: Call;
  readonly traits: CallTraits;
  readonly target: TargetId;
  readonly reservedTokens: number;
  /** Tokens that the previous dispatch of the call may have used. */
  readonly lostTokens: number;
  /** Raised cap; absent when the committed cap covers the dispatch. */
  readonly cap?: BudgetCap;
  readonly wallMs: number;
}

/** A call received its complete answer. */
export interface CallCompleted {
  readonly kind: 'call_completed';
  readonly program: ProgramId;
  readonly callId: CallId;
  /** Absent when the answer is too large to retain. */
  readonly answer?: CallAnswer;
  readonly report: TurnReport;
  readonly usedTokens: number;
  /** Cap that also covers the expected usage of the program's next turn. */
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

/** Error of a failed call, in the form that the journal stores. */
export interface FailureReason {
  readonly kind: ErrorKind;
  readonly message: string;
  readonly outcome: Outcome;
}

/** A program ended; its history is deleted. */
export interface ProgramEnded {
  readonly kind: 'program_ended';
  readonly program: ProgramId;
  readonly wallMs: number;
}

/** A target released the cache of an ended program. */
export interface CacheReleased {
  readonly kind: 'cache_released';
  readonly program: ProgramId;
  readonly target: TargetId;
}

/**
 * The holder closed its journal. Every dispatch is recorded, so the caps shrink
 * to what is used and reserved.
 */
export interface PartitionClosed {
  readonly kind: 'partition_closed';
}

/**
 * A new holder has applied all earlier records, copies from peers included.
 */
export interface PartitionRecovered {
  readonly kind: 'partition_recovered';
}

/**
 * Upper bound on what one holder may have been granted of a limit that this
 * partition manages.
 */
export interface GrantBound {
  readonly limit: string;
  readonly holder: string;
  /** Units of the limit; 0 removes the bound. */
  readonly amount: number;
}

/** The bound on what a holder has been granted of a limit changed. */
export interface GrantNoted extends GrantBound {
  readonly kind: 'grant_noted';
}

/** Complete state of one program; occurs only in snapshots. */
export interface ProgramSnapshot {
  readonly kind: 'program_snapshot';
  readonly state: ProgramState;
}

/** Any record of a partition's journal; `kind` tells them apart. */
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
 * Gets a journal value as a record. Throws when its kind is unknown, for
 * example when a later version wrote the journal. Only the kind is checked.
 * @param value - Parsed JSON value from the journal.
 */
export function parseProgramRecord(value: unknown): ProgramRecord {
  return kindSchema.parse(value) as unknown as ProgramRecord;
}

/**
 * Gets the kind, message and outcome of an error, for a `call_failed` record.
 * @param error - Error that ended the call.
 */
export function toFailureReason(error: Error): FailureReason {
  const {kind, message, outcome} = toMarigoldpostError(error);
  return {kind, message, outcome};
}
