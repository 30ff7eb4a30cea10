/** Converts rate limits of targets to messages and back. */
import {create} from '@bufbuild/protobuf';
import {type TargetId, toId} from '@marigoldpost/common';
import {
  type TargetLimit as TargetLimitMessage,
  TargetLimitSchema,
} from '../generated/marigoldpost/peers/v1/peers_pb.js';

/** Limit that a target instance has stated, with a time on the own clock. */
export interface StatedLimit {
  readonly target: TargetId;
  readonly startedAtMs: number;
  /** Requests per second of all entry VMs; `undefined` without a limit. */
  readonly limitPerS: number | undefined;
  readonly statedAtMs: number;
}

/**
 * Converts a limit to a message.
 * @param limit - Limit as known here.
 * @param nowMs - Time on the own clock.
 */
export function toTargetLimitMessage(
  {target, startedAtMs, limitPerS, statedAtMs}: StatedLimit,
  nowMs: number,
): TargetLimitMessage {
  const ageMs = Math.max(0, nowMs - statedAtMs);
  return create(TargetLimitSchema, {target, startedAtMs, limitPerS, ageMs});
}

/**
 * Converts a message to a limit.
 * @param message - Message of another daemon.
 * @param sentAtMs - Earliest time on the own clock at which it was sent.
 */
export function fromTargetLimitMessage(
  {target, startedAtMs, limitPerS, ageMs}: TargetLimitMessage,
  sentAtMs: number,
): StatedLimit {
  const statedAtMs = sentAtMs - ageMs;
  return {target: toId<TargetId>(target), startedAtMs, limitPerS, statedAtMs};
}
