/** Background work that runs until the process stops. */
import {toMarigoldpostError} from '@marigoldpost/common';
import type {EventLogger} from '@marigoldpost/telemetry';

/** Starts tasks with a common abort signal and logs those that fail. */
export class BackgroundTasks {
  private readonly controller = new AbortController();

  private constructor(private readonly logger: EventLogger) {}

  /**
   * Creates an instance without tasks.
   * @param logger - Logger of task failures.
   */
  static create(logger: EventLogger): BackgroundTasks {
    return new BackgroundTasks(logger);
  }

  /** Signal that is aborted when the process stops. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /**
   * Runs a task in the background; logs its failure unless stopped.
   * @param task - Name of the task in the log.
   * @param work - Task body; may reject when its signal is aborted.
   */
  run(task: string, work: (signal: AbortSignal) => Promise<void>): void {
    work(this.signal).catch((error: unknown) => {
      if (!this.signal.aborted) this.logFailure(task, error);
    });
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

  /** Aborts every task. */
  stop(): void {
    this.controller.abort();
  }
}
