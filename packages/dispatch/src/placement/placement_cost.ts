/**
 * Estimates when a target would finish a request.
 *
 * Load pattern: prompts share long parts and grow along a line, so a target
 * that has read them saves up to a tenth of a second; but a target that gets
 * all of a line's or a part's requests fills up. Many daemons that see equal
 * targets at the same moment must not all choose the same one.
 */
import type {DataCentreId} from '@marigoldpost/common';
import type {PromptPart} from '@marigoldpost/sites';
import type {TargetState} from '../targets/target_state.js';

/** Prompt tokens that an engine reads in a millisecond, as CAPACITY.md has it. */
const readTokensPerMs = 160;
/** What each running request costs the others: longer steps, a prompt to read. */
const contentionMs = 6;
/**
 * Ratio up to which a target counts as no slower than its peers. Streams of one
 * target differ this much by the prompts read beside them, and half of a turn is
 * more than the reading of a whole line.
 */
const evenPaceRatio = 1.5;
/** Mean time of a turn on an idle engine. */
const turnMs = 350;
/** Extra way and price of traffic between data centres, for a whole prompt. */
const remotePromptMs = 30;
/** The same for a short request. */
const remoteCallMs = 6;
/** Mean time of a short request. */
const callMs = 20;

/** Spreads equal targets over daemons; below what one running request costs. */
const spreadMs = 2;

/** What the estimate needs of a request. */
export interface PlacementRequest {
  /** Parts of the prompt; empty for plain services. */
  readonly prompt: readonly PromptPart[];
}

/** Where the estimate is made. */
export interface PlacementPlace {
  readonly dataCentre: DataCentreId;
  readonly nowMs: number;
  /** Pace that the targets' own is compared with. */
  readonly usualPace: number;
}

/**
 * Estimates the time until a target has finished a request, in milliseconds.
 * @param target - The target.
 * @param request - The request.
 * @param place - Data centre and time of the daemon.
 */
export function estimateFinishMs(
  target: TargetState,
  request: PlacementRequest,
  place: PlacementPlace,
): number {
  const isEngine = request.prompt.length > 0;
  const ratio = target.pace.getRatio(place.nowMs) / place.usualPace;
  const pace = ratio <= evenPaceRatio ? 1 : ratio;
  const isRemote = target.entry.dataCentre !== place.dataCentre;
  const meanMs = isEngine ? turnMs : callMs;
  const {slots} = target.entry;
  const waiting = Math.max(0, target.inFlight + 1 - slots);
  const queueMs = (waiting / slots) * meanMs;
  const workMs = isEngine
    ? getReadMs(target, request) + target.inFlight * contentionMs + turnMs
    : callMs * (1 + target.inFlight / slots);
  const remoteMs = isEngine ? remotePromptMs : remoteCallMs;
  const wayMs = isRemote ? remoteMs : 0;
  return (queueMs + workMs) * pace + wayMs + target.rank * spreadMs;
}

/**
 * Gets the pace of the middle one of some targets; of two, the faster one's.
 * @param targets - The targets, at least one.
 * @param nowMs - Time of the daemon's clock.
 */
export function getUsualPace(
  targets: readonly TargetState[],
  nowMs: number,
): number {
  const ratios = targets
    .map(({pace}) => pace.getRatio(nowMs))
    .toSorted((left, right) => left - right);
  return ratios[Math.floor((ratios.length - 1) / 2)] ?? 1;
}

function getReadMs(target: TargetState, {prompt}: PlacementRequest): number {
  let tokens = 0;
  for (const part of prompt) tokens += part.tokens;
  const unread = tokens - target.cache.getCachedTokens(prompt);
  return unread / readTokensPerMs;
}
