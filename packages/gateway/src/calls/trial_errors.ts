/** Errors of requests that are quarantined. */
import {
  type Fingerprint,
  MarigoldpostError,
  type Outcome,
  type TargetId,
} from '@marigoldpost/common';

/**
 * Creates the error of a request that no target may receive any more.
 * @param fingerprint - Fingerprint of the request.
 * @param targets - Targets that it has crashed.
 * @param outcome - `unknown` if an earlier attempt may have run.
 */
export function createQuarantinedError(
  fingerprint: Fingerprint,
  targets: readonly TargetId[],
  outcome: Outcome,
): MarigoldpostError {
  const message = `request "${fingerprint}" is quarantined: it crashed targets ${targets.join(', ')}`;
  return MarigoldpostError.create('quarantined', message, {outcome});
}

/**
 * Creates the error of a request that no target may receive now.
 * @param fingerprint - Fingerprint of the request.
 * @param retryAfterMs - When it may be sent again.
 */
export function createHeldError(
  fingerprint: Fingerprint,
  retryAfterMs: number,
): MarigoldpostError {
  const message = `targets crashed while they ran request "${fingerprint}", so that it runs alone, once at a time, until it has completed`;
  return MarigoldpostError.create('no_target', message, {retryAfterMs});
}
