/** Terms of a call's expected finish on each target. */
import type {DataCentreId} from '@marigoldpost/common';
import {blockTokens} from '../cache/block_hashes.js';
import type {WaitingCall} from '../call_scheduler.js';
import type {TargetState} from '../targets/target_state.js';
import type {PlacementContext} from './placement_policy.js';

/** Weights of the terms. */
export interface FinishTermsOptions {
  /** Weight of the delay that a prefill causes to calls on the target. */
  readonly disturbanceWeight: number;
  /** Cost of a target in another data centre, in milliseconds. */
  readonly distanceMs: number;
  readonly dataCentre: DataCentreId;
}

/** Estimates read once for a call, then applied to many targets. */
export class FinishTerms {
  private readonly prefillMsPerToken: number;
  private readonly prefillMs: number;
  private readonly callMs: number;
  private readonly decodeBaseMs: number;
  private readonly decodeMsPerCall: number;
  private readonly promptTokens: number;
  private readonly cachedBlocks: ArrayLike<number>;

  private constructor(
    call: WaitingCall,
    {estimates, cachedBlocks}: PlacementContext,
    private readonly options: FinishTermsOptions,
  ) {
    this.prefillMsPerToken = estimates.prefillMsPerToken;
    this.prefillMs = estimates.prefillMs;
    this.callMs = estimates.callMs;
    this.decodeBaseMs = estimates.outputTokens * estimates.decodeBaseMs;
    this.decodeMsPerCall = estimates.outputTokens * estimates.decodeMsPerCall;
    this.promptTokens = call.promptTokens;
    this.cachedBlocks = cachedBlocks;
  }

  /**
   * Creates the terms of a call.
   * @param call - The call.
   * @param context - What the choice may rest on.
   * @param options - Weights.
   */
  static create(
    call: WaitingCall,
    context: PlacementContext,
    options: FinishTermsOptions,
  ): FinishTerms {
    return new FinishTerms(call, context, options);
  }

  /**
   * Gets the expected time until the call finishes on a target.
   * @param target - The target.
   */
  getFinishMs(target: TargetState): number {
    const batch = target.expectedBatch;
    return (
      this.getWaitMs(target) +
      this.getPrefillMs(target, batch) +
      this.getDecodeMs(batch) +
      this.getDistanceMs(target)
    );
  }

  /**
   * Gets the terms by name, for the record of a decision.
   * @param target - The target that was chosen.
   */
  getTerms(target: TargetState): Record<string, number> {
    const batch = target.expectedBatch;
    return {
      wait: this.getWaitMs(target),
      prefill: this.getPrefillMs(target, batch),
      decode: this.getDecodeMs(batch),
      distance: this.getDistanceMs(target),
    };
  }

  /** Wait for room here, and for prefills that are ahead on the target. */
  private getWaitMs(target: TargetState): number {
    const queuedMs =
      target.pendingPrefillTokens * this.prefillMsPerToken +
      (target.load?.waiting ?? 0) * this.prefillMs;
    if (target.hasRoom) return queuedMs;
    return queuedMs + this.callMs / Math.max(1, target.windowSize);
  }

  private getPrefillMs(target: TargetState, batch: number): number {
    const cached = (this.cachedBlocks[target.slot] ?? 0) * blockTokens;
    const uncached = Math.max(0, this.promptTokens - cached);
    const ownMs = uncached * this.prefillMsPerToken;
    return ownMs * (1 + this.options.disturbanceWeight * batch);
  }

  private getDecodeMs(batch: number): number {
    return this.decodeBaseMs + this.decodeMsPerCall * (batch + 1);
  }

  private getDistanceMs(target: TargetState): number {
    const {dataCentre, distanceMs} = this.options;
    return target.target.dataCentre === dataCentre ? 0 : distanceMs;
  }
}
