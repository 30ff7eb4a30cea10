/**
 * Tracks requests that crash targets. Guards against this load pattern: one
 * request crashes each target that starts it, and its client retries it
 * repeatedly, on any entry VM.
 */
import {
  type Clock,
  type Fingerprint,
  getDigest,
  MarigoldpostError,
  type TargetId,
} from '@marigoldpost/common';
import {getFingerprintOfParts, type Quarantine} from '@marigoldpost/targets';
import type {Metrics} from '@marigoldpost/telemetry';
import type {IncomingCall} from './incoming_call.js';

/** Dependencies of the tracker. */
export interface CrashTrackerOptions {
  readonly clock: Clock;
  readonly quarantine: Quarantine;
  readonly metrics: Metrics;
  /** Called when this daemon adds or clears a suspected request. */
  readonly onChanged: () => void;
}

/** A request with the body that targets receive. */
export interface TrackedRequest {
  readonly call: IncomingCall;
  readonly body: Uint8Array;
}

/**
 * Records crashes that one daemon observes in the fleet-wide quarantine. Has no
 * cost while no target crashes: requests are not hashed then.
 */
export class CrashTracker {
  private constructor(private readonly options: CrashTrackerOptions) {}

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
    const fingerprint = findFingerprint(request);
    if (fingerprint === undefined) return;
    if (!quarantine.isQuarantined(fingerprint)) return;
    const targets = quarantine.getDeadTargets(fingerprint).join(', ');
    const message = `request "${fingerprint}" is quarantined: it crashed targets ${targets}`;
    throw MarigoldpostError.create('quarantined', message, {outcome});
  }

  /**
   * Logs that a request is sent although a target has crashed on it.
   * @param request - Request about to be sent.
   * @param target - Target that receives it.
   */
  recordSend(request: TrackedRequest, target: TargetId): void {
    const {quarantine, metrics} = this.options;
    if (quarantine.isEmpty) return;
    const fingerprint = findFingerprint(request);
    if (fingerprint === undefined || !quarantine.isSuspect(fingerprint)) return;
    const deaths = quarantine.getDeadTargets(fingerprint).length;
    metrics.addToCounter('crash_records_total', {event: 'suspect_sent'});
    request.call.logger.log('suspect_sent', {fingerprint, target, deaths});
  }

  /**
   * Records that a target closed its connection while it ran a request. Ignores
   * a run that started before the request's last recorded crash, since one
   * fault may crash many targets at the same time.
   * @param request - Request that the target was running.
   * @param target - Target that crashed.
   * @param ranMs - Time since the request was sent to the target.
   */
  recordCrash(request: TrackedRequest, target: TargetId, ranMs: number): void {
    const {clock, quarantine, metrics, onChanged} = this.options;
    const {logger} = request.call;
    const roundedMs = Math.round(ranMs);
    const fingerprint = findFingerprint(request);
    if (fingerprint === undefined) {
      const reason = 'the request has no fingerprint';
      logger.log('crash_not_counted', {target, reason, ranMs: roundedMs});
      return;
    }
    const startedAtMs = clock.wallTimeMs() - ranMs;
    if (startedAtMs < quarantine.getLastDeathMs(fingerprint)) {
      const reason = 'the run began before the last crash';
      logger.log('crash_not_counted', {target, reason, ranMs: roundedMs});
      return;
    }
    quarantine.recordDeath(target, [fingerprint]);
    metrics.addToCounter('crash_records_total', {event: 'recorded'});
    const deaths = quarantine.getDeadTargets(fingerprint).length;
    const fields = {fingerprint, target, deaths, ranMs: roundedMs};
    logger.log('crash_recorded', fields);
    if (quarantine.isQuarantined(fingerprint)) {
      logger.log('request_quarantined', {fingerprint, deaths});
    }
    onChanged();
  }

  /**
   * Records that a target responded completely, which clears a suspected
   * request.
   * @param request - Request that completed.
   * @param target - Target that responded.
   * @param status - Status of the response.
   */
  recordCompletion(
    request: TrackedRequest,
    target: TargetId,
    status: number,
  ): void {
    const {quarantine, metrics, onChanged} = this.options;
    if (quarantine.isEmpty) return;
    const fingerprint = findFingerprint(request);
    if (fingerprint === undefined || !quarantine.isSuspect(fingerprint)) return;
    quarantine.recordSurvival(fingerprint);
    metrics.addToCounter('crash_records_total', {event: 'cleared'});
    request.call.logger.log('suspicion_cleared', {fingerprint, target, status});
    onChanged();
  }
}

/**
 * Gets a fingerprint that is the same for each retry of a request. It is
 * `undefined` for a request with neither program nor body: only its path would
 * identify it, and other requests share that.
 */
function findFingerprint({
  call,
  body,
}: TrackedRequest): Fingerprint | undefined {
  const {method = '', url = '', headers} = call.request;
  const {program} = call.attributes;
  if (program === undefined && body.byteLength === 0) return undefined;
  const {host = ''} = headers;
  const parts = [method, host, url, program ?? '', getDigest(body)];
  return getFingerprintOfParts(parts);
}
