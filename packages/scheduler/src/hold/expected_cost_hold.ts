/**
 * Holds a paused program's cache while that is expected to pay. Per block and
 * millisecond, holding saves (rate of returns) x (time to recompute a block) and
 * costs the price that the cache weight sets. Both sides grow with the number of
 * blocks, so that the longest hold depends on the pauses seen and the price.
 */
import {
  BinaryHeap,
  type Clock,
  type ProgramId,
  type TargetId,
} from '@marigoldpost/common';
import type {CacheAction} from '../call_scheduler.js';
import {HoldPolicy} from './hold_policy.js';
import {PauseStatistics} from './pause_statistics.js';

/** Settings of the holds. */
export interface ExpectedCostOptions {
  /** Weight between latency (0) and wasted cache (1). */
  readonly cacheWeight: number;
  /** Price at weight 0.5, in returns for each millisecond. */
  readonly evenReturnsPerMs: number;
}

/** What the holds need. */
export interface ExpectedCostParts {
  readonly clock: Clock;
  readonly options: Partial<ExpectedCostOptions>;
}

const defaultOptions: ExpectedCostOptions = {
  cacheWeight: 0.5,
  evenReturnsPerMs: 1 / 1_200_000,
};

interface ProgramHold {
  readonly program: ProgramId;
  readonly targets: Set<TargetId>;
  inFlight: number;
  pausedAtMs: number;
  hasEnded: boolean;
}

interface DueHold {
  readonly hold: ProgramHold;
  readonly pausedAtMs: number;
  readonly dueMs: number;
}

/** Releases cache at a program's end, and over pauses by expected cost. */
export class ExpectedCostHold extends HoldPolicy {
  private readonly holds = new Map<ProgramId, ProgramHold>();
  private readonly due = BinaryHeap.create<DueHold>(
    (left, right) => left.dueMs - right.dueMs,
  );
  private readonly pauses = PauseStatistics.create();
  private actions: CacheAction[] = [];

  private constructor(
    private readonly clock: Clock,
    private options: ExpectedCostOptions,
  ) {
    super();
  }

  /**
   * Creates the policy.
   * @param parts - Clock, and options that differ from an even weight.
   */
  static create({clock, options}: ExpectedCostParts): ExpectedCostHold {
    return new ExpectedCostHold(clock, {...defaultOptions, ...options});
  }

  /**
   * Changes the weight; pauses under way keep the hold that they have.
   * @param cacheWeight - From latency (0) to wasted cache (1).
   */
  setCacheWeight(cacheWeight: number): void {
    this.options = {...this.options, cacheWeight};
  }

  override noteStarted(program: ProgramId, target: TargetId): void {
    const hold = this.getOrAddHold(program);
    if (hold.inFlight === 0) this.endPause(hold, true);
    if (hold.inFlight === 0) this.releaseOthers(hold, target);
    hold.inFlight += 1;
    hold.targets.add(target);
  }

  override noteFinished(program: ProgramId): void {
    const hold = this.holds.get(program);
    if (hold === undefined) return;
    hold.inFlight -= 1;
    if (hold.inFlight > 0) return;
    if (hold.hasEnded) this.release(hold);
    else this.startPause(hold);
  }

  override noteEnded(program: ProgramId): void {
    const hold = this.holds.get(program);
    if (hold === undefined) return;
    hold.hasEnded = true;
    if (hold.inFlight > 0) return;
    this.endPause(hold, false);
    this.release(hold);
  }

  override noteClosed(
    target: TargetId,
    destination: TargetId | undefined,
  ): void {
    for (const hold of this.holds.values()) {
      if (!hold.targets.delete(target)) continue;
      if (destination === undefined || hold.hasEnded) continue;
      hold.targets.add(destination);
      const {program} = hold;
      this.actions.push({kind: 'move', program, target, destination});
    }
  }

  override takeActions(): readonly CacheAction[] {
    const nowMs = this.clock.nowMs();
    for (;;) {
      const next = this.due.peek();
      if (next === undefined || next.dueMs > nowMs) break;
      this.due.remove();
      if (isCurrent(next)) this.releaseTargets(next.hold);
    }
    const {actions} = this;
    this.actions = [];
    return actions;
  }

  override getNextDueMs(): number | undefined {
    if (this.actions.length > 0) return this.clock.nowMs();
    return this.due.peek()?.dueMs;
  }

  private getOrAddHold(program: ProgramId): ProgramHold {
    const known = this.holds.get(program);
    if (known !== undefined) return known;
    const hold = {
      program,
      targets: new Set<TargetId>(),
      inFlight: 0,
      pausedAtMs: Infinity,
      hasEnded: false,
    };
    this.holds.set(program, hold);
    return hold;
  }

  private startPause(hold: ProgramHold): void {
    const nowMs = this.clock.nowMs();
    hold.pausedAtMs = nowMs;
    const holdMs = this.pauses.getHoldMs(this.getMinReturnsPerMs());
    this.due.add({hold, pausedAtMs: nowMs, dueMs: nowMs + holdMs});
  }

  private endPause(hold: ProgramHold, didReturn: boolean): void {
    if (hold.pausedAtMs === Infinity) return;
    this.pauses.addPause(this.clock.nowMs() - hold.pausedAtMs, didReturn);
    hold.pausedAtMs = Infinity;
  }

  /** A later call ran elsewhere, so the copies before it are out of date. */
  private releaseOthers(hold: ProgramHold, target: TargetId): void {
    const isKept = hold.targets.delete(target);
    this.releaseTargets(hold);
    if (isKept) hold.targets.add(target);
  }

  private release(hold: ProgramHold): void {
    this.releaseTargets(hold);
    this.holds.delete(hold.program);
  }

  private releaseTargets(hold: ProgramHold): void {
    for (const target of hold.targets) {
      const {program} = hold;
      this.actions.push({kind: 'release', program, target});
    }
    hold.targets.clear();
  }

  private getMinReturnsPerMs(): number {
    const {cacheWeight, evenReturnsPerMs} = this.options;
    if (cacheWeight >= 1) return Infinity;
    return (evenReturnsPerMs * cacheWeight) / (1 - cacheWeight);
  }
}

function isCurrent({hold, pausedAtMs}: DueHold): boolean {
  return hold.inFlight === 0 && hold.pausedAtMs === pausedAtMs;
}
