/** Queue, targets and learnt times of one service. */
import type {ModelId} from '@marigoldpost/common';
import type {WaitingCall} from '../call_scheduler.js';
import {ServiceEstimates} from '../estimates/service_estimates.js';
import type {TargetState} from '../targets/target_state.js';
import {CallQueue} from './call_queue.js';

/** What the scheduler keeps for each service. */
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
   * @param targets - Every target of the service.
   */
  setTargets(targets: readonly TargetState[]): void {
    this.targets = targets;
    this.openByModel.clear();
  }

  /** Whether any open target has room. */
  get hasRoom(): boolean {
    return this.targets.some(
      (target) => target.target.isOpen && target.hasRoom,
    );
  }

  /** Notes that calls wait because every target is full. */
  noteUsedUp(): void {
    for (const target of this.targets) target.noteUsedUp();
  }

  /**
   * Gets the open targets that may run a call.
   * @param call - The call.
   */
  getCandidates(call: WaitingCall): readonly TargetState[] {
    const open = this.getOpen(call.model);
    const {excludedTargets, isAlone} = call;
    if (excludedTargets.size === 0 && !isAlone) return open;
    return open.filter(
      (target) =>
        !excludedTargets.has(target.id) && !(isAlone && target.inFlight > 0),
    );
  }

  /** Expected wait of a call that is added now, in milliseconds. */
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
