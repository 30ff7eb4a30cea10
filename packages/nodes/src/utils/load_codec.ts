/** Converts loads of targets to messages and back. */
import {create} from '@bufbuild/protobuf';
import {type TargetId, toId} from '@marigoldpost/common';
import type {TargetLoad} from '@marigoldpost/dispatch';
import {
  type TargetLoad as TargetLoadMessage,
  TargetLoadSchema,
} from '@marigoldpost/peers';

/**
 * Converts a load to a message.
 * @param load - Requests and latencies at a target.
 */
export function toLoadMessage(load: TargetLoad): TargetLoadMessage {
  return create(TargetLoadSchema, load);
}

/**
 * Converts a message to a load. A number that is none, or negative, counts as 0:
 * a daemon that is mistaken must not make a target look free.
 * @param message - Message of another daemon.
 */
export function fromLoadMessage({
  target,
  requests,
  workMs,
  latencySum,
  latencyCount,
}: TargetLoadMessage): TargetLoad {
  return {
    target: toId<TargetId>(target),
    requests,
    workMs: toCount(workMs),
    latencySum: toCount(latencySum),
    latencyCount: toCount(latencyCount),
  };
}

function toCount(value: number): number {
  return Number.isFinite(value) && value > 0 ? value : 0;
}
