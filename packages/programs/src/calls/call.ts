/** Calls as the entry VM admits them, and the events that callers receive. */
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

/** Fields common to calls of every kind. */
interface CallBase {
  readonly callId: CallId;
  readonly team: TeamId;
  readonly service: ServiceId;
  /** Absent when the call starts a new program. */
  readonly program?: ProgramId;
  readonly idempotencyKey?: IdempotencyKey;
  readonly callClass: CallClass;
  /** Budget of the new program, when the call starts one. */
  readonly budget: BudgetConfig;
  /** Time left until the caller's deadline, in milliseconds. */
  readonly timeoutMs: number;
}

/** A call to a model engine; runs as one turn of its program. */
export interface ChatCall extends CallBase {
  readonly kind: 'chat';
  readonly model: ModelId;
  /** New messages since the program's last turn; the history is stored. */
  readonly messages: readonly ChatMessage[];
  readonly maxTokens: number;
  /** Tokens that the caller has already received, when it resumes a stream. */
  readonly offsetTokens: number;
  /** Target that was running the call when its previous holder was lost. */
  readonly resumeTarget?: TargetId;
}

/** A call to a plain service; its HTTP request is forwarded as it is. */
export interface PlainCall extends CallBase {
  readonly kind: 'plain';
  readonly request: PlainRequest;
}

/** Any call; `kind` tells model engines and plain services apart. */
export type Call = ChatCall | PlainCall;

/** Token usage of a call, as the engine counted it. */
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

/** The complete answer of a call of any kind. */
export type CallAnswer = ChatAnswer | PlainAnswer;

/** First event of an answer: the call has a place in its program. */
export interface CallAccepted {
  readonly kind: 'accepted';
  readonly program: ProgramId;
  readonly callId: CallId;
  /** Whether the answer comes from an earlier call with the same id or key. */
  readonly isReplay: boolean;
}

/** The call was dispatched to a target; emitted again for each new target. */
export interface CallStarted {
  readonly kind: 'started';
  readonly target: TargetId;
}

/** One token of an answer; `index` counts from 0. */
export interface CallToken {
  readonly kind: 'token';
  readonly index: number;
  readonly text: string;
}

/** Last event: the answer is complete. */
export interface CallFinished {
  readonly kind: 'finished';
  readonly answer: CallAnswer;
  /** False when the platform is unavailable and the turn is not yet durable. */
  readonly isDurable: boolean;
}

/** Events of an answer, in order; a failure is thrown instead. */
export type CallEvent = CallAccepted | CallStarted | CallToken | CallFinished;
