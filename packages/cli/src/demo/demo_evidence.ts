/** What the demo's callers and stand-ins saw. */
import type {DemoMessage} from './demo_caller.js';

/** One program as its caller saw it. */
export interface ProgramEvidence {
  /** Empty when it was never opened. */
  readonly program: string;
  readonly isFinished: boolean;
  /** Why it was given up; empty when it finished. */
  readonly failure: string;
  readonly latencyMs: number;
  /** What the caller said and was answered, in order. */
  readonly expected: readonly DemoMessage[];
  /** History that the system gave at the end; nothing if it was not read. */
  readonly history: readonly DemoMessage[] | undefined;
  /** Program whose budget it draws on; itself without a parent. */
  readonly root: string;
}

/** One booking as its caller saw it. */
export interface BookingEvidence {
  readonly key: string;
  readonly result: 'confirmed' | 'not_run' | 'unknown';
}

/** Tokens that the engines spent on one program. */
export interface TokenEvidence {
  readonly program: string;
  readonly tokens: number;
}

/** Everything that a run is judged by. */
export interface DemoEvidence {
  readonly programs: readonly ProgramEvidence[];
  readonly bookings: readonly BookingEvidence[];
  /** Keys of the bookings that the plain service ran, in order. */
  readonly executedKeys: readonly string[];
  readonly engineTokens: readonly TokenEvidence[];
  /** Most tokens that one program and its sub-agents may use. */
  readonly budgetTokens: number;
  readonly heldBlockMs: number;
  readonly wastedBlockMs: number;
}
