/** Placement by the earliest expected finish. */
import type {DataCentreId, Random} from '@marigoldpost/common';
import {blockTokens} from '../cache/block_hashes.js';
import type {WaitingCall} from '../call_scheduler.js';
import type {TargetState} from '../targets/target_state.js';
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
  /** Largest random addition, which parts equal targets, in milliseconds. */
  readonly jitterMs: number;
  /** Weight of the delay that a prefill causes to calls on the target. */
  readonly disturbanceWeight: number;
}

/** Settings for ordinary engines. */
export const defaultExpectedFinishOptions: ExpectedFinishOptions = {
  maxTargetWaitMs: 30_000,
  distanceMs: 5,
  jitterMs: 5,
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
    const mustGo =
      call.isAlone ||
      context.nowMs - context.addedAtMs >= this.options.maxTargetWaitMs;
    let best: TargetState | undefined;
    let bestMs = Infinity;
    for (const target of candidates) {
      if (mustGo && !target.hasRoom) continue;
      const jitterMs = this.random.next() * this.options.jitterMs;
      const finishMs = this.getFinishMs(call, target, context) + jitterMs;
      if (finishMs >= bestMs) continue;
      best = target;
      bestMs = finishMs;
    }
    if (best === undefined) return undefined;
    if (best.hasRoom) return this.toPlacement(call, best, context);
    best.noteUsedUp();
    return undefined;
  }

  private getFinishMs(
    call: WaitingCall,
    target: TargetState,
    context: PlacementContext,
  ): number {
    return (
      this.getWaitMs(target, context) +
      this.getPrefillMs(call, target, context) +
      this.getDecodeMs(target, context) +
      this.getDistanceMs(target)
    );
  }

  /** Wait for room here, and for prefills that are ahead on the target. */
  private getWaitMs(target: TargetState, context: PlacementContext): number {
    const {prefillMsPerToken, prefillMs, callMs} = context.estimates;
    const queuedMs =
      target.pendingPrefillTokens * prefillMsPerToken +
      (target.load?.waiting ?? 0) * prefillMs;
    if (target.hasRoom) return queuedMs;
    return queuedMs + callMs / Math.max(1, target.windowSize);
  }

  private getPrefillMs(
    call: WaitingCall,
    target: TargetState,
    context: PlacementContext,
  ): number {
    const cached = (context.cachedBlocks[target.slot] ?? 0) * blockTokens;
    const uncached = Math.max(0, call.promptTokens - cached);
    const ownMs = uncached * context.estimates.prefillMsPerToken;
    const {disturbanceWeight} = this.options;
    return ownMs * (1 + disturbanceWeight * target.expectedBatch);
  }

  private getDecodeMs(target: TargetState, context: PlacementContext): number {
    const {estimates} = context;
    const batch = target.expectedBatch + 1;
    return estimates.outputTokens * estimates.getDecodeMsPerToken(batch);
  }

  private getDistanceMs(target: TargetState): number {
    const isNear = target.target.dataCentre === this.dataCentre;
    return isNear ? 0 : this.options.distanceMs;
  }

  private toPlacement(
    call: WaitingCall,
    target: TargetState,
    context: PlacementContext,
  ): Placement {
    return {
      target,
      terms: {
        wait: this.getWaitMs(target, context),
        prefill: this.getPrefillMs(call, target, context),
        decode: this.getDecodeMs(target, context),
        distance: this.getDistanceMs(target),
      },
    };
  }
}
