/**
 * Tracks requests that crash targets. Guards against two load patterns: one
 * request crashes each target that starts it, and its client retries it
 * repeatedly, on any entry VM; and all targets are lost at once while they run
 * sound requests, which clients repeat as well. Crashes do not tell the two
 * apart, so both are quarantined alike; only a run that completes does, for
 * which a quarantined request gets a few trials.
 */
import type {Clock, Fingerprint, TargetId} from '@marigoldpost/common';
import type {TargetEntry} from '@marigoldpost/sites';
import type {Quarantine} from '@marigoldpost/targets';
import type {EventLogger, Metrics} from '@marigoldpost/telemetry';
import {RecentCrashes, type TargetRun} from './recent_crashes.js';
import type {TrackedRequest} from './tracked_request.js';
import type {Trial} from './trial.js';
import {createQuarantinedError} from './trial_errors.js';
import {TrialGate} from './trial_gate.js';
import type {TrialSource} from './trial_source.js';
import {UnconfirmedCrashes} from './unconfirmed_crashes.js';

const minErrorStatus = 400;

/** Dependencies of the tracker. */
export interface CrashTrackerOptions {
  readonly clock: Clock;
  readonly quarantine: Quarantine;
  readonly metrics: Metrics;
  readonly trials: TrialSource;
  /** Called when this daemon records a crash or clears a suspected request. */
  readonly onChanged: (fingerprint: Fingerprint) => void;
}

/** A request that waits for a target. */
interface WaitingRequest {
  readonly request: TrackedRequest;
  readonly onQuarantined: () => void;
}

/**
 * Records crashes that one daemon observes in the fleet-wide quarantine. Hashes
 * no request while no target crashes.
 */
export class CrashTracker {
  private readonly unconfirmed: UnconfirmedCrashes;
  private readonly recentCrashes: RecentCrashes;
  private readonly gate: TrialGate;
  private readonly waiting = new Set<WaitingRequest>();

  private constructor(private readonly options: CrashTrackerOptions) {
    this.unconfirmed = UnconfirmedCrashes.create(options.clock);
    this.recentCrashes = RecentCrashes.create(options.clock);
    const {clock, quarantine, metrics, trials: source} = options;
    this.gate = TrialGate.create({clock, quarantine, source, metrics});
  }

  /**
   * Creates a tracker.
   * @param options - The quarantine, and the listener that publishes changes.
   */
  static create(options: CrashTrackerOptions): CrashTracker {
    return new CrashTracker(options);
  }

  /**
   * Admits a request to a target. A quarantined one needs the returned trial,
   * which its target must not receive it without. Throws the error to send to
   * the client if the request may not be sent now.
   * @param request - Request about to be sent.
   * @param outcome - `unknown` if an earlier attempt may have run.
   */
  admit(
    request: TrackedRequest,
    outcome: 'not_run' | 'unknown',
  ): Trial | undefined {
    const {quarantine} = this.options;
    if (quarantine.isEmpty) return undefined;
    const quarantined = this.findQuarantined(request);
    const [first] = quarantined;
    if (first === undefined) return undefined;
    if (outcome === 'unknown') {
      const targets = quarantine.getDeadTargets(first);
      throw createQuarantinedError(first, targets, outcome);
    }
    return this.gate.enter(quarantined, request.call.logger);
  }

  /**
   * Gets the targets that have crashed on a request.
   * @param request - Request about to be sent.
   */
  getDeadTargets({fingerprints}: TrackedRequest): readonly TargetId[] {
    const {quarantine} = this.options;
    return fingerprints.flatMap((fingerprint) =>
      quarantine.getDeadTargets(fingerprint),
    );
  }

  /**
   * Notifies a request that waits for a target if it is quarantined meanwhile.
   * Returns a function that ends the notification.
   * @param request - Request that has been admitted without a trial.
   * @param onQuarantined - Called when the request is quarantined.
   */
  watch(request: TrackedRequest, onQuarantined: () => void): () => void {
    const waiting = {request, onQuarantined};
    this.waiting.add(waiting);
    return () => this.waiting.delete(waiting);
  }

