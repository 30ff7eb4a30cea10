/** What the headers of a call and of its answer say. */
import type {Brand, ProgramId, TargetId} from '@marigoldpost/common';

/** A finished or running turn; the id of the request that asked for it. */
export type TurnId = Brand<string, 'TurnId'>;
/** A part of a prompt that engines cache as one. */
export type PromptPartId = Brand<string, 'PromptPartId'>;

/** One part of a prompt. */
export interface PromptPart {
  readonly id: PromptPartId;
  readonly tokens: number;
}

/** What a call's headers say. */
export interface CallAttributes {
  /** Unique for each attempt of a client; absent when the client sent none. */
  readonly requestId: string | undefined;
  /** Time that the client will wait, from the call's arrival. */
  readonly deadlineMs: number | undefined;
  readonly program: ProgramId | undefined;
  /** Time left until the whole program should be finished. */
  readonly finishMs: number | undefined;
  /** Tokens that all turns of the program may generate. */
  readonly budgetTokens: number | undefined;
  /** Most tokens that this turn generates. */
  readonly maxOutputTokens: number | undefined;
  readonly previousTurn: TurnId | undefined;
  /** Parts of the prompt, in order; the last is the line's own. */
  readonly prompt: readonly PromptPart[];
}

/** What the system tells a target beside the client's own headers. */
export interface DispatchTerms {
  /** Only this target may run the request. */
  readonly target: TargetId;
  /** Time after which the target stops. */
  readonly deadlineMs: number;
  readonly bodyBytes: number;
  /** Whether the request has a body, even an empty one. */
  readonly hasBody: boolean;
}

/** What an answer's headers say. */
export interface AnswerAttributes {
  /** Request that the target says it answers. */
  readonly requestId: string | undefined;
  /** Whether the answer carries the target's signature. */
  readonly isSigned: boolean;
  /** Whether the target says that it did not run the request. */
  readonly isNotRun: boolean;
}
