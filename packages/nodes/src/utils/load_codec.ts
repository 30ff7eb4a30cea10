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
 * Most of each number of a load, far above what a fleet has at a target, so that
 * the sums of all daemons stay within the range of their fields: an archive could
 * reply to none of them otherwise.
 */
const maxRequests = 1_000_000;
const maxWorkMs = 1e9;
const maxSamples = 1_000_000;
/** Largest mean of relative latencies, as daemons bound each of them. */
const maxLatencyRatio = 10;

/**
 * Converts a message to a load. Work that is no number, or negative, counts as 0.
 * Latencies whose sum or number is none are left out: with a sum of 0, a target
 * would look faster than all others.
 * @param message - Message of another daemon.
 */
export function fromLoadMessage({
  target,
  requests,
  workMs,
  latencySum,
  latencyCount,
}: TargetLoadMessage): TargetLoad {
  const hasLatencies = isPositive(latencySum) && isPositive(latencyCount);
  const samples = hasLatencies ? Math.min(maxSamples, latencyCount) : 0;
  const mean = hasLatencies ? latencySum / latencyCount : 0;
  return {
    target: toId<TargetId>(target),
    requests: Math.min(maxRequests, requests),
    workMs: isPositive(workMs) ? Math.min(maxWorkMs, workMs) : 0,
    latencySum: Math.min(maxLatencyRatio, mean) * samples,
    latencyCount: samples,
  };
}

function isPositive(value: number): boolean {
  return Number.isFinite(value) && value > 0;
}
