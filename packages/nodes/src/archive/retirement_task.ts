/** Moves the turns of an archive to its peers before its VM is removed. */
import {type Clock, type DaemonId, isErrorOfKind} from '@marigoldpost/common';
import type {ObjectChange, StoredObject} from '@marigoldpost/platform';
import type {SitePlatform} from '@marigoldpost/sites';
import {archivePrefix, type ArchiveRepairer} from '@marigoldpost/turns';
import type {ObjectSink} from '../utils/object_sink.js';

/** Pause before a failed call is retried. */
const pollMs = 200;

/** Archive, platform and callbacks of a retirement. */
export interface RetirementTaskOptions {
  readonly daemon: DaemonId;
  readonly platform: SitePlatform;
  readonly repairer: ArchiveRepairer;
  readonly clock: Clock;
  /** Runs the retirement in the background. */
  readonly start: (work: (signal: AbortSignal) => Promise<void>) => void;
  readonly onFailed: (error: unknown) => void;
  readonly onRetired: () => void;
}

/** Observes retirement requests and retires its archive when requested. */
export class RetirementTask implements ObjectSink {
  private hasLoaded = false;
  private hasStarted = false;

  private constructor(private readonly options: RetirementTaskOptions) {}

  /**
   * Creates a task that waits for a retirement request.
   * @param options - Archive, platform and callbacks.
   */
  static create(options: RetirementTaskOptions): RetirementTask {
    return new RetirementTask(options);
  }

  /** Whether the list of retirement requests has been read. */
  get isLoaded(): boolean {
    return this.hasLoaded;
  }

  /** Whether the archive's retirement is running or complete. */
  get isRequested(): boolean {
    return this.hasStarted;
  }

  replaceObjects(objects: readonly StoredObject[]): void {
    this.hasLoaded = true;
    for (const object of objects) this.putObject(object);
  }

  applyChange({object}: ObjectChange): void {
    if (object !== undefined) this.putObject(object);
  }

  private putObject(object: StoredObject): void {
    const {daemon, platform, repairer, start} = this.options;
    const request = platform.decodeRetirement(object);
    if (request.daemon !== daemon || this.hasStarted) return;
    this.hasStarted = true;
    start((signal) =>
      request.isComplete ? repairer.seal() : this.retire(signal),
    );
  }

  private async retire(signal: AbortSignal): Promise<void> {
    const {daemon, platform, repairer, onRetired} = this.options;
    await this.retryUntilDone(signal, () =>
      platform.reportRetirement(daemon, 'running'),
    );
    // Entry VMs stop choosing this archive once it is unregistered.
    const key = `${archivePrefix}${daemon}`;
    await repairer.retire(signal, () =>
      this.retryUntilDone(signal, () => platform.store.removeObject(key)),
    );
    await this.retryUntilDone(signal, () =>
      platform.reportRetirement(daemon, 'complete'),
    );
    onRetired();
  }

  /** Retries a call until it succeeds or its object does not exist. */
  private async retryUntilDone(
    signal: AbortSignal,
    call: () => Promise<void>,
  ): Promise<void> {
    for (;;) {
      try {
        await call();
        return;
      } catch (error) {
        if (isErrorOfKind(error, 'object_missing')) return;
        this.options.onFailed(error);
        await this.options.clock.sleep(pollMs, signal);
      }
    }
  }
}
