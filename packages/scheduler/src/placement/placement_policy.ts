/** Selection of the target for a call. */
import type {WaitingCall} from '../call_scheduler.js';
import type {ServiceEstimates} from '../estimates/service_estimates.js';
import type {TargetState} from '../targets/target_state.js';

/** Inputs to the choice of a target, besides the call and the candidates. */
export interface PlacementContext {
  readonly nowMs: number;
  /** Time at which the call was queued. */
  readonly addedAtMs: number;
  readonly estimates: ServiceEstimates;
  /** Number of cached leading blocks of the call, by target slot. */
  readonly cachedBlocks: ArrayLike<number>;
}

/** A chosen target and the terms of its cost, in milliseconds. */
export interface Placement {
  readonly target: TargetState;
  readonly terms: Readonly<Record<string, number>>;
}

/** Chooses the target of a call among the open ones. */
export abstract class PlacementPolicy {
  /** Whether `choose` reads `cachedBlocks`; otherwise they are all 0. */
  abstract readonly usesCacheIndex: boolean;

  /**
   * Chooses a target that has room; undefined if the call should wait.
   * @param call - Call to place.
   * @param candidates - Open targets for the call, with room or without.
   * @param context - Further inputs to the choice.
   */
  abstract choose(
    call: WaitingCall,
    candidates: readonly TargetState[],
    context: PlacementContext,
  ): Placement | undefined;
}
