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

/** Settings of the placement. */
export interface ExpectedFinishOptions {
  /** Longest wait for a better target that has no room, in milliseconds. */
  readonly maxTargetWaitMs: number;
  /** Cost of a target in another data centre, in milliseconds. */
  readonly distanceMs: number;
  /** Weight of the delay that a prefill causes to calls on the target. */
  readonly disturbanceWeight: number;
}

/** Settings for ordinary engines. */
export const defaultExpectedFinishOptions: ExpectedFinishOptions = {
  maxTargetWaitMs: 30_000,
  distanceMs: 5,
  disturbanceWeight: 2,
};

/** What the placement needs. */
export interface ExpectedFinishParts {
  readonly random: Random;
  readonly dataCentre: DataCentreId;
  readonly options?: Partial<ExpectedFinishOptions>;
}

/** Chooses by expected wait, prefill of uncached tokens and decoding. */
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
   * @param parts - Random source, own data centre, and options that differ
   *     from `defaultExpectedFinishOptions`.
   */
  static create({
    random,
    dataCentre,
    options,
  }: ExpectedFinishParts): ExpectedFinishPlacement {
    const merged = {...defaultExpectedFinishOptions, ...options};
    return new ExpectedFinishPlacement(random, dataCentre, merged);
  }

  override choose(
    call: WaitingCall,
    candidates: readonly TargetState[],
    context: PlacementContext,
  ): Placement | undefined {
    const waitedMs = context.nowMs - context.addedAtMs;
    const mustGo = call.isAlone || waitedMs >= this.options.maxTargetWaitMs;
    const terms = this.createTerms(call, context);
    // A random start parts equal targets, so that schedulers don't flock.
    const start = this.random.nextInteger(candidates.length);
    let best: TargetState | undefined;
    let bestMs = Infinity;
    for (let i = 0; i < candidates.length; i += 1) {
      const index = (start + i) % candidates.length;
      const target = candidates[index] as TargetState;
      if (mustGo && !target.hasRoom) continue;
      const finishMs = terms.getFinishMs(target);
      if (finishMs >= bestMs) continue;
      best = target;
      bestMs = finishMs;
    }
    if (best === undefined) return undefined;
    if (best.hasRoom) return {target: best, terms: terms.getTerms(best)};
    best.noteUsedUp();
    return undefined;
  }

  private createTerms(
    call: WaitingCall,
    context: PlacementContext,
  ): FinishTerms {
    const {disturbanceWeight, distanceMs} = this.options;
    const {dataCentre} = this;
    const options = {disturbanceWeight, distanceMs, dataCentre};
    return FinishTerms.create(call, context, options);
  }
}
