/** Placement policies of the baselines, as common routers implement them. */
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

function findLowestCost(
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

/** Cycles through the targets. */
export class RoundRobinPlacement extends PlacementPolicy {
  override readonly usesCacheIndex = false;
  private nextIndex = 0;

  private constructor() {
    super();
  }

  /** Creates a placement that starts at the first target. */
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

/** Picks the target with the fewest own requests in flight; ties at random. */
export class LeastRequestsPlacement extends PlacementPolicy {
  override readonly usesCacheIndex = false;

  private constructor(private readonly random: Random) {
    super();
  }

  /**
   * Creates a placement.
   * @param random - Breaks ties.
   */
  static create(random: Random): LeastRequestsPlacement {
    return new LeastRequestsPlacement(random);
  }

  override choose(
    _call: WaitingCall,
    candidates: readonly TargetState[],
  ): Placement | undefined {
    const least = findLowestCost(
      candidates,
      (target) => target.inFlight + this.random.next() / 2,
    );
    return toPlacement(least);
  }
}

/**
 * Picks the less loaded of two random targets, by load report and own calls.
 */
export class PowerOfTwoPlacement extends PlacementPolicy {
  override readonly usesCacheIndex = false;

  private constructor(private readonly random: Random) {
    super();
  }

  /**
   * Creates a placement.
   * @param random - Picks the two targets.
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
    return toPlacement(findLowestCost(pair, (target) => target.expectedBatch));
  }
}

/** Assigns programs to targets by consistent hashing with bounded load. */
export class SessionAffinityPlacement extends PlacementPolicy {
  override readonly usesCacheIndex = false;
  private readonly weights = new Map<string, number>();

  private constructor(private readonly loadBound: number) {
    super();
  }

  /**
   * Creates a placement.
   * @param loadBound - Maximum ratio of a target's load to the mean load.
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
    // Rendezvous hashing: each program ranks the targets in its own order.
    const target = findLowestCost(open, ({id}) =>
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

/**
 * Picks the target with the longest cached prefix; ties by fewest own requests.
 */
export class PrefixAffinityPlacement extends PlacementPolicy {
  override readonly usesCacheIndex = true;

  private constructor(private readonly random: Random) {
    super();
  }

  /**
   * Creates a placement.
   * @param random - Breaks ties.
   */
  static create(random: Random): PrefixAffinityPlacement {
    return new PrefixAffinityPlacement(random);
  }

  override choose(
    _call: WaitingCall,
    candidates: readonly TargetState[],
    {cachedBlocks}: PlacementContext,
  ): Placement | undefined {
    const least = findLowestCost(candidates, (target) => {
      const cached = cachedBlocks[target.slot] ?? 0;
      const tie = target.inFlight + this.random.next() / 2;
      return tie / 1_000 - cached;
    });
    return toPlacement(least);
  }
}
