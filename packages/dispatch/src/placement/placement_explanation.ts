/**
 * Describes where a request would go now, and why. Reads the state that decides
 * and changes none of it: nothing is drawn, counted, learned, reserved or sent.
 */
import type {DataCentreId, TargetId} from '@marigoldpost/common';
import type {SharedLoads} from '../load/shared_loads.js';
import type {RateLimiter} from '../rate_limits/rate_limiter.js';
import type {TargetState} from '../targets/target_state.js';
import type {
  PlacementEstimate,
  TargetChooser,
  TargetEstimates,
} from './target_chooser.js';
import type {LearnedRequest} from './learned_placement.js';

/**
 * Why a target may not receive a request: excluded by the request, stated to be
 * leaving, ejected after failures, or as many requests of this daemon as allowed.
 */
export type UnusableReason = 'excluded' | 'leaving' | 'ejected' | 'window_full';

/** Requests of the other daemons at a target, as reported. */
export interface ReportedLoad {
  readonly requests: number;
  readonly workMs: number;
  readonly ageMs: number;
}

/** What decides about one target. */
export interface ExplainedTarget {
  readonly id: TargetId;
  readonly dataCentre: DataCentreId;
  /** `undefined` if the target may receive the request now. */
  readonly unusable: UnusableReason | undefined;
  /** Whether it is used only because every open target is ejected. */
  readonly ignoresEjection: boolean;
  readonly estimate: PlacementEstimate;
  /** Time until a rate limit lets the request through. */
  readonly delayMs: number;
  /** Requests of this daemon in flight, and how many are allowed. */
  readonly ownRequests: number;
  readonly window: number;
  /** `undefined` without a recent report. */
  readonly others: ReportedLoad | undefined;
  /** Probability that the target is compared with others. */
  readonly comparedShare: number;
  /** Probability that the target is chosen. */
  readonly chosenShare: number;
}

/**
 * What would happen to a request: sent at once, queued until a rate limit or a
 * window has room, or refused.
 */
export type PlacementOutcome =
  'sent' | 'waits_for_rate_limit' | 'waits_for_window' | 'no_target';

/** Where a request would go now. */
export interface PlacementExplanation {
  /** Whether learned costs and the loads by other daemons decide. */
  readonly usesLearnedCosts: boolean;
  /** Whether the targets to compare are drawn at random. */
  readonly isDrawn: boolean;
  readonly outcome: PlacementOutcome;
  /** Target that is chosen; if targets are drawn, the most probable one. */
  readonly chosen: TargetId | undefined;
  readonly targets: readonly ExplainedTarget[];
}

/** State of the dispatcher that decides. */
export interface ExplanationContext {
  readonly nowMs: number;
  readonly targets: readonly TargetState[];
  /** Targets that are not excluded and not leaving. */
  readonly candidates: readonly TargetState[];
  readonly excluded: ReadonlySet<TargetId>;
  /** Requests that have a claim on the next permits of each target. */
  readonly awaiting: ReadonlyMap<TargetId, number>;
  readonly chooser: TargetChooser;
  readonly rateLimiter: RateLimiter | undefined;
  readonly sharedLoads: SharedLoads | undefined;
  readonly getWindow: (target: TargetState) => number;
}

/**
 * Describes where a request would go now.
 * @param request - Request that is not sent.
 * @param context - State of the dispatcher.
 */
export function explainPlacement(
  request: LearnedRequest,
  context: ExplanationContext,
): PlacementExplanation {
  return new PlacementExplainer(request, context).explain();
}

class PlacementExplainer {
  /** Candidates with room in the window. */
  private readonly open: readonly TargetState[];
  /** Targets that may receive the request now. */
  private readonly usable: readonly TargetState[];
  private readonly estimates: TargetEstimates;

