/** State of one program, as plain data that a snapshot can serialize. */
import type {
  CallId,
  IdempotencyKey,
  ProgramId,
  ServiceId,
  TargetId,
  TeamId,
} from '@marigoldpost/common';
import type {BudgetConfig} from '@marigoldpost/settings';
import type {ChatMessage} from '@marigoldpost/targets';
import type {Call, CallAnswer, Usage} from '../calls/call.js';
import type {CallTraits} from '../execution/call_traits.js';
import type {TurnReport} from '../execution/turn_context.js';
import type {FailureReason, ProgramAdded} from '../records/program_record.js';

/** State of one call that was dispatched at least once. */
export interface CallState {
  readonly callId: CallId;
  readonly idempotencyKey?: IdempotencyKey;
  /** Digest of the call's content. */
  readonly digest: string;
  readonly service: ServiceId;
  readonly traits: CallTraits;
  state: 'running' | 'finished' | 'failed' | 'unknown';
  target: TargetId;
  reservedTokens: number;
  attempts: number;
  /** Present while the call runs. */
  call?: Call;
  usage?: Usage;
  report?: TurnReport;
  /** Retained while a re-sent call may need it. */
  answer?: CallAnswer;
  error?: FailureReason;
}

/** Budget usage of a root program and all its sub-agents together. */
export interface BudgetAccount {
  usedTokens: number;
  usedCalls: number;
  /** Worst-case tokens of the calls that are running. */
  reservedTokens: number;
  /** Upper bound on the tokens of all dispatches, committed ahead of them. */
  capTokens: number;
  /** Upper bound on the calls dispatched, committed ahead of them. */
  capCalls: number;
  /** Wall-clock time of the first dispatch; absent before it. */
  startedAtWallMs?: number;
}

/** State of one program, open or ended. */
export interface ProgramState {
  readonly program: ProgramId;
  readonly team: TeamId;
  readonly parent?: ProgramId;
  /** Program whose account is used: the outermost parent, or itself. */
  readonly root: ProgramId;
  readonly budget: BudgetConfig;
  readonly account: BudgetAccount;
  readonly addedAtWallMs: number;
  endedAtWallMs?: number;
  messages: ChatMessage[];
  /** Digest of all finished turns; '' before the first. */
  historyDigest: string;
  /** Number of finished turns. */
  turnIndex: number;
  /** Tokens of the history, as counted by the engine of the last turn. */
  historyTokens: number;
  /** Dispatched calls, in order of their first dispatch. */
  calls: CallState[];
  /** Targets that may still cache data of the program. */
  targets: TargetId[];
  /** Digest of the content of the last call. */
  lastDigest: string;
  /** Number of consecutive calls with the same content. */
  repeats: number;
}

/**
 * Creates the state of a new program.
 * @param record - Record that added the program.
 * @param root - Program whose budget account it uses.
 */
export function createProgramState(
  record: ProgramAdded,
  root: ProgramId,
): ProgramState {
  return {
    program: record.program,
    team: record.team,
    parent: record.parent,
    root,
    budget: record.budget,
    account: createAccount(),
    addedAtWallMs: record.wallMs,
    messages: [],
    historyDigest: '',
    turnIndex: 0,
    historyTokens: 0,
    calls: [],
    targets: [],
    lastDigest: '',
    repeats: 0,
  };
}

function createAccount(): BudgetAccount {
  return {
    usedTokens: 0,
    usedCalls: 0,
    reservedTokens: 0,
    capTokens: 0,
    capCalls: 0,
  };
}

/**
 * Whether a call may be sent to a target more than once.
 * @param traits - Repeatability that the configuration declares for its
 * service.
 * @param key - Idempotency key of the call, if it has one.
 */
export function isRepeatable(
  traits: CallTraits,
  key: IdempotencyKey | undefined,
): boolean {
  return traits.isIdempotent || (traits.deduplicatesByKey && key !== undefined);
}
