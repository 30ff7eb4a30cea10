/**
 * Tracks requests that crash targets. Guards against this load pattern: one
 * request crashes each target that starts it, and its client retries it
 * repeatedly, on any entry VM.
 */
import {
  type Clock,
  type Fingerprint,
  MarigoldpostError,
  type TargetId,
} from '@marigoldpost/common';
import type {TargetEntry} from '@marigoldpost/sites';
import type {Quarantine} from '@marigoldpost/targets';
import type {EventLogger, Metrics} from '@marigoldpost/telemetry';
import {RecentCompletions} from './recent_completions.js';
import {RecentCrashes, type TargetRun} from './recent_crashes.js';
import type {RequestFingerprint, TrackedRequest} from './tracked_request.js';
import {UnconfirmedCrashes} from './unconfirmed_crashes.js';

const minErrorStatus = 400;

/** Dependencies of the tracker. */
export interface CrashTrackerOptions {
  readonly clock: Clock;
  readonly quarantine: Quarantine;
  readonly metrics: Metrics;
  /** Called when this daemon records a crash or clears a suspected request. */
  readonly onChanged: (fingerprint: Fingerprint) => void;
}

/**
 * What shows that a run has crashed its target: its connection `broke`, the
 * target was `lost` after a run without a proven end, or both.
 */
