/** Chooses the target of a request, by learned costs or by the own requests. */
import type {Clock, DataCentreId, TargetId} from '@marigoldpost/common';
import type {RateLimiter} from '../rate_limits/rate_limiter.js';
import type {TargetState} from '../targets/target_state.js';
import type {
  LearnedPlacement,
  LearnedRequest,
  TargetEstimate,
} from './learned_placement.js';
import {estimateFinishMs, getMedianLatencyRatio} from './placement_cost.js';

/** Target that a request should use, and when. */
export interface TargetChoice {
  readonly target: TargetState;
  /** Time until the target takes the request; 0 if it does now. */
  readonly delayMs: number;
  /** Time that waiting for the target is worth. */
  readonly horizonMs: number;
}

/** A request with its deadline. */
export interface ChooserRequest extends LearnedRequest {
  /** Deadline for the assignment to a target, on the daemon's clock. */
  readonly deadlineMs: number;
}

/** Time to finish a request, with its parts where learned costs decide. */
export type PlacementEstimate = Pick<TargetEstimate, 'finishMs'> &
  Partial<TargetEstimate>;

/** How the targets of a request are compared. */
export interface TargetEstimates {
  /** Learned costs; undefined where the own requests decide. */
  readonly learned: LearnedPlacement | undefined;
  /** Selects the targets to compare; draws some of many at random. */
  readonly selectTargets: () => readonly TargetState[];
  /** Estimates for one target; changes nothing. */
  readonly estimate: (target: TargetState) => PlacementEstimate;
}

/** Environment of a chooser. */
export interface TargetChooserOptions {
  readonly dataCentre: DataCentreId;
  readonly clock: Clock;
  readonly rateLimiter?: RateLimiter | undefined;
  /** Learned costs; undefined where the own requests decide. */
  readonly getLearned: () => LearnedPlacement | undefined;
}

/** Estimates for the targets that a request could use. */
export class TargetChooser {
  private constructor(private readonly options: TargetChooserOptions) {}

  /**
   * Creates a chooser.
   * @param options - Environment of the daemon.
   */
  static create(options: TargetChooserOptions): TargetChooser {
    return new TargetChooser(options);
  }

  /**
   * Chooses the target that would finish a request first.
   * @param request - Request to place.
   * @param open - Targets with room in the window of this daemon.
   * @param awaiting - Number of requests that have a claim on the next permits
   *   of each target.
   */
  choose(
    request: ChooserRequest,
    open: readonly TargetState[],
    awaiting: ReadonlyMap<TargetId, number>,
  ): TargetChoice | undefined {
    const nowMs = this.options.clock.nowMs();
    const candidates = this.getUsable(open);
    const {selectTargets, estimate} = this.createEstimates(request, candidates);
    let best: {target: TargetState; delayMs: number} | undefined;
    let bestMs = Number.POSITIVE_INFINITY;
    let secondMs = Number.POSITIVE_INFINITY;
    for (const target of selectTargets()) {
      const costMs = estimate(target).finishMs;
      const delayMs = this.getDelayMs(target, awaiting);
      if (costMs + delayMs >= bestMs) {
        secondMs = Math.min(secondMs, costMs + delayMs);
        continue;
      }
      secondMs = bestMs;
      best = {target, delayMs};
      bestMs = costMs + delayMs;
    }
    if (best === undefined) return undefined;
    const leftMs = request.deadlineMs - nowMs;
    const gainMs = secondMs - (bestMs - best.delayMs);
    return {...best, horizonMs: Math.min(leftMs, gainMs)};
  }

  /**
   * Gets the targets that are not ejected.
   * @param open - Targets with room in the window of this daemon.
   */
  getUsable(open: readonly TargetState[]): readonly TargetState[] {
    const nowMs = this.options.clock.nowMs();
    const usable = open.filter(({health, inFlight}) =>
      health.isUsable(nowMs, inFlight),
    );
    // If all targets fail, the fault may be this daemon's: ignore ejections.
    return usable.length > 0 ? usable : open;
  }

  /**
   * Creates the estimates by which targets are compared.
   * @param request - Request to place.
   * @param candidates - Targets that may receive it now.
   */
  createEstimates(
    request: LearnedRequest,
    candidates: readonly TargetState[],
  ): TargetEstimates {
    const learned = this.options.getLearned();
    if (learned?.hasReports(candidates) === true) {
      const meanUse = learned.getMeanUse(candidates);
      return {
        learned,
        selectTargets: () => learned.selectTargets(candidates, request),
        estimate: (target) => learned.estimate(target, request, meanUse),
      };
    }
    const {dataCentre, clock} = this.options;
    const nowMs = clock.nowMs();
    const medianLatencyRatio = getMedianLatencyRatio(candidates, nowMs);
    const context = {dataCentre, nowMs, medianLatencyRatio};
    return {
      learned: undefined,
      selectTargets: () => candidates,
      estimate: (target) => ({
        finishMs: estimateFinishMs(target, request, context),
      }),
    };
  }

  private getDelayMs(
    {entry}: TargetState,
    awaiting: ReadonlyMap<TargetId, number>,
  ): number {
    const {rateLimiter} = this.options;
    if (rateLimiter === undefined) return 0;
    return rateLimiter.getDelayMs(entry, awaiting.get(entry.id) ?? 0);
  }
}
