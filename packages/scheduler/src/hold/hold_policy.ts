/** Holding of cached prefixes while their programs pause. */
import type {ProgramId, TargetId} from '@marigoldpost/common';
import type {CacheAction} from '../call_scheduler.js';

/** Decides which cache to release, and when. */
export abstract class HoldPolicy {
  /**
   * Notes that a program's call goes to a target.
   * @param program - The program.
   * @param target - The target.
   */
  abstract noteStarted(program: ProgramId, target: TargetId): void;

  /**
   * Notes that a call is no longer in flight.
   * @param program - The program.
   */
  abstract noteFinished(program: ProgramId): void;

  /**
   * Notes that a program has ended.
   * @param program - The program.
   */
  abstract noteEnded(program: ProgramId): void;

  /**
   * Notes that a target takes no more work.
   * @param target - The target.
   * @param destination - Where its cache may move.
   */
  abstract noteClosed(
    target: TargetId,
    destination: TargetId | undefined,
  ): void;

  /** Takes the actions that are due. */
  abstract takeActions(): readonly CacheAction[];

  /** Gets when the next action is due. */
  abstract getNextDueMs(): number | undefined;
}

/** Leaves all cache to the engines' own eviction. */
export class NoHold extends HoldPolicy {
  private constructor() {
    super();
  }

  /** Creates the policy. */
  static create(): NoHold {
    return new NoHold();
  }

  override noteStarted(): void {}

  override noteFinished(): void {}

  override noteEnded(): void {}

  override noteClosed(): void {}

  override takeActions(): readonly CacheAction[] {
    return [];
  }

  override getNextDueMs(): undefined {
    return undefined;
  }
}