type CrashEvidence = 'broke' | 'lost' | 'broke_and_lost';

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
  private readonly recentCompletions: RecentCompletions;
  private readonly waiting = new Set<WaitingRequest>();

  private constructor(private readonly options: CrashTrackerOptions) {
    this.unconfirmed = UnconfirmedCrashes.create(options.clock);
    this.recentCrashes = RecentCrashes.create(options.clock);
    this.recentCompletions = RecentCompletions.create(options.clock);
  }

  /**
   * Creates a tracker.
   * @param options - The quarantine, and the listener that publishes changes.
   */
  static create(options: CrashTrackerOptions): CrashTracker {
    return new CrashTracker(options);
  }

  /**
   * Throws `quarantined` if the request must not be sent to another target.
   * @param request - Request about to be sent.
   * @param outcome - `unknown` if an earlier attempt may have run.
   */
  check(request: TrackedRequest, outcome: 'not_run' | 'unknown'): void {
    const {quarantine} = this.options;
    if (quarantine.isEmpty) return;
    const fingerprint = this.findQuarantined(request);
    if (fingerprint === undefined) return;
    const targets = quarantine.getDeadTargets(fingerprint).join(', ');
    const message = `request "${fingerprint}" is quarantined: it crashed targets ${targets}`;
    throw MarigoldpostError.create('quarantined', message, {outcome});
  }

  /**
   * Notifies a request that waits for a target if it is quarantined meanwhile.
   * Returns a function that ends the notification.
   * @param request - Request that has passed `check`.
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
      if (this.findQuarantined(request) !== undefined) onQuarantined();
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
    const fingerprint = this.findSuspects(request.fingerprints)[0];
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
    this.countCrash(fingerprints, target, run, call.logger, 'broke');
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
      this.countCrash(fingerprints, target, run, logger, 'lost'),
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
      () => this.countCrash(fingerprints, target, run, logger, 'lost'),
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
   * request, and a quarantined one that could still be sent. An error clears
   * nothing: a target may reject a request that it has not started, and a
   * failing one may send a server error for it.
   * @param request - Request that completed.
   * @param target - Target that responded.
   * @param status - Status of the response.
   */
  recordCompletion(
    request: TrackedRequest,
    target: TargetId,
    status: number,
  ): void {
    if (status >= minErrorStatus) return;
    for (const identity of request.identities) {
      this.recentCompletions.add(identity);
    }
    // Reading the fingerprints hashes the body.
    if (this.options.quarantine.isEmpty) return;
    const {fingerprints, call} = request;
    this.clearSuspicion(fingerprints, target, status, call.logger);
  }

  private clearSuspicion(
    fingerprints: readonly RequestFingerprint[],
    target: TargetId,
    status: number,
    logger: EventLogger,
  ): void {
    const {quarantine, metrics, onChanged} = this.options;
    if (status >= minErrorStatus) return;
    for (const fingerprint of this.findSuspects(fingerprints)) {
      if (quarantine.isQuarantined(fingerprint)) quarantine.lift(fingerprint);
      else quarantine.recordSurvival(fingerprint);
      metrics.addToCounter('crash_records_total', {event: 'cleared'});
      logger.log('suspicion_cleared', {fingerprint, target, status});
      onChanged(fingerprint);
    }
  }

  private findQuarantined({
    fingerprints,
  }: TrackedRequest): Fingerprint | undefined {
    const {quarantine} = this.options;
    return fingerprints.find(({fingerprint, extraDeaths}) =>
      quarantine.isQuarantined(fingerprint, extraDeaths),
    )?.fingerprint;
  }

  private findSuspects(
    fingerprints: readonly RequestFingerprint[],
  ): Fingerprint[] {
    const {quarantine} = this.options;
    return fingerprints
      .filter(
        ({fingerprint, extraDeaths}) =>
          quarantine.countDeaths(fingerprint) > 0 &&
          !quarantine.isQuarantined(fingerprint, extraDeaths),
      )
      .map(({fingerprint}) => fingerprint);
  }

  private countCrash(
    fingerprints: readonly RequestFingerprint[],
    entry: TargetEntry,
    run: TargetRun,
    logger: EventLogger,
    evidence: CrashEvidence,
  ): void {
    const {quarantine, metrics, onChanged} = this.options;
    const {id: target, startedAtMs} = entry;
    const ranMs = Math.round(run.runEndedAtMs - run.runStartedAtMs);
    const isLateBreak =
      evidence !== 'lost' && this.recentCrashes.mayHaveCrashed(run);
    const isKnownCrash = isLateBreak && evidence === 'broke_and_lost';
    if (!isKnownCrash && this.recentCrashes.explains(entry, run)) {
      const reason = 'the target had crashed before the run';
      logger.log('crash_not_counted', {target, reason, ranMs});
      if (isLateBreak) this.awaitLoss(fingerprints, [], entry, run, logger);
      return;
    }
    const suspects = this.excludeCompleted(fingerprints, run);
    if (suspects.length === 0) {
      this.recentCrashes.add(entry, run);
      const reason = 'the request has just completed';
      logger.log('crash_not_counted', {target, reason, ranMs});
      return;
    }
    const counted = suspects
      .filter(({fingerprint, isShared}) => {
        // Silent runs of different requests may have met one fault.
        const isConfirmed =
          evidence === 'broke_and_lost' || (evidence === 'lost' && !isShared);
        const details = {startedAtMs, isShared, isConfirmed, ...run};
        const [recorded] = quarantine.recordDeath(
          target,
          [fingerprint],
          details,
        );
        return recorded !== undefined;
      })
      .map(({fingerprint}) => fingerprint);
    if (evidence === 'broke') {
      this.awaitLoss(suspects, counted, entry, run, logger);
    }
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

  /** Leaves out requests that have completed shortly before a run, or since. */
  private excludeCompleted(
    fingerprints: readonly RequestFingerprint[],
    run: TargetRun,
  ): RequestFingerprint[] {
    return fingerprints.filter(
      ({identity}) =>
        identity === undefined ||
        !this.recentCompletions.excuses(identity, run),
    );
  }

  /**
   * Counts a crash once its target is lost, if it does not count yet: copies of
   * a request that break at the same time may all have met one fault of this
   * daemon or its network.
   */
  private awaitLoss(
    fingerprints: readonly RequestFingerprint[],
    counted: readonly Fingerprint[],
    entry: TargetEntry,
    run: TargetRun,
    logger: EventLogger,
  ): void {
    const uncounted = fingerprints.filter(
      ({fingerprint}) => !counted.includes(fingerprint),
    );
    if (uncounted.length === 0) return;
    this.unconfirmed.add(entry, run.runStartedAtMs, () =>
      this.countCrash(uncounted, entry, run, logger, 'broke_and_lost'),
    );
  }
}
