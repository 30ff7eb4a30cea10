/** Retention of cached prefixes while their programs pause between calls. */
import type {ProgramId, TargetId} from '@marigoldpost/common';
import type {CacheAction} from '../call_scheduler.js';

/** Decides which cached prefixes to release or move, and when. */
export abstract class HoldPolicy {
  /**
   * Records that a call of a program is dispatched.
   * @param program - Program of the call.
   * @param target - Target of the call.
   */
  abstract recordCallStart(program: ProgramId, target: TargetId): void;

  /**
   * Records that a call is no longer in flight.
   * @param program - Program of the call.
   */
  abstract recordCallEnd(program: ProgramId): void;

  /**
   * Records that a program has ended; its cache is released.
   * @param program - Program that has ended.
   */
  abstract recordProgramEnd(program: ProgramId): void;

  /**
   * Records that a target accepts no more calls.
   * @param target - Target that has closed or left.
   * @param destination - Target to move its cache to; undefined without one.
   */
  abstract recordTargetClosed(
    target: TargetId,
    destination: TargetId | undefined,
  ): void;

  /** Removes and returns the actions that are due. */
  abstract takeActions(): readonly CacheAction[];

  /** Gets the time at which the next action is due; undefined if none is. */
  abstract getNextDueMs(): number | undefined;
}

/** Releases nothing; the engines evict by themselves. */
export class NoHold extends HoldPolicy {
  private constructor() {
    super();
  }

  /** Creates the policy. */
  static create(): NoHold {
    return new NoHold();
  }

  override recordCallStart(): void {}

  override recordCallEnd(): void {}

  override recordProgramEnd(): void {}

  override recordTargetClosed(): void {}

  override takeActions(): readonly CacheAction[] {
    return [];
  }

  override getNextDueMs(): undefined {
    return undefined;
  }
}
