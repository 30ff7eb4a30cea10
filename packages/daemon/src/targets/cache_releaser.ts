/** Releases engine memory of ended programs; retries until acknowledged. */
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
/** Maximum number of releases in flight. */
const maxInFlight = 16;

/** Parts of the daemon that a releaser uses. */
export interface CacheReleaserOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly manager: PartitionManager;
  readonly registry: TargetRegistry;
}

interface ReleaseAttempts {
  readonly backoff: Backoff;
  dueMs: number;
  isInFlight: boolean;
}

/** Sends the pending releases of the partitions that this daemon holds. */
export class CacheReleaser {
  private readonly attempts = new Map<string, ReleaseAttempts>();
  private timer: Timer | undefined;
  private inFlight = 0;

  private constructor(private readonly options: CacheReleaserOptions) {}

  /**
   * Creates a releaser.
   * @param options - Clock, held partitions and targets.
   */
  static create(options: CacheReleaserOptions): CacheReleaser {
    return new CacheReleaser(options);
  }

  /** Starts to send due releases at an interval. */
  start(): void {
    this.timer = this.options.clock.setTimer(intervalMs, () => {
      this.releaseDue();
      this.start();
    });
  }

  /** Stops; pending releases stay with the partition for its next holder. */
  stop(): void {
    this.timer?.cancel();
  }

  private releaseDue(): void {
    const {manager} = this.options;
    for (const {partition} of manager.getPartitions()) {
      const pending =
        manager.getProgramManager(partition)?.getPendingReleases() ?? [];
      for (const {program, target} of pending) this.release(program, target);
    }
  }

  private release(program: ProgramId, target: TargetId): void {
    const key = `${program} ${target}`;
    const attempts = this.attempts.get(key) ?? this.createAttempts();
    this.attempts.set(key, attempts);
    const isDue = attempts.dueMs <= this.options.clock.nowMs();
    if (!isDue || attempts.isInFlight || this.inFlight >= maxInFlight) return;
    attempts.isInFlight = true;
    this.inFlight += 1;
    void this.tryRelease(program, target).then((isReleased) => {
      this.inFlight -= 1;
      attempts.isInFlight = false;
      if (isReleased) this.attempts.delete(key);
      attempts.dueMs =
        this.options.clock.nowMs() + attempts.backoff.nextDelayMs();
    });
  }

  private createAttempts(): ReleaseAttempts {
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
    this.recordReleased(program, target);
    return true;
  }

  /** Sends nothing to a target that is gone: its memory is gone too. */
  private async sendRelease(
    program: ProgramId,
    target: TargetId,
  ): Promise<void> {
    const {registry} = this.options;
    if (registry.getTarget(target)?.kind !== 'engine') return;
    await registry.getEngineClientOrThrow(target).releaseProgram(program);
  }

  private recordReleased(program: ProgramId, target: TargetId): void {
    const {manager} = this.options;
    for (const {partition} of manager.getPartitions()) {
      if (!program.startsWith(`${partition}.`)) continue;
      manager
        .getProgramManager(partition)
        ?.recordCacheReleased(program, target);
    }
  }
}
