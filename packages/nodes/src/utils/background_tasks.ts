/** Work that runs until its process stops. */
import {toMarigoldpostError} from '@marigoldpost/common';
import type {EventLogger} from '@marigoldpost/telemetry';

/** Tasks of one process; a failed one is logged. */
export class BackgroundTasks {
  private readonly controller = new AbortController();

  private constructor(private readonly logger: EventLogger) {}

  /**
   * Creates a set without tasks.
   * @param logger - Where failures are logged.
   */
  static create(logger: EventLogger): BackgroundTasks {
    return new BackgroundTasks(logger);
  }

  /** Aborted when the process stops. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /**
   * Runs a task.
   * @param task - Its name, for the log.
   * @param work - The work; may throw when the process stops.
   */
  run(task: string, work: (signal: AbortSignal) => Promise<void>): void {
    work(this.signal).catch((error: unknown) => {
      if (!this.signal.aborted) this.noteFailure(task, error);
    });
  }

  /**
   * Logs a failure that does not end the task.
   * @param task - Its name.
   * @param error - What went wrong.
   */
  noteFailure(task: string, error: unknown): void {
    const {kind, message} = toMarigoldpostError(error);
    this.logger.log('background_failed', {task, kind, message});
  }

  /** Ends every task. */
  stop(): void {
    this.controller.abort();
  }
}
