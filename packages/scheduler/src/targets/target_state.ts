/** Scheduler's state of one target. */
import type {ModelId, TargetId} from '@marigoldpost/common';
import type {EngineLoad} from '@marigoldpost/targets';
import type {SchedulerTarget} from '../call_scheduler.js';
import {TargetWindow, type WindowOptions} from './target_window.js';

/** Fixed window of plain targets, which send no load reports. */
const plainWindowSize = 64;

/** This daemon's calls in flight, window and last load report of a target. */
export class TargetState {
  private readonly window: TargetWindow;
  private callsInFlight = 0;
  private callsSinceReport = 0;
  private isReserved = false;
  private lastLoad: EngineLoad | undefined;
  private prefillTokens = 0;

  private constructor(
    private current: SchedulerTarget,
    /** Index of the target in arrays and in the cache index. */
    readonly slot: number,
    windowOptions: WindowOptions,
  ) {
    this.window = TargetWindow.create(windowOptions);
  }

  /**
   * Creates the state of a target without calls in flight.
   * @param target - Target as the registry lists it.
   * @param slot - Index of the target in arrays and in the cache index.
   * @param windowOptions - Initial size and bounds of its window.
   */
  static create(
    target: SchedulerTarget,
    slot: number,
    windowOptions: WindowOptions,
  ): TargetState {
    return new TargetState(target, slot, windowOptions);
  }

  /** Id of the target. */
  get id(): TargetId {
    return this.current.id;
  }

  /** Target as last updated. */
  get target(): SchedulerTarget {
    return this.current;
  }

  /** Number of this daemon's calls in flight. */
  get inFlight(): number {
    return this.callsInFlight;
  }

  /** Maximum number of this daemon's calls in flight. */
  get windowSize(): number {
    const isPlain = this.current.models.length === 0;
    return isPlain ? plainWindowSize : this.window.size;
  }

  /** Last load report of the target; undefined before the first one. */
  get load(): EngineLoad | undefined {
    return this.lastLoad;
  }

  /** Uncached prompt tokens of this daemon's calls without a first token. */
  get pendingPrefillTokens(): number {
    return this.prefillTokens;
  }

  /** Whether the window has room for another call. */
  get hasRoom(): boolean {
    if (this.isReserved) return false;
    return this.callsInFlight < this.windowSize;
  }

  /**
   * Expected calls that run or wait on the target, including those of other
   * daemons: the last report plus the calls dispatched since.
   */
  get expectedBatch(): number {
    const load = this.lastLoad;
    if (load === undefined) return this.callsInFlight;
    const reported = load.running + load.waiting + this.callsSinceReport;
    return Math.max(reported, this.callsInFlight);
  }

  /**
   * Checks whether the target is open and runs a model.
   * @param model - Model of a call; undefined for a plain service.
   */
  isOpenFor(model: ModelId | undefined): boolean {
    if (!this.current.isOpen) return false;
    return model === undefined || this.current.models.includes(model);
  }

  /**
   * Replaces the registered properties of the target.
   * @param target - Target as the registry lists it.
   */
  updateTarget(target: SchedulerTarget): void {
    this.current = target;
  }

  /**
   * Replaces the load report and adjusts the window.
   * @param load - New report of the target.
   */
  updateLoad(load: EngineLoad): void {
    this.lastLoad = load;
    this.callsSinceReport = 0;
    this.window.adjust(load.running, load.waiting);
  }

  /** Records that a call is delayed because the window is full. */
  recordWindowFull(): void {
    this.window.recordFull();
  }

  /**
   * Adds a call in flight.
   * @param isExclusive - Whether to dispatch no other call until this one ends.
   * @param uncachedTokens - Prompt tokens to prefill.
   */
  addCall(isExclusive: boolean, uncachedTokens: number): void {
    this.callsInFlight += 1;
    this.callsSinceReport += 1;
    this.prefillTokens += uncachedTokens;
    if (isExclusive) this.isReserved = true;
  }

  /**
   * Removes a call's tokens from the pending prefill.
   * @param uncachedTokens - Same value as in the call's `addCall`.
   */
  removePrefill(uncachedTokens: number): void {
    this.prefillTokens -= uncachedTokens;
  }

  /** Removes a call that is no longer in flight. */
  removeCall(): void {
    this.callsInFlight -= 1;
    if (this.callsInFlight === 0) this.isReserved = false;
  }
}
