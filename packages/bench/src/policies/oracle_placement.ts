/** Placement with exact knowledge of the engines' caches. */
import {
  type ExpectedFinishPlacement,
  type Placement,
  type PlacementContext,
  PlacementPolicy,
  type TargetState,
  type WaitingCall,
} from '@marigoldpost/scheduler';
import type {OracleView} from '../simulation/simulation_options.js';

/** The project's own placement, with the exact cached blocks of each engine. */
export class OraclePlacement extends PlacementPolicy {
  override readonly usesCacheIndex = false;
  private cachedBlocks = new Uint32Array(0);

  private constructor(
    private readonly oracle: OracleView,
    private readonly inner: ExpectedFinishPlacement,
  ) {
    super();
  }

  /**
   * Creates a placement.
   * @param oracle - Provides the engines and their caches.
   * @param inner - Placement that chooses the target.
   */
  static create(
    oracle: OracleView,
    inner: ExpectedFinishPlacement,
  ): OraclePlacement {
    return new OraclePlacement(oracle, inner);
  }

  override choose(
    call: WaitingCall,
    candidates: readonly TargetState[],
    context: PlacementContext,
  ): Placement | undefined {
    this.cachedBlocks = new Uint32Array(context.cachedBlocks.length);
    for (const {id, slot} of candidates) {
      const engine = this.oracle.engines.get(id);
      const cached = engine?.countCachedBlocks(call.blockHashes) ?? 0;
      this.cachedBlocks[slot] = cached;
    }
    const {cachedBlocks} = this;
    return this.inner.choose(call, candidates, {...context, cachedBlocks});
  }
}
