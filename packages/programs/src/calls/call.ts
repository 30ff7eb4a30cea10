/** Calls as the entry admits them, and what their callers get. */
import type {
  CallId,
  IdempotencyKey,
  ModelId,
  ProgramId,
  ServiceId,
  TargetId,
  TeamId,
} from '@marigoldpost/common';
import type {BudgetConfig, CallClass} from '@marigoldpost/settings';
import type {
  ChatMessage,
  PlainRequest,
  PlainResponse,
} from '@marigoldpost/targets';

/** What calls of every kind have. */
interface CallBase {
  readonly callId: CallId;
  readonly team: TeamId;
  readonly service: ServiceId;
  /** Absent when the call opens a program. */
  readonly program?: ProgramId;
  readonly idempotencyKey?: IdempotencyKey;
  readonly callClass: CallClass;
  /** Budget of the program that the call opens. */
  readonly budget: BudgetConfig;
  /** Time left until the caller's deadline, in milliseconds. */
  readonly timeoutMs: number;
}

/** A call to a model engine. */
export interface ChatCall extends CallBase {
  readonly kind: 'chat';
  readonly model: ModelId;
  /** Messages since the program's last turn. */
  readonly messages: readonly ChatMessage[];
  readonly maxTokens: number;
  /** Tokens that the caller already has, when it resumes a stream. */
  readonly offsetTokens: number;
  /** Target that ran the call before its holder was lost. */
  readonly resumeTarget?: TargetId;
}

/** A call to a plain service. */
export interface PlainCall extends CallBase {
  readonly kind: 'plain';
  readonly request: PlainRequest;
}

/** A call. */
export type Call = ChatCall | PlainCall;

/** Tokens that a call used. */
export interface Usage {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly completionTokens: number;
}

/** The complete answer of a call to a model engine. */
export interface ChatAnswer {
  readonly kind: 'chat';
  readonly tokens: readonly string[];
  readonly finishReason: 'stop' | 'length';
  readonly usage: Usage;
}

/** The complete answer of a call to a plain service. */
export interface PlainAnswer {
  readonly kind: 'plain';
  readonly response: PlainResponse;
}

/** A complete answer. */
export type CallAnswer = ChatAnswer | PlainAnswer;

/** First event of an answer. */
export interface CallAccepted {
  readonly kind: 'accepted';
  readonly program: ProgramId;
  readonly callId: CallId;
  /** Whether the answer is that of an earlier call with the same key. */
  readonly isReplay: boolean;
}

/** The call has been sent to a target; sent again for each attempt. */
export interface CallStarted {
  readonly kind: 'started';
  readonly target: TargetId;
}

/** One token of an answer. */
export interface CallToken {
  readonly kind: 'token';
  readonly index: number;
  readonly text: string;
}

/** Last event: the answer is complete and committed. */
export interface CallFinished {
  readonly kind: 'finished';
  readonly answer: CallAnswer;
  /** False while the platform is away and the turn is not yet durable. */
  readonly isDurable: boolean;
}

/** What a caller gets; failures are thrown. */
export type CallEvent = CallAccepted | CallStarted | CallToken | CallFinished;
