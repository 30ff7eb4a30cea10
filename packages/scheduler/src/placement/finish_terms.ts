/** Terms of the estimated time until a target finishes a call. */
import type {DataCentreId} from '@marigoldpost/common';
import {blockTokens} from '../cache/block_hashes.js';
import type {WaitingCall} from '../call_scheduler.js';
import type {TargetState} from '../targets/target_state.js';
import type {PlacementContext} from './placement_policy.js';

/** Weights and location for the estimate. */
export interface FinishTermsOptions {
  /** Weight of the delay that a call's prefill causes to the running calls. */
  readonly prefillInterferenceWeight: number;
  /** Penalty for a target in another data centre, in milliseconds. */
  readonly remotePenaltyMs: number;
  readonly dataCentre: DataCentreId;
}

/** Values that are read once for a call, and applied to many targets. */
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
   * @param call - Call to place.
   * @param context - Estimates of the service and cached blocks of the call.
   * @param options - Weights, and the data centre of the scheduler.
   */
  static create(
    call: WaitingCall,
    context: PlacementContext,
    options: FinishTermsOptions,
  ): FinishTerms {
    return new FinishTerms(call, context, options);
  }

  /**
   * Gets the expected time until a target finishes the call, in milliseconds,
   * plus the penalties.
   * @param target - Target to estimate for.
   */
  getFinishMs(target: TargetState): number {
    const batch = target.expectedBatch;
    return (
      this.getWaitMs(target) +
      this.getPrefillMs(target, batch) +
      this.getDecodeMs(batch) +
      this.getRemotePenaltyMs(target)
    );
  }

  /**
   * Gets the terms by name, to record a decision.
   * @param target - Target that was chosen.
   */
  getTerms(target: TargetState): Record<string, number> {
    const batch = target.expectedBatch;
    return {
      wait: this.getWaitMs(target),
      prefill: this.getPrefillMs(target, batch),
      decode: this.getDecodeMs(batch),
      distance: this.getRemotePenaltyMs(target),
    };
  }

  /** Wait for room in the window, and for earlier prefills on the target. */
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
    return ownMs * (1 + this.options.prefillInterferenceWeight * batch);
  }

  private getDecodeMs(batch: number): number {
    return this.decodeBaseMs + this.decodeMsPerCall * (batch + 1);
  }

  private getRemotePenaltyMs(target: TargetState): number {
    const {dataCentre, remotePenaltyMs} = this.options;
    return target.target.dataCentre === dataCentre ? 0 : remotePenaltyMs;
  }
}
