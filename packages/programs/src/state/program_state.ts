/** State of one program; plain data, so that a snapshot can hold it. */
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
import type {CallTraits} from '../keeper/call_traits.js';
import type {TurnReport} from '../keeper/turn_context.js';
import type {FailureReason, ProgramAdded} from '../records/program_record.js';

/** One dispatched call. */
export interface CallState {
  readonly callId: CallId;
  readonly idempotencyKey?: IdempotencyKey;
  /** Digest of what the call asks for. */
  readonly digest: string;
  readonly service: ServiceId;
  readonly traits: CallTraits;
  state: 'running' | 'finished' | 'failed' | 'unknown';
  target: TargetId;
  reservedTokens: number;
  attempts: number;
  /** While the call runs. */
  call?: Call;
  usage?: Usage;
  report?: TurnReport;
  /** Kept while a re-sent call may ask for it. */
  answer?: CallAnswer;
  error?: FailureReason;
}

/** What a program and its sub-agents have used together. */
export interface BudgetAccount {
  usedTokens: number;
  usedCalls: number;
  /** Worst case of the calls that run. */
  reservedTokens: number;
  /** Most that may have been dispatched, committed ahead. */
  capTokens: number;
  capCalls: number;
  /** Wall time of the first call; nothing before it. */
  startedAtWallMs?: number;
}

/** One program. */
export interface ProgramState {
  readonly program: ProgramId;
  readonly team: TeamId;
  readonly parent?: ProgramId;
  /** Program whose account is used; itself unless it is a sub-agent's. */
  readonly root: ProgramId;
  readonly budget: BudgetConfig;
  readonly account: BudgetAccount;
  readonly addedAtWallMs: number;
  endedAtWallMs?: number;
  messages: ChatMessage[];
  /** Digest of the turns so far. */
  historyDigest: string;
  turnIndex: number;
  /** Tokens of the history, as the last engine counted them. */
  historyTokens: number;
  /** Dispatched calls, in order. */
  calls: CallState[];
  /** Targets that may hold cache of the program. */
  targets: TargetId[];
  lastDigest: string;
  /** Calls in a row that asked for the same. */
  repeats: number;
}

/**
 * Creates the state of a new program.
 * @param record - How it was opened.
 * @param root - Program whose account it uses.
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
 * Whether a call may be sent twice without harm.
 * @param traits - What the text says of its service.
 * @param key - The caller's key.
 */
export function isRepeatable(
  traits: CallTraits,
  key: IdempotencyKey | undefined,
): boolean {
  return traits.isIdempotent || (traits.deduplicatesByKey && key !== undefined);
}