  constructor(
    private readonly request: LearnedRequest,
    private readonly context: ExplanationContext,
  ) {
    const {candidates, chooser, getWindow} = context;
    this.open = candidates.filter(
      (target) => target.inFlight < getWindow(target),
    );
    this.usable = chooser.getUsable(this.open);
    // With every window full, the estimates still tell how targets compare.
    const compared = this.usable.length > 0 ? this.usable : context.targets;
    this.estimates = chooser.createEstimates(request, compared);
  }

  explain(): PlacementExplanation {
    const chosenShares = this.getChosenShares();
    const targets = this.context.targets.map((target) =>
      this.explainTarget(target, chosenShares.get(target) ?? 0),
    );
    let best: ExplainedTarget | undefined;
    for (const target of targets) {
      if (target.chosenShare > (best?.chosenShare ?? 0)) best = target;
    }
    return {
      usesLearnedCosts: this.estimates.learned !== undefined,
      isDrawn: targets.some(
        ({comparedShare}) => comparedShare > 0 && comparedShare < 1,
      ),
      outcome: this.getOutcome(best),
      chosen: best?.id,
      targets,
    };
  }

  private explainTarget(
    target: TargetState,
    chosenShare: number,
  ): ExplainedTarget {
    const {nowMs, sharedLoads, getWindow} = this.context;
    const {id, dataCentre} = target.entry;
    const others = sharedLoads?.get(target.entry, nowMs);
    const isUsable = this.usable.includes(target);
    return {
      id,
      dataCentre,
      unusable: isUsable ? undefined : this.getUnusableReason(target),
      ignoresEjection:
        isUsable && !target.health.isUsable(nowMs, target.inFlight),
      estimate: this.estimates.estimate(target),
      delayMs: this.getDelayMs(target),
      ownRequests: target.inFlight,
      window: getWindow(target),
      others: others && {
        requests: others.requests,
        workMs: others.workMs,
        ageMs: others.ageMs,
      },
      comparedShare: isUsable ? 1 - this.getMissProbability([target]) : 0,
      chosenShare,
    };
  }

  private getUnusableReason(target: TargetState): UnusableReason {
    const {excluded, candidates} = this.context;
    if (excluded.has(target.entry.id)) return 'excluded';
    if (!candidates.includes(target)) return 'leaving';
    return this.open.includes(target) ? 'ejected' : 'window_full';
  }

  /**
   * Gets the probability with which each target is chosen: that it is drawn and
   * no target with a lower cost is.
   */
  private getChosenShares(): Map<TargetState, number> {
    const costs = new Map(
      this.usable.map((target) => [target, this.getCostMs(target)]),
    );
    const ordered = this.usable.toSorted(
      (left, right) => (costs.get(left) ?? 0) - (costs.get(right) ?? 0),
    );
    const shares = new Map<TargetState, number>();
    let noneBefore = 1;
    for (const [index, target] of ordered.entries()) {
      const none = this.getMissProbability(ordered.slice(0, index + 1));
      shares.set(target, noneBefore - none);
      noneBefore = none;
    }
    return shares;
  }

  private getMissProbability(missed: readonly TargetState[]): number {
    const {learned} = this.estimates;
    if (learned === undefined) return missed.length === 0 ? 1 : 0;
    return learned.getMissProbability(
      this.usable,
      this.request,
      new Set(missed),
    );
  }

  private getCostMs(target: TargetState): number {
    return this.estimates.estimate(target).finishMs + this.getDelayMs(target);
  }

  private getDelayMs({entry}: TargetState): number {
    const {rateLimiter, awaiting} = this.context;
    return rateLimiter?.peekDelayMs(entry, awaiting.get(entry.id) ?? 0) ?? 0;
  }

  private getOutcome(best: ExplainedTarget | undefined): PlacementOutcome {
    if (best === undefined) {
      const hasCandidates = this.context.candidates.length > 0;
      return hasCandidates ? 'waits_for_window' : 'no_target';
    }
    return best.delayMs > 0 ? 'waits_for_rate_limit' : 'sent';
  }
}
