/**
 * Requests that broke the targets that ran them. Load pattern: one request
 * crashes each target that begins it, and its client sends it again and again,
 * at any entry VM.
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

/** Options of the suspects. */
export interface CrashSuspectsOptions {
  readonly clock: Clock;
  readonly quarantine: Quarantine;
  /** Called when a request is suspected, or cleared, by this daemon. */
  readonly onChanged: () => void;
}

/** One request as targets see it. */
export interface SuspectRequest {
  readonly call: IncomingCall;
  readonly body: Uint8Array;
}

/** Suspects of one daemon; costs nothing while no target breaks. */
export class CrashSuspects {
  private constructor(private readonly options: CrashSuspectsOptions) {}

  /**
   * Creates the suspects.
   * @param options - What the fleet knows, and who tells it.
   */
  static create(options: CrashSuspectsOptions): CrashSuspects {
    return new CrashSuspects(options);
  }

  /**
   * Throws `quarantined` when a request must not reach another target.
   * @param request - The request.
   * @param outcome - Whether an earlier attempt may have run.
   */
  check(request: SuspectRequest, outcome: 'not_run' | 'unknown'): void {
    const {quarantine} = this.options;
    if (quarantine.isEmpty) return;
    const fingerprint = findFingerprint(request);
    if (fingerprint === undefined) return;
    if (!quarantine.isQuarantined(fingerprint)) return;
    const targets = quarantine.getDeadTargets(fingerprint).join(', ');
    const message = `request "${fingerprint}" broke each target that ran it: ${targets}`;
    throw MarigoldpostError.create('quarantined', message, {outcome});
  }

  /**
   * Notes that a target broke off while it ran a request. Runs that began
   * before an earlier break say nothing more: one fault may break many targets
   * at a time.
   * @param request - The request.
   * @param target - The target.
   * @param ranMs - How long it had the request.
   */
  noteBroken(request: SuspectRequest, target: TargetId, ranMs: number): void {
    const {clock, quarantine, onChanged} = this.options;
    const fingerprint = findFingerprint(request);
    if (fingerprint === undefined) return;
    const beganAtMs = clock.wallTimeMs() - ranMs;
    if (beganAtMs < quarantine.getLastDeathMs(fingerprint)) return;
    quarantine.noteDeath(target, [fingerprint]);
    onChanged();
  }

  /**
   * Notes that a target answered a request whole.
   * @param request - The request.
   */
  noteAnswered(request: SuspectRequest): void {
    const {quarantine, onChanged} = this.options;
    if (quarantine.isEmpty) return;
    const fingerprint = findFingerprint(request);
    if (fingerprint === undefined || !quarantine.isSuspect(fingerprint)) return;
    quarantine.noteSurvived(fingerprint);
    onChanged();
  }
}

/**
 * Gets what each re-send of a request has in common; nothing for a request that
 * only its path tells apart, since others share that.
 */
function findFingerprint({
  call,
  body,
}: SuspectRequest): Fingerprint | undefined {
  const {method = '', url = '', headers} = call.request;
  const {program} = call.attributes;
  if (program === undefined && body.byteLength === 0) return undefined;
  const {host = ''} = headers;
  const parts = [method, host, url, program ?? '', getDigest(body)];
  return getFingerprintOfParts(parts);
}
