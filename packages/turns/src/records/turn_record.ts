/** A finished turn as archives store it. */
import type {
  DataCentreId,
  ProgramId,
  TargetId,
  TenantId,
} from '@marigoldpost/common';
import type {PromptPart, TurnId} from '@marigoldpost/sites';
import type {DiskId} from '../log/disk_identity.js';

/** A finished turn; immutable. */
export interface TurnRecord {
  readonly id: TurnId;
  /** Turn that this one continues; `undefined` for the first of a chain. */
  readonly previous: TurnId | undefined;
  readonly program: ProgramId;
  /**
   * Tenant that made the turn; `undefined` on a site without tenants, and for
   * turns that an earlier build made or passed on.
   */
  readonly tenant?: TenantId | undefined;
  /** Data centre in which the program started. */
  readonly home: DataCentreId;
  /** Text that the turn appended to the prompt. */
  readonly input: Uint8Array;
  /** Data of the stream's events, each followed by a line feed. */
  readonly output: Uint8Array;
  /** Tokens that the turn generated. */
  readonly tokens: number;
  /** Time from the storing on for which archives keep the turn at least. */
  readonly retentionMs: number;
  /** Target that ran the turn; its cache may still contain the prompt. */
  readonly target: TargetId;
  /** Parts of the prompt that the target processed. */
  readonly prompt: readonly PromptPart[];
  /** Disks chosen to store the turn when it was written. */
  readonly disks: readonly DiskId[];
}

/** A turn with all its ancestors, oldest first. */
export type TurnChain = readonly TurnRecord[];

/** The part of a chain that one archive stores. */
export interface PartialChain {
  /** Oldest first; empty when the requested turn is not stored. */
  readonly turns: TurnChain;
  /** First ancestor that is not stored; `undefined` for a complete chain. */
  readonly missing: TurnId | undefined;
}

/**
 * Builds the prompt that a new turn sends to a target.
 * @param chain - Previous turns, oldest first.
 * @param input - Input of the new turn.
 */
export function buildPrompt(chain: TurnChain, input: Uint8Array): Buffer {
  const parts = chain.flatMap((turn) => [turn.input, turn.output]);
  return Buffer.concat([...parts, input]);
}
