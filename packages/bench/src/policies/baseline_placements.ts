/** Placements of the baselines, in the form that ordinary routers have. */
import {getHashNumber, type Random} from '@marigoldpost/common';
import {
  type Placement,
  type PlacementContext,
  PlacementPolicy,
  type TargetState,
  type WaitingCall,
} from '@marigoldpost/scheduler';

const noTerms = {};

function toPlacement(target: TargetState | undefined): Placement | undefined {
  return target === undefined ? undefined : {target, terms: noTerms};
}

function findLeast(
  targets: readonly TargetState[],
  getCost: (target: TargetState) => number,
): TargetState | undefined {
  let best: TargetState | undefined;
  let bestCost = Infinity;
  for (const target of targets) {
    if (!target.hasRoom) continue;
    const cost = getCost(target);
    if (cost >= bestCost) continue;
    best = target;
    bestCost = cost;
  }
  return best;
}

/** Each target in turn. */
export class RoundRobinPlacement extends PlacementPolicy {
  override readonly usesCacheIndex = false;
  private nextIndex = 0;

  private constructor() {
    super();
  }

  /** Creates the placement. */
  static create(): RoundRobinPlacement {
    return new RoundRobinPlacement();
  }

  override choose(
    _call: WaitingCall,
    candidates: readonly TargetState[],
  ): Placement | undefined {
    const count = candidates.length;
    for (let tries = 0; tries < count; tries += 1) {
      const target = candidates[this.nextIndex % count];
      this.nextIndex += 1;
      if (target?.hasRoom) return toPlacement(target);
    }
    return undefined;
  }
}

/** Fewest own requests in flight, ties at random. */
export class LeastRequestsPlacement extends PlacementPolicy {
  override readonly usesCacheIndex = false;

  private constructor(private readonly random: Random) {
    super();
  }

  /**
   * Creates the placement.
   * @param random - Parts ties.
   */
  static create(random: Random): LeastRequestsPlacement {
    return new LeastRequestsPlacement(random);
  }

  override choose(
    _call: WaitingCall,
    candidates: readonly TargetState[],
  ): Placement | undefined {
    const least = findLeast(
      candidates,
      (target) => target.inFlight + this.random.next() / 2,
    );
    return toPlacement(least);
  }
}

/** The less loaded, by report and own calls, of two targets at random. */
export class PowerOfTwoPlacement extends PlacementPolicy {
  override readonly usesCacheIndex = false;

  private constructor(private readonly random: Random) {
    super();
  }

  /**
   * Creates the placement.
   * @param random - Picks the two.
   */
  static create(random: Random): PowerOfTwoPlacement {
    return new PowerOfTwoPlacement(random);
  }

  override choose(
    _call: WaitingCall,
    candidates: readonly TargetState[],
  ): Placement | undefined {
    const open = candidates.filter((target) => target.hasRoom);
    const pick = () => open[this.random.nextInteger(open.length)];
    const pair = [pick(), pick()].filter((target) => target !== undefined);
    return toPlacement(findLeast(pair, (target) => target.expectedBatch));
  }
}

/** Consistent hashing of programs with bounded load. */
export class SessionAffinityPlacement extends PlacementPolicy {
  override readonly usesCacheIndex = false;
  private readonly weights = new Map<string, number>();

  private constructor(private readonly loadBound: number) {
    super();
  }

  /**
   * Creates the placement.
   * @param loadBound - Most load of a target, over the mean.
   */
  static create(loadBound: number): SessionAffinityPlacement {
    return new SessionAffinityPlacement(loadBound);
  }

  override choose(
    call: WaitingCall,
    candidates: readonly TargetState[],
  ): Placement | undefined {
    const total = candidates.reduce((sum, {inFlight}) => sum + inFlight, 1);
    const bound = Math.ceil((total / candidates.length) * this.loadBound);
    const open = candidates.filter(({inFlight}) => inFlight < bound);
    // Rendezvous hashing: each program has its own ranking of the targets.
    const target = findLeast(open, ({id}) =>
      this.getWeight(`${call.program} ${id}`),
    );
    return toPlacement(target);
  }

  private getWeight(key: string): number {
    let weight = this.weights.get(key);
    if (weight === undefined) {
      weight = getHashNumber(key);
      this.weights.set(key, weight);
    }
    return weight;
  }
}

/** Longest cached prefix, ties by fewest own requests. */
export class PrefixAffinityPlacement extends PlacementPolicy {
  override readonly usesCacheIndex = true;

  private constructor(private readonly random: Random) {
    super();
  }

  /**
   * Creates the placement.
   * @param random - Parts ties.
   */
  static create(random: Random): PrefixAffinityPlacement {
    return new PrefixAffinityPlacement(random);
  }

  override choose(
    _call: WaitingCall,
    candidates: readonly TargetState[],
    {cachedBlocks}: PlacementContext,
  ): Placement | undefined {
    const least = findLeast(candidates, (target) => {
      const cached = cachedBlocks[target.slot] ?? 0;
      const tie = target.inFlight + this.random.next() / 2;
      return tie / 1_000 - cached;
    });
    return toPlacement(least);
  }
}
