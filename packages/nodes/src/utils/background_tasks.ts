/** Background work that runs until the process stops. */
import {type Clock, toMarigoldpostError} from '@marigoldpost/common';
import type {EventLogger} from '@marigoldpost/telemetry';

/** Pause before a task that has failed is started again. */
const restartMs = 1000;

/** How a task affects its process. */
export interface BackgroundTaskOptions {
  /** Whether the process is not ready while the task does not run. */
  readonly isRequired?: boolean;
}

/** Starts tasks with a common abort signal; logs those that fail, and restarts them. */
export class BackgroundTasks {
  private readonly controller = new AbortController();

  /** Required tasks that have failed and have not been started again. */
  private readonly failed = new Set<string>();

  private constructor(
    private readonly logger: EventLogger,
    private readonly clock: Clock,
  ) {}

  /**
   * Creates an instance without tasks.
   * @param logger - Logger of task failures.
   * @param clock - Clock of the pauses before restarts.
   */
  static create(logger: EventLogger, clock: Clock): BackgroundTasks {
    return new BackgroundTasks(logger, clock);
  }

  /** Signal that is aborted when the process stops. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /**
   * Required tasks that have failed and are about to be started again, in the
   * order of their failures.
   */
  get failedTasks(): readonly string[] {
    return [...this.failed];
  }

  /**
   * Runs a task in the background; logs its failure unless stopped, and starts
   * it again after a pause.
   * @param task - Name of the task in the log.
   * @param work - Task body; may reject when its signal is aborted.
   * @param options - Whether the process can serve without the task.
   */
  run(
    task: string,
    work: (signal: AbortSignal) => Promise<void>,
    options: BackgroundTaskOptions = {},
  ): void {
    // Rejects only when the signal is aborted in a pause.
    this.runUntilDone(task, work, options).catch(() => undefined);
  }

  /**
   * Logs a failure of a task that may continue.
   * @param task - Name of the task in the log.
   * @param error - Error that the task caught.
   */
  logFailure(task: string, error: unknown): void {
    const {kind, message} = toMarigoldpostError(error);
    this.logger.log('background_failed', {task, kind, message});
  }

  private async runUntilDone(
    task: string,
    work: (signal: AbortSignal) => Promise<void>,
    {isRequired = false}: BackgroundTaskOptions,
  ): Promise<void> {
    while (!this.signal.aborted) {
      try {
        await work(this.signal);
        return;
      } catch (error) {
        if (this.signal.aborted) return;
        this.logFailure(task, error);
      }
      if (isRequired) this.failed.add(task);
      await this.clock.sleep(restartMs, this.signal);
      this.failed.delete(task);
    }
  }

  /** Aborts every task. */
  stop(): void {
    this.controller.abort();
  }
}
