/** Converts statements of targets about themselves to messages and back. */
import {create} from '@bufbuild/protobuf';
import {type TargetId, toId} from '@marigoldpost/common';
import {
  type TargetLimit as TargetLimitMessage,
  TargetLimitSchema,
} from '../generated/marigoldpost/peers/v1/peers_pb.js';

/** What a target instance has stated, with times on the own clock. */
export interface StatedLimit {
  readonly target: TargetId;
  readonly startedAtMs: number;
  /** Requests per second of all entry VMs; `undefined` without a limit. */
  readonly limitPerS: number | undefined;
  /** When the limit was last stated; `-Infinity` if it never was. */
  readonly statedAtMs: number;
  /** When the instance first stated that it is leaving. */
  readonly leavingSinceMs: number | undefined;
}

/**
 * Converts a statement to a message.
 * @param limit - Statement as known here.
 * @param nowMs - Time on the own clock.
 */
export function toTargetLimitMessage(
  {target, startedAtMs, limitPerS, statedAtMs, leavingSinceMs}: StatedLimit,
  nowMs: number,
): TargetLimitMessage {
  const ageMs = Math.max(0, nowMs - statedAtMs);
  const leavingAgeMs =
    leavingSinceMs === undefined
      ? undefined
      : Math.max(0, nowMs - leavingSinceMs);
  return create(TargetLimitSchema, {
    target,
    startedAtMs,
    limitPerS,
    ageMs,
    leavingAgeMs,
  });
}

/**
 * Converts a message to a statement.
 * @param message - Message of another daemon.
 * @param sentAtMs - Earliest time on the own clock at which it was sent.
 */
export function fromTargetLimitMessage(
  {target, startedAtMs, limitPerS, ageMs, leavingAgeMs}: TargetLimitMessage,
  sentAtMs: number,
): StatedLimit {
  return {
    target: toId<TargetId>(target),
    startedAtMs,
    limitPerS,
    statedAtMs: sentAtMs - ageMs,
    leavingSinceMs:
      leavingAgeMs === undefined ? undefined : sentAtMs - leavingAgeMs,
  };
}
