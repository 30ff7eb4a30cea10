/** Observations of the demo's callers and stand-ins. */
import type {DemoMessage} from './demo_caller.js';

/** Course of one program, as its caller observed it. */
export interface ProgramEvidence {
  /** Id of the program; empty when it was never opened. */
  readonly program: string;
  readonly isFinished: boolean;
  /** Error that ended the program early; empty when it finished. */
  readonly failure: string;
  readonly latencyMs: number;
  /** Messages that the caller sent and received, in order. */
  readonly expected: readonly DemoMessage[];
  /** History that the system returned at the end; `undefined` if not read. */
  readonly history: readonly DemoMessage[] | undefined;
  /** Program whose budget is used: the parent, or the program itself. */
  readonly root: string;
}

/** Result of one booking, as its caller observed it. */
export interface BookingEvidence {
  readonly key: string;
  readonly result: 'confirmed' | 'not_run' | 'unknown';
}

/** Prompt and generated tokens of one engine stream of a program. */
export interface TokenEvidence {
  readonly program: string;
  readonly tokens: number;
}

/** Input of `evaluateDemo`. */
export interface DemoEvidence {
  readonly programs: readonly ProgramEvidence[];
  readonly bookings: readonly BookingEvidence[];
  /** Idempotency keys of bookings that the plain service executed, in order. */
  readonly executedKeys: readonly string[];
  readonly engineTokens: readonly TokenEvidence[];
  /** Token limit of one program together with its sub-agents. */
  readonly budgetTokens: number;
  readonly heldBlockMs: number;
  readonly wastedBlockMs: number;
}
