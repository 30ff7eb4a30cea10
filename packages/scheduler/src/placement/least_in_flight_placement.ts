/** Placement by the fewest of this daemon's calls in flight. */
import type {DataCentreId} from '@marigoldpost/common';
import type {WaitingCall} from '../call_scheduler.js';
import type {TargetState} from '../targets/target_state.js';
import {type Placement, PlacementPolicy} from './placement_policy.js';

/** Chooses the target with the fewest calls; prefers the own data centre. */
export class LeastInFlightPlacement extends PlacementPolicy {
  override readonly usesCacheIndex = false;

  private constructor(private readonly dataCentre: DataCentreId) {
    super();
  }

  /**
   * Creates the policy.
   * @param dataCentre - Data centre of the scheduler.
   */
  static create(dataCentre: DataCentreId): LeastInFlightPlacement {
    return new LeastInFlightPlacement(dataCentre);
  }

  override choose(
    _call: WaitingCall,
    candidates: readonly TargetState[],
  ): Placement | undefined {
    let best: TargetState | undefined;
    for (const target of candidates) {
      if (!target.hasRoom) continue;
      if (best === undefined || this.compare(target, best) < 0) best = target;
    }
    if (best === undefined) return undefined;
    return {target: best, terms: {inFlight: best.inFlight}};
  }

  private compare(left: TargetState, right: TargetState): number {
    const difference = left.inFlight - right.inFlight;
    return difference || this.getDistance(left) - this.getDistance(right);
  }

  private getDistance(target: TargetState): number {
    return target.target.dataCentre === this.dataCentre ? 0 : 1;
  }
}
