/** The trial of one call, if its request is quarantined. */
import {MarigoldpostError, type TargetId} from '@marigoldpost/common';
import type {ServiceDispatcher} from '@marigoldpost/dispatch';
import type {TargetEntry} from '@marigoldpost/sites';
import type {CrashTracker} from './crash_tracker.js';
import type {TargetRun} from './recent_crashes.js';
import type {TrackedRequest} from './tracked_request.js';
import type {Trial, TrialEnd} from './trial.js';

/** Pause while a service has no target; shorter than a crashed one is away. */
const noTargetRetryAfterMs = 500;

/** Admits a call to targets, and follows its trial to its end. */
export class AttemptTrial {
  private trial: Trial | undefined;

  private constructor(
    private readonly crashTracker: CrashTracker,
    private readonly request: TrackedRequest,
  ) {}

  /**
   * Creates an instance without a trial.
   * @param crashTracker - Crash tracker of the daemon.
   * @param request - Request of the call.
   */
  static create(
    crashTracker: CrashTracker,
    request: TrackedRequest,
  ): AttemptTrial {
    return new AttemptTrial(crashTracker, request);
  }

  /** Whether the request is quarantined, so that it is sent once at most. */
  get isActive(): boolean {
    return this.trial !== undefined;
  }

  /**
   * Admits the request to a target. Throws the error to send to the client if it
   * may not be sent now.
   * @param outcome - `unknown` if an earlier attempt may have run.
   */
  admit(outcome: 'not_run' | 'unknown'): void {
    this.trial ??= this.crashTracker.admit(this.request, outcome);
  }

  /**
   * Waits until the trial is granted, which is asked for only if there is a
   * target. Excludes the targets that have crashed on the request, if there are
   * others. Throws the error to send to the client if it is not granted.
   * @param dispatcher - Targets of the service; `undefined` if there is none.
   * @param excluded - Targets that may not receive the request; is added to.
   */
  async confirm(
    dispatcher: ServiceDispatcher | undefined,
    excluded: Set<TargetId>,
  ): Promise<void> {
    const crashed = this.crashTracker.getDeadTargets(this.request);
    const others = new Set([...excluded, ...crashed]);
    if (dispatcher?.hasTarget(others) === true) {
      for (const target of crashed) excluded.add(target);
    } else if (dispatcher?.hasTarget(excluded) !== true) {
      const message = 'the service has no target for the request';
      throw MarigoldpostError.create('no_target', message, {
        retryAfterMs: noTargetRetryAfterMs,
      });
    }
    await this.trial?.confirm();
  }

  /**
   * Ends the trial, unless it has ended.
   * @param end - What became of the request.
   */
  end(end: TrialEnd): void {
    this.trial?.end(end);
  }

  /**
   * Ends the trial, unless it has ended; its target may have crashed.
   * @param target - Target of the run.
   * @param run - Start and end of the run, on the daemon's clock.
   */
  watch(target: TargetEntry, run: TargetRun): void {
    if (this.trial === undefined) return;
    this.trial.end('unknown');
    this.crashTracker.watchTrial(this.trial, target, run);
  }
}
