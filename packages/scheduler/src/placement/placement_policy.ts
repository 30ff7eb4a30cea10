/** Choice of the target for a call. */
import type {WaitingCall} from '../call_scheduler.js';
import type {ServiceEstimates} from '../estimates/service_estimates.js';
import type {TargetState} from '../targets/target_state.js';

/** What a choice may rest on. */
export interface PlacementContext {
  readonly nowMs: number;
  /** When the call was added. */
  readonly addedAtMs: number;
  readonly estimates: ServiceEstimates;
  /** Cached leading blocks of the call by the targets' slots. */
  readonly cachedBlocks: ArrayLike<number>;
}

/** A choice and the terms that led to it, in milliseconds. */
export interface Placement {
  readonly target: TargetState;
  readonly terms: Readonly<Record<string, number>>;
}

/** Chooses targets. */
export abstract class PlacementPolicy {
  /** Whether choices rest on the cache index. */
  abstract readonly usesCacheIndex: boolean;

  /**
   * Chooses a target that has room; nothing when the call had better wait.
   * @param call - The call.
   * @param candidates - Open targets for the call, with room or without.
   * @param context - What the choice may rest on.
   */
  abstract choose(
    call: WaitingCall,
    candidates: readonly TargetState[],
    context: PlacementContext,
  ): Placement | undefined;
}
