/**
 * Estimates when a target would finish a request.
 *
 * Load pattern: prompts share long parts and grow along a chain of turns. A
 * target that has them cached saves up to a tenth of a second, but it fills up
 * if it receives every request of a chain or with a shared part. Many daemons
 * that see equal targets at the same moment must not all choose the same one.
 */
import type {DataCentreId} from '@marigoldpost/common';
import type {PromptPart} from '@marigoldpost/sites';
import type {TargetState} from '../targets/target_state.js';

/** Prompt tokens that an engine prefills per millisecond; see CAPACITY.md. */
const prefillTokensPerMs = 160;
/** Delay from each running request: longer decode steps and its prefill. */
const contentionMs = 6;
/**
 * Latency ratio up to which a target counts as no slower than its peers. The
 * streams of one target differ this much by the concurrent prefills. Also, half
 * the time of a turn exceeds the prefill time of a whole chain, so a lower
 * threshold would move chains away from their cached prompts.
 */
const toleratedLatencyRatio = 1.5;
/** Mean time of a turn on an idle engine. */
const meanTurnMs = 350;
/** Latency and price of a whole prompt between data centres. */
const remotePromptPenaltyMs = 30;
/** Latency and price of a short request between data centres. */
const remoteCallPenaltyMs = 6;
/** Mean time of a request to a plain service. */
const meanCallMs = 20;

/**
 * Maximum random term, which makes daemons choose different ones of equal
 * targets; less than the delay from one running request.
 */
const spreadMs = 2;

/** Properties of a request that the estimate depends on. */
export interface PlacementRequest {
  /** Parts of the prompt; empty for plain services. */
  readonly prompt: readonly PromptPart[];
}

/** Location and time of the estimate, and the peers' latency. */
export interface EstimateContext {
  readonly dataCentre: DataCentreId;
  readonly nowMs: number;
  /** Median of the candidates' latency ratios. */
  readonly medianLatencyRatio: number;
}

/**
 * Estimates the time until a target has finished a request, in milliseconds,
 * plus the penalty for another data centre.
 * @param target - Target to estimate for.
 * @param request - Request to place.
 * @param context - Data centre and time of the daemon, and the median ratio.
 */
export function estimateFinishMs(
  target: TargetState,
  request: PlacementRequest,
  context: EstimateContext,
): number {
  const isEngine = request.prompt.length > 0;
  const ratio =
    target.relativeLatency.getRatio(context.nowMs) / context.medianLatencyRatio;
  const slowdown = ratio <= toleratedLatencyRatio ? 1 : ratio;
  const isRemote = target.entry.dataCentre !== context.dataCentre;
  const meanMs = isEngine ? meanTurnMs : meanCallMs;
  const {slots} = target.entry;
  const waiting = Math.max(0, target.inFlight + 1 - slots);
  const queueMs = (waiting / slots) * meanMs;
  const workMs = isEngine
    ? getPrefillMs(target, request) +
      target.inFlight * contentionMs +
      meanTurnMs
    : meanCallMs * (1 + target.inFlight / slots);
  const penaltyMs = isEngine ? remotePromptPenaltyMs : remoteCallPenaltyMs;
  const remoteMs = isRemote ? penaltyMs : 0;
  return (queueMs + workMs) * slowdown + remoteMs + target.tieBreak * spreadMs;
}

/**
 * Gets the median of the targets' latency ratios; the lower one of two middle
 * ratios, and 1 without targets.
 * @param targets - Candidates for a request.
 * @param nowMs - Time on the daemon's clock.
 */
export function getMedianLatencyRatio(
  targets: readonly TargetState[],
  nowMs: number,
): number {
  const ratios = targets
    .map(({relativeLatency}) => relativeLatency.getRatio(nowMs))
    .toSorted((left, right) => left - right);
  return ratios[Math.floor((ratios.length - 1) / 2)] ?? 1;
}

function getPrefillMs(target: TargetState, {prompt}: PlacementRequest): number {
  let tokens = 0;
  for (const part of prompt) tokens += part.tokens;
  const uncachedTokens = tokens - target.promptCache.getCachedTokens(prompt);
  return uncachedTokens / prefillTokensPerMs;
}