  /** Notifies waiting requests; called when records of others were merged. */
  checkWaiting(): void {
    for (const {request, onQuarantined} of this.waiting) {
      if (this.findQuarantined(request).length > 0) onQuarantined();
    }
  }

  /**
   * Logs that a request is sent although a target has crashed on it.
   * @param request - Request about to be sent.
   * @param target - Target that receives it.
   */
  recordSend(request: TrackedRequest, target: TargetId): void {
    const {quarantine, metrics} = this.options;
    if (quarantine.isEmpty) return;
    const [fingerprint] = this.findSuspects(request.fingerprints);
    if (fingerprint === undefined) return;
    const deaths = quarantine.countDeaths(fingerprint);
    metrics.addToCounter('crash_records_total', {event: 'suspect_sent'});
    request.call.logger.log('suspect_sent', {fingerprint, target, deaths});
  }

  /**
   * Records that a target closed its connection while it ran a request.
   * @param request - Request that the target was running.
   * @param target - Target that crashed.
   * @param run - Start and end of the run, on the daemon's clock.
   */
  recordCrash(
    {call, fingerprints}: TrackedRequest,
    target: TargetEntry,
    run: TargetRun,
  ): void {
    this.countCrash(fingerprints, target, run, call.logger);
  }

  /**
   * Records that a run ended without a response: the target may have crashed.
   * @param request - Request that was sent to the target.
   * @param target - Target that has not responded.
   * @param run - Start and end of the run, on the daemon's clock.
   */
  recordSilence(
    {call, fingerprints}: TrackedRequest,
    target: TargetEntry,
    run: TargetRun,
  ): void {
    // The callback must not keep the request and its body in memory.
    const {logger} = call;
    this.unconfirmed.add(target, run.runStartedAtMs, () =>
      this.countCrash(fingerprints, target, run, logger, true),
    );
  }

  /**
   * Gives a trial back if its target responds to a later request, as it has
   * outlived the run then.
   * @param trial - Trial that has ended without a complete response.
   * @param target - Target of the run.
   * @param run - Start and end of the run, on the daemon's clock.
   */
  watchTrial(trial: Trial, target: TargetEntry, run: TargetRun): void {
    this.unconfirmed.add(
      target,
      run.runStartedAtMs,
      () => undefined,
      () => trial.giveBack(),
    );
  }

  /**
   * Records that a target closed its connection after a response that may be
   * truncated. This counts as a crash if the target is lost, and as a
   * completion if it responds to a later request.
   * @param request - Request that the target was running.
   * @param target - Target that closed the connection.
   * @param run - Start and end of the run, on the daemon's clock.
   * @param status - Status of the response.
   */
  recordUnprovenEnd(
    request: TrackedRequest,
    target: TargetEntry,
    run: TargetRun,
    status: number,
  ): void {
    const {fingerprints, call} = request;
    const {logger} = call;
    this.unconfirmed.add(
      target,
      run.runStartedAtMs,
      () => this.countCrash(fingerprints, target, run, logger, true),
      () => this.clearSuspicion(fingerprints, target.id, status, logger),
    );
  }

  /**
   * Records that a target has responded, so that it outlived the runs that
   * ended before.
   * @param target - Target that responded.
   * @param sentAtMs - When the request was sent, on the daemon's clock.
   */
  recordResponse(target: TargetEntry, sentAtMs: number): void {
    this.unconfirmed.recordResponse(target, sentAtMs);
    this.recentCrashes.recordResponse(target, sentAtMs);
  }

  /**
   * Records that a target is gone, or restarted, without having drained.
   * @param target - Last registration of the lost instance.
   */
  recordLostTarget(target: TargetEntry): void {
    this.unconfirmed.recordLoss(target);
  }

