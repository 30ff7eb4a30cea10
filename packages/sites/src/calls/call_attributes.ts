/** Decoded headers of a call and of its response. */
import type {Brand, ProgramId, TargetId, TenantId} from '@marigoldpost/common';

/** Id of a finished or running turn: the id of the request that started it. */
export type TurnId = Brand<string, 'TurnId'>;
/** Id of a prompt part that engines cache as a unit. */
export type PromptPartId = Brand<string, 'PromptPartId'>;

/** One part of a prompt and its length in tokens. */
export interface PromptPart {
  readonly id: PromptPartId;
  readonly tokens: number;
}

/** Decoded headers of a client's call; absent or malformed values are unset. */
export interface CallAttributes {
  /** Unique per attempt of a client; `undefined` when the client sent none. */
  readonly requestId: string | undefined;
  /** Time for which the client waits, from the call's arrival. */
  readonly deadlineMs: number | undefined;
  readonly program: ProgramId | undefined;
  /** Time left until the whole program should finish. */
  readonly finishMs: number | undefined;
  /** Tokens that all turns of the program may generate. */
  readonly budgetTokens: number | undefined;
  /** Upper bound of the tokens that this turn generates. */
  readonly maxOutputTokens: number | undefined;
  /** Client's estimate of these tokens. */
  readonly outputHintTokens?: number | undefined;
  readonly previousTurn: TurnId | undefined;
  /** Key of the client's tenant; never logged and never sent to a target. */
  readonly apiKey?: string | undefined;
  /** Parts of the prompt, in order; the last one is specific to this call. */
  readonly prompt: readonly PromptPart[];
}

/** Who a call is from, on a site with tenants. */
export interface CallerIdentity {
  /** `undefined` for a call of a public route without a known key. */
  readonly tenant: TenantId | undefined;
}

/** Values that are sent to a target in addition to the client's headers. */
export interface DispatchParameters {
  /** Only target that may run the request. */
  readonly target: TargetId;
  /** Time after which the target stops the request. */
  readonly deadlineMs: number;
  readonly bodyBytes: number;
  /** Whether the request has a body, which may be empty. */
  readonly hasBody: boolean;
  /** `undefined` on a site without tenants: the client's headers stay. */
  readonly caller?: CallerIdentity | undefined;
}

/** Decoded headers of a target's response. */
export interface ResponseAttributes {
  /** Id of the request that the response is for, as the target reports it. */
  readonly requestId: string | undefined;
  /** Whether the response has the target's signature header. */
  readonly isSigned: boolean;
  /** Whether the target reports that it did not run the request. */
  readonly isNotRun: boolean;
  /**
   * Requests per second that the target takes from all entry VMs together;
   * `undefined` if it states no limit.
   */
  readonly rateLimitPerS: number | undefined;
  /** Whether the target states that it is leaving. */
  readonly isLeaving: boolean;
}
