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
import type {IncomingCall} from './incoming_call.js';

/** Dependencies of the tracker. */
export interface CrashTrackerOptions {
  readonly clock: Clock;
  readonly quarantine: Quarantine;
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
   * Records that a target closed its connection while it ran a request. Ignores
   * a run that started before the request's last recorded crash, since one
   * fault may crash many targets at the same time.
   * @param request - Request that the target was running.
   * @param target - Target that crashed.
   * @param ranMs - Time since the request was sent to the target.
   */
  recordCrash(request: TrackedRequest, target: TargetId, ranMs: number): void {
    const {clock, quarantine, onChanged} = this.options;
    const fingerprint = findFingerprint(request);
    if (fingerprint === undefined) return;
    const startedAtMs = clock.wallTimeMs() - ranMs;
    if (startedAtMs < quarantine.getLastDeathMs(fingerprint)) return;
    quarantine.recordDeath(target, [fingerprint]);
    onChanged();
  }

  /**
   * Records that a target responded completely, which clears a suspected
   * request.
   * @param request - Request that completed.
   */
  recordCompletion(request: TrackedRequest): void {
    const {quarantine, onChanged} = this.options;
    if (quarantine.isEmpty) return;
    const fingerprint = findFingerprint(request);
    if (fingerprint === undefined || !quarantine.isSuspect(fingerprint)) return;
    quarantine.recordSurvival(fingerprint);
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
