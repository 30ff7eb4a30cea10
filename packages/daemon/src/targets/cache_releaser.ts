/** Frees engine memory of programs that have ended, until it is acknowledged. */
import {
  Backoff,
  type Clock,
  type ProgramId,
  type Random,
  type TargetId,
  type Timer,
} from '@marigoldpost/common';
import type {PartitionManager} from '@marigoldpost/programs';
import type {TargetRegistry} from '@marigoldpost/targets';

const intervalMs = 500;
const backoffOptions = {baseMs: 500, maxMs: 30_000};
/** Releases under way at once. */
const maxInFlight = 16;

/** Options of a releaser. */
export interface CacheReleaserOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly manager: PartitionManager;
  readonly registry: TargetRegistry;
}

interface ReleaseTry {
  readonly backoff: Backoff;
  dueMs: number;
  isInFlight: boolean;
}

/** Works off the releases that held partitions still owe. */
export class CacheReleaser {
  private readonly tries = new Map<string, ReleaseTry>();
  private timer: Timer | undefined;
  private inFlight = 0;

  private constructor(private readonly options: CacheReleaserOptions) {}

  /**
   * Creates a releaser.
   * @param options - Partitions and targets.
   */
  static create(options: CacheReleaserOptions): CacheReleaser {
    return new CacheReleaser(options);
  }

  /** Starts to release. */
  start(): void {
    this.timer = this.options.clock.setTimer(intervalMs, () => {
      this.releaseDue();
      this.start();
    });
  }

  /** Stops; a successor goes on. */
  stop(): void {
    this.timer?.cancel();
  }

  private releaseDue(): void {
    const {manager} = this.options;
    for (const {partition} of manager.getPartitions()) {
      const pending = manager.getKeeper(partition)?.getPendingReleases() ?? [];
      for (const {program, target} of pending) this.release(program, target);
    }
  }

  private release(program: ProgramId, target: TargetId): void {
    const key = `${program} ${target}`;
    const state = this.tries.get(key) ?? this.createTry();
    this.tries.set(key, state);
    const isDue = state.dueMs <= this.options.clock.nowMs();
    if (!isDue || state.isInFlight || this.inFlight >= maxInFlight) return;
    state.isInFlight = true;
    this.inFlight += 1;
    void this.tryRelease(program, target).then((isReleased) => {
      this.inFlight -= 1;
      state.isInFlight = false;
      if (isReleased) this.tries.delete(key);
      state.dueMs = this.options.clock.nowMs() + state.backoff.nextDelayMs();
    });
  }

  private createTry(): ReleaseTry {
    const backoff = Backoff.create(backoffOptions, this.options.random);
    return {backoff, dueMs: 0, isInFlight: false};
  }

  private async tryRelease(
    program: ProgramId,
    target: TargetId,
  ): Promise<boolean> {
    try {
      await this.sendRelease(program, target);
    } catch {
      return false;
    }
    this.noteReleased(program, target);
    return true;
  }

  /** A target that is gone has no memory to free. */
  private async sendRelease(
    program: ProgramId,
    target: TargetId,
  ): Promise<void> {
    const {registry} = this.options;
    if (registry.getTarget(target)?.kind !== 'engine') return;
    await registry.getEngineClientOrThrow(target).releaseProgram(program);
  }

  private noteReleased(program: ProgramId, target: TargetId): void {
    const {manager} = this.options;
    for (const {partition} of manager.getPartitions()) {
      if (!program.startsWith(`${partition}.`)) continue;
      manager.getKeeper(partition)?.noteReleased(program, target);
    }
  }
}
