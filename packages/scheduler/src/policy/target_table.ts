/** Targets of all services, each with a slot number. */
import type {ServiceId, TargetId} from '@marigoldpost/common';
import type {SchedulerTarget} from '../call_scheduler.js';
import {TargetState} from '../targets/target_state.js';
import type {WindowOptions} from '../targets/target_window.js';

/** Maps target ids to states; slots of removed targets are reused. */
export class TargetTable {
  private readonly states = new Map<TargetId, TargetState>();
  private readonly freeSlots: number[] = [];
  private nextSlot = 0;

  private constructor(private readonly windowOptions: WindowOptions) {}

  /**
   * Creates an empty table.
   * @param windowOptions - Initial size and bounds of each target's window.
   */
  static create(windowOptions: WindowOptions): TargetTable {
    return new TargetTable(windowOptions);
  }

  /** One more than the highest slot assigned so far. */
  get slotCount(): number {
    return this.nextSlot;
  }

  /**
   * Gets the state of a target; undefined if it is not listed.
   * @param id - Id of the target.
   */
  getState(id: TargetId): TargetState | undefined {
    return this.states.get(id);
  }

  /**
   * Replaces the targets, and returns those that were removed or closed.
   * @param targets - Targets of all services.
   */
  setTargets(targets: readonly SchedulerTarget[]): readonly TargetState[] {
    const closed: TargetState[] = [];
    const present = new Set<TargetId>();
    for (const target of targets) {
      present.add(target.id);
      const state = this.getOrAddState(target);
      if (state.target.isOpen && !target.isOpen) closed.push(state);
      state.updateTarget(target);
    }
    for (const state of [...this.states.values()]) {
      if (present.has(state.id)) continue;
      this.states.delete(state.id);
      this.freeSlots.push(state.slot);
      closed.push(state);
    }
    return closed;
  }

  /** Gets the states of all targets, grouped by service. */
  groupByService(): Map<ServiceId, TargetState[]> {
    const groups = new Map<ServiceId, TargetState[]>();
    for (const state of this.states.values()) {
      const group = groups.get(state.target.service);
      if (group === undefined) groups.set(state.target.service, [state]);
      else group.push(state);
    }
    return groups;
  }

  private getOrAddState(target: SchedulerTarget): TargetState {
    const known = this.states.get(target.id);
    if (known !== undefined) return known;
    const slot = this.freeSlots.pop() ?? this.nextSlot++;
    const state = TargetState.create(target, slot, this.windowOptions);
    this.states.set(target.id, state);
    return state;
  }
}
