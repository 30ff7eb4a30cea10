/** Placement by the earliest expected finish. */
import type {DataCentreId, Random} from '@marigoldpost/common';
import type {WaitingCall} from '../call_scheduler.js';
import type {TargetState} from '../targets/target_state.js';
import {FinishTerms} from './finish_terms.js';
import {
  type Placement,
  type PlacementContext,
  PlacementPolicy,
} from './placement_policy.js';

/** Wait bound and weights of the placement. */
export interface ExpectedFinishOptions {
  /** Maximum wait for a better target without room, in milliseconds. */
  readonly maxTargetWaitMs: number;
  /** Penalty for a target in another data centre, in milliseconds. */
  readonly remotePenaltyMs: number;
  /** Weight of the delay that a call's prefill causes to the running calls. */
  readonly prefillInterferenceWeight: number;
}

/** Options that suit typical engines. */
export const defaultExpectedFinishOptions: ExpectedFinishOptions = {
  maxTargetWaitMs: 30_000,
  remotePenaltyMs: 5,
  prefillInterferenceWeight: 2,
};

/** Random source, location and options of the placement. */
export interface ExpectedFinishDependencies {
  readonly random: Random;
  readonly dataCentre: DataCentreId;
  readonly options?: Partial<ExpectedFinishOptions>;
}

/** Chooses the lowest sum of wait, prefill, decode and distance terms. */
export class ExpectedFinishPlacement extends PlacementPolicy {
  override readonly usesCacheIndex = true;

  private constructor(
    private readonly random: Random,
    private readonly dataCentre: DataCentreId,
    private readonly options: ExpectedFinishOptions,
  ) {
    super();
  }

  /**
   * Creates the policy.
   * @param dependencies - Random source, data centre of the scheduler, and
   *   overrides of `defaultExpectedFinishOptions`.
   */
  static create({
    random,
    dataCentre,
    options,
  }: ExpectedFinishDependencies): ExpectedFinishPlacement {
    const merged = {...defaultExpectedFinishOptions, ...options};
    return new ExpectedFinishPlacement(random, dataCentre, merged);
  }

  override choose(
    call: WaitingCall,
    candidates: readonly TargetState[],
    context: PlacementContext,
  ): Placement | undefined {
    const waitedMs = context.nowMs - context.addedAtMs;
    const mustDispatchNow =
      call.isExclusive || waitedMs >= this.options.maxTargetWaitMs;
    const finishTerms = this.createFinishTerms(call, context);
    // A random start spreads the schedulers' choices among equal targets.
    const start = this.random.nextInteger(candidates.length);
    let best: TargetState | undefined;
    let bestMs = Infinity;
    for (let i = 0; i < candidates.length; i += 1) {
      const index = (start + i) % candidates.length;
      const target = candidates[index] as TargetState;
      if (mustDispatchNow && !target.hasRoom) continue;
      const finishMs = finishTerms.getFinishMs(target);
      if (finishMs >= bestMs) continue;
      best = target;
      bestMs = finishMs;
    }
    if (best === undefined) return undefined;
    if (best.hasRoom) return {target: best, terms: finishTerms.getTerms(best)};
    best.recordWindowFull();
    return undefined;
  }

  private createFinishTerms(
    call: WaitingCall,
    context: PlacementContext,
  ): FinishTerms {
    const {prefillInterferenceWeight, remotePenaltyMs} = this.options;
    const {dataCentre} = this;
    const options = {prefillInterferenceWeight, remotePenaltyMs, dataCentre};
    return FinishTerms.create(call, context, options);
  }
}
