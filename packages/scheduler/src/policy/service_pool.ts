/** Queue, targets and estimates of one service. */
import type {ModelId} from '@marigoldpost/common';
import type {WaitingCall} from '../call_scheduler.js';
import {ServiceEstimates} from '../estimates/service_estimates.js';
import type {TargetState} from '../targets/target_state.js';
import {CallQueue} from './call_queue.js';

/** State that the scheduler keeps for each service. */
export class ServicePool {
  readonly queue = CallQueue.create();
  readonly estimates = ServiceEstimates.create();
  private targets: readonly TargetState[] = [];
  private readonly openByModel = new Map<ModelId | undefined, TargetState[]>();

  private constructor() {}

  /** Creates a pool without targets. */
  static create(): ServicePool {
    return new ServicePool();
  }

  /**
   * Replaces the targets.
   * @param targets - All targets of the service, open or not.
   */
  setTargets(targets: readonly TargetState[]): void {
    this.targets = targets;
    this.openByModel.clear();
  }

  /** Whether the window of any open target has room. */
  get hasRoom(): boolean {
    return this.targets.some(
      (target) => target.target.isOpen && target.hasRoom,
    );
  }

  /** Records that calls are delayed because every window is full. */
  recordWindowsFull(): void {
    for (const target of this.targets) target.recordWindowFull();
  }

  /**
   * Gets the open targets that may run a call, with or without room.
   * @param call - Call to place.
   */
  getCandidates(call: WaitingCall): readonly TargetState[] {
    const open = this.getOpen(call.model);
    const {excludedTargets, isExclusive} = call;
    if (excludedTargets.size === 0 && !isExclusive) return open;
    return open.filter(
      (target) =>
        !excludedTargets.has(target.id) &&
        !(isExclusive && target.inFlight > 0),
    );
  }

  /**
   * Gets the expected wait of a call that is queued now, in milliseconds; 0
   * without open targets.
   */
  getExpectedWaitMs(): number {
    let slots = 0;
    for (const target of this.targets) {
      if (target.target.isOpen) slots += target.windowSize;
    }
    if (slots === 0) return 0;
    return (this.queue.size * this.estimates.callMs) / slots;
  }

  private getOpen(model: ModelId | undefined): readonly TargetState[] {
    const known = this.openByModel.get(model);
    if (known !== undefined) return known;
    const open = this.targets.filter((target) => target.isOpenFor(model));
    this.openByModel.set(model, open);
    return open;
  }
}
