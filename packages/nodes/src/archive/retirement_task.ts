/** Empties an archive before its VM is taken away. */
import {type Clock, type DaemonId, isErrorOfKind} from '@marigoldpost/common';
import type {ObjectChange, StoredObject} from '@marigoldpost/platform';
import type {SitePlatform} from '@marigoldpost/sites';
import {archivePrefix, type ArchiveRepairer} from '@marigoldpost/turns';
import type {ObjectSink} from '../utils/object_sink.js';

/** Pause between looks at what is left, and before a failed call is repeated. */
const checkMs = 200;

/** Options of a task. */
export interface RetirementTaskOptions {
  readonly daemon: DaemonId;
  readonly platform: SitePlatform;
  readonly repairer: ArchiveRepairer;
  readonly clock: Clock;
  /** Starts the work of a retirement in the background. */
  readonly start: (work: (signal: AbortSignal) => Promise<void>) => void;
  readonly onFailed: (error: unknown) => void;
  readonly onRetired: () => void;
}

/** Watches for the retirement of one archive. */
export class RetirementTask implements ObjectSink {
  private isKnown = false;
  private hasBegun = false;

  private constructor(private readonly options: RetirementTaskOptions) {}

  /**
   * Creates a task.
   * @param options - The archive.
   */
  static create(options: RetirementTaskOptions): RetirementTask {
    return new RetirementTask(options);
  }

  /** Whether the list of retirements has been read. */
  get isLoaded(): boolean {
    return this.isKnown;
  }

  /** Whether the archive is being emptied, or has been. */
  get isRequested(): boolean {
    return this.hasBegun;
  }

  replaceObjects(objects: readonly StoredObject[]): void {
    this.isKnown = true;
    for (const object of objects) this.putObject(object);
  }

  applyChange({object}: ObjectChange): void {
    if (object !== undefined) this.putObject(object);
  }

  private putObject(object: StoredObject): void {
    const {daemon, platform, start} = this.options;
    const request = platform.decodeRetirement(object);
    if (request.daemon !== daemon || this.hasBegun) return;
    this.hasBegun = true;
    if (!request.isComplete) start((signal) => this.retire(signal));
  }

  private async retire(signal: AbortSignal): Promise<void> {
    const {daemon, platform, repairer, clock, onRetired} = this.options;
    await this.repeat(signal, () =>
      platform.reportRetirement(daemon, 'running'),
    );
    // Entry VMs stop choosing this archive once it is off the list.
    const key = `${archivePrefix}${daemon}`;
    await this.repeat(signal, () => platform.store.removeObject(key));
    repairer.retire();
    while (!repairer.isRepaired) await clock.sleep(checkMs, signal);
    await this.repeat(signal, () =>
      platform.reportRetirement(daemon, 'complete'),
    );
    onRetired();
  }

  /** Repeats a call until the platform has answered it. */
  private async repeat(
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
        await this.options.clock.sleep(checkMs, signal);
      }
    }
  }
}
