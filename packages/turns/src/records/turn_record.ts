/** A finished turn as archives keep it. */
import type {DataCentreId, ProgramId, TargetId} from '@marigoldpost/common';
import type {PromptPart, TurnId} from '@marigoldpost/sites';
import type {DiskId} from '../log/disk_identity.js';

/** A finished turn; never changes. */
export interface TurnRecord {
  readonly id: TurnId;
  /** Turn that it continues; nothing for the first of a chain. */
  readonly previous: TurnId | undefined;
  readonly program: ProgramId;
  /** Data centre in which the program began. */
  readonly home: DataCentreId;
  /** What the turn added to the prompt. */
  readonly input: Uint8Array;
  /** Data of its events, each followed by a line feed. */
  readonly output: Uint8Array;
  /** Tokens that it generated. */
  readonly tokens: number;
  readonly retentionMs: number;
  /** Target that ran it, and may keep what it read. */
  readonly target: TargetId;
  /** Parts of the prompt that the target read. */
  readonly prompt: readonly PromptPart[];
  /** Disks that were to hold it when it was written. */
  readonly disks: readonly DiskId[];
}

/** A turn with all turns before it, oldest first. */
export type TurnChain = readonly TurnRecord[];

/** A chain as far as one archive holds it. */
export interface PartialChain {
  /** Oldest first; empty when the turn asked for is not held. */
  readonly turns: TurnChain;
  /** Turn before the first one, which is not held; nothing when whole. */
  readonly missing: TurnId | undefined;
}

/**
 * Gets the prompt that a new turn sends to a target.
 * @param chain - Turns before it, oldest first.
 * @param input - What it adds.
 */
export function buildPrompt(chain: TurnChain, input: Uint8Array): Buffer {
  const parts = chain.flatMap((turn) => [turn.input, turn.output]);
  return Buffer.concat([...parts, input]);
}
