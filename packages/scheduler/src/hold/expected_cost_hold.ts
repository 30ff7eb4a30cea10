/**
 * Holds the cached prefix of a paused program while the expected saving exceeds
 * the cost. Per block and millisecond, a hold saves (rate of returns) x (time
 * to recompute a block), and costs a price that the cache weight sets. Both
 * grow with the number of blocks, so the hold time depends only on the observed
 * pauses and the price.
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

/** Price of holding cache, which bounds the hold time. */
export interface ExpectedCostOptions {
  /** Weight from lowest latency (0) to least idle cache (1). */
  readonly cacheWeight: number;
  /** Price at a weight of 0.5, in returns per millisecond of holding. */
  readonly neutralReturnsPerMs: number;
}

/** Clock and options of the policy. */
export interface ExpectedCostDependencies {
  readonly clock: Clock;
  readonly options: Partial<ExpectedCostOptions>;
}

const defaultOptions: ExpectedCostOptions = {
  cacheWeight: 0.5,
  neutralReturnsPerMs: 1 / 1_200_000,
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

/** Releases cache when a program ends or when a pause outlasts its hold. */
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
   * @param dependencies - Clock, and options that differ from the defaults.
   */
  static create({clock, options}: ExpectedCostDependencies): ExpectedCostHold {
    return new ExpectedCostHold(clock, {...defaultOptions, ...options});
  }

  /**
   * Changes the weight; current pauses keep their hold time.
   * @param cacheWeight - From lowest latency (0) to least idle cache (1).
   */
  setCacheWeight(cacheWeight: number): void {
    this.options = {...this.options, cacheWeight};
  }

  override recordCallStart(program: ProgramId, target: TargetId): void {
    const hold = this.getOrAddHold(program);
    if (hold.inFlight === 0) this.endPause(hold, true);
    if (hold.inFlight === 0) this.releaseOthers(hold, target);
    hold.inFlight += 1;
    hold.targets.add(target);
  }

  override recordCallEnd(program: ProgramId): void {
    const hold = this.holds.get(program);
    if (hold === undefined) return;
    hold.inFlight -= 1;
    if (hold.inFlight > 0) return;
    if (hold.hasEnded) this.release(hold);
    else this.startPause(hold);
  }

  override recordProgramEnd(program: ProgramId): void {
    const hold = this.holds.get(program);
    if (hold === undefined) return;
    hold.hasEnded = true;
    if (hold.inFlight > 0) return;
    this.endPause(hold, false);
    this.release(hold);
  }

  override recordTargetClosed(
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
      if (isSamePause(next)) this.releaseTargets(next.hold);
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

  /** Releases copies on other targets; the new call makes them outdated. */
  private releaseOthers(hold: ProgramHold, target: TargetId): void {
    const wasHeld = hold.targets.delete(target);
    this.releaseTargets(hold);
    if (wasHeld) hold.targets.add(target);
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
    const {cacheWeight, neutralReturnsPerMs} = this.options;
    if (cacheWeight >= 1) return Infinity;
    return (neutralReturnsPerMs * cacheWeight) / (1 - cacheWeight);
  }
}

function isSamePause({hold, pausedAtMs}: DueHold): boolean {
  return hold.inFlight === 0 && hold.pausedAtMs === pausedAtMs;
}
