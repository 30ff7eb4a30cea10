/** One target as the scheduler knows it. */
import type {ModelId, TargetId} from '@marigoldpost/common';
import type {EngineLoad} from '@marigoldpost/targets';
import type {SchedulerTarget} from '../call_scheduler.js';
import {TargetWindow, type WindowOptions} from './target_window.js';

/** A plain service sends no reports, so its window can't follow feedback. */
const plainWindowSize = 64;

/** Own calls in flight, window and last report of a target. */
export class TargetState {
  private readonly window: TargetWindow;
  private callsInFlight = 0;
  private callsSinceReport = 0;
  private isReservedForOne = false;
  private lastLoad: EngineLoad | undefined;
  private prefillTokens = 0;

  private constructor(
    private current: SchedulerTarget,
    /** Small number that names the target in the cache index. */
    readonly slot: number,
    windowOptions: WindowOptions,
  ) {
    this.window = TargetWindow.create(windowOptions);
  }

  /**
   * Creates the state of a target with nothing in flight.
   * @param target - The target.
   * @param slot - Its number in the cache index.
   * @param windowOptions - Bounds of its window.
   */
  static create(
    target: SchedulerTarget,
    slot: number,
    windowOptions: WindowOptions,
  ): TargetState {
    return new TargetState(target, slot, windowOptions);
  }

  /** The target's id. */
  get id(): TargetId {
    return this.current.id;
  }

  /** The target as last set. */
  get target(): SchedulerTarget {
    return this.current;
  }

  /** Own calls in flight. */
  get inFlight(): number {
    return this.callsInFlight;
  }

  /** Most own calls in flight. */
  get windowSize(): number {
    const isPlain = this.current.models.length === 0;
    return isPlain ? plainWindowSize : this.window.size;
  }

  /** The target's last report. */
  get load(): EngineLoad | undefined {
    return this.lastLoad;
  }

  /** Own calls' prompt tokens that the target has yet to take in. */
  get pendingPrefillTokens(): number {
    return this.prefillTokens;
  }

  /** Whether another call may go. */
  get hasRoom(): boolean {
    if (this.isReservedForOne) return false;
    return this.callsInFlight < this.windowSize;
  }

  /** Calls that run or wait on the target, of other daemons too. */
  get expectedBatch(): number {
    const load = this.lastLoad;
    if (load === undefined) return this.callsInFlight;
    const reported = load.running + load.waiting + this.callsSinceReport;
    return Math.max(reported, this.callsInFlight);
  }

  /**
   * Checks whether the target could run a model's calls.
   * @param model - The model; absent for a plain service.
   */
  isOpenFor(model: ModelId | undefined): boolean {
    if (!this.current.isOpen) return false;
    return model === undefined || this.current.models.includes(model);
  }

  /**
   * Replaces what is known of the target.
   * @param target - The target.
   */
  setTarget(target: SchedulerTarget): void {
    this.current = target;
  }

  /**
   * Takes in a report.
   * @param load - The report.
   */
  setLoad(load: EngineLoad): void {
    this.lastLoad = load;
    this.callsSinceReport = 0;
    this.window.noteReport(load.running, load.waiting);
  }

  /** Notes that a call waits because the window is full. */
  noteUsedUp(): void {
    this.window.noteUsedUp();
  }

  /**
   * Adds a call in flight.
   * @param isAlone - Keeps every other call off the target.
   * @param uncachedTokens - Prompt tokens to take in.
   */
  addCall(isAlone: boolean, uncachedTokens: number): void {
    this.callsInFlight += 1;
    this.callsSinceReport += 1;
    this.prefillTokens += uncachedTokens;
    if (isAlone) this.isReservedForOne = true;
  }

  /**
   * Notes that a call's prompt has been taken in.
   * @param uncachedTokens - What `addCall` got.
   */
  removePrefill(uncachedTokens: number): void {
    this.prefillTokens -= uncachedTokens;
  }

  /** Removes a call that is no longer in flight. */
  removeCall(): void {
    this.callsInFlight -= 1;
    if (this.callsInFlight === 0) this.isReservedForOne = false;
  }
}