  /**
   * Records that a target responded completely, which clears a suspected
   * request and lifts the quarantine of another one. An error clears nothing: a
   * target may reject a request that it has not started, and a failing one may
   * send a server error for it.
   * @param request - Request that completed.
   * @param target - Target that responded.
   * @param status - Status of the response.
   */
  recordCompletion(
    request: TrackedRequest,
    target: TargetId,
    status: number,
  ): void {
    // Reading the fingerprints hashes the body.
    if (this.options.quarantine.isEmpty) return;
    const {fingerprints, call} = request;
    this.clearSuspicion(fingerprints, target, status, call.logger);
  }

  private clearSuspicion(
    fingerprints: readonly Fingerprint[],
    target: TargetId,
    status: number,
    logger: EventLogger,
  ): void {
    const {quarantine, metrics, onChanged} = this.options;
    if (status >= minErrorStatus) return;
    for (const fingerprint of this.findSuspects(fingerprints)) {
      if (quarantine.isQuarantined(fingerprint)) {
        quarantine.lift(fingerprint);
        this.gate.forget(fingerprint);
      } else quarantine.recordSurvival(fingerprint);
      metrics.addToCounter('crash_records_total', {event: 'cleared'});
      logger.log('suspicion_cleared', {fingerprint, target, status});
      onChanged(fingerprint);
    }
  }

  private findQuarantined({fingerprints}: TrackedRequest): Fingerprint[] {
    const {quarantine} = this.options;
    return fingerprints.filter((one) => quarantine.isQuarantined(one));
  }

  /** Finds the fingerprints on which a target has crashed. */
  private findSuspects(fingerprints: readonly Fingerprint[]): Fingerprint[] {
    const {quarantine} = this.options;
    return fingerprints.filter(
      (one) => quarantine.countDeaths(one) > 0 || quarantine.isQuarantined(one),
    );
  }

  /**
   * Counts a crash of a target at once: until the loss of the target confirms
   * it, the request could crash others at entry VMs that do not know of it.
   * Connections that break for another reason count as well; the next run to
   * complete clears them.
   * @param isLost - Whether the target is known to be lost.
   */
  private countCrash(
    fingerprints: readonly Fingerprint[],
    entry: TargetEntry,
    run: TargetRun,
    logger: EventLogger,
    isLost = false,
  ): void {
    const {quarantine, metrics, onChanged} = this.options;
    const {id: target, startedAtMs} = entry;
    const ranMs = Math.round(run.runEndedAtMs - run.runStartedAtMs);
    const isLateBreak = this.recentCrashes.mayHaveCrashed(run);
    if (!(isLost && isLateBreak) && this.recentCrashes.explains(entry, run)) {
      const reason = 'the target had crashed before the run';
      logger.log('crash_not_counted', {target, reason, ranMs});
      if (!isLost && isLateBreak) {
        this.awaitLoss(fingerprints, entry, run, logger);
      }
      return;
    }
    const details = {startedAtMs, ...run};
    const counted = quarantine.recordDeath(target, fingerprints, details);
    if (counted.length === 0) {
      const reason = 'a recorded crash explains it';
      logger.log('crash_not_counted', {target, reason, ranMs});
      return;
    }
    this.recentCrashes.add(entry, run);
    metrics.addToCounter('crash_records_total', {event: 'recorded'});
    for (const fingerprint of counted) {
      const deaths = quarantine.countDeaths(fingerprint);
      logger.log('crash_recorded', {fingerprint, target, deaths, ranMs});
      if (quarantine.isQuarantined(fingerprint)) {
        logger.log('request_quarantined', {fingerprint, deaths});
      }
      onChanged(fingerprint);
    }
    this.checkWaiting();
  }

  /**
   * Counts a crash once its target is lost: a target that has just crashed may
   * have rejected the run.
   */
  private awaitLoss(
    fingerprints: readonly Fingerprint[],
    entry: TargetEntry,
    run: TargetRun,
    logger: EventLogger,
  ): void {
    this.unconfirmed.add(entry, run.runStartedAtMs, () =>
      this.countCrash(fingerprints, entry, run, logger, true),
    );
  }
}
