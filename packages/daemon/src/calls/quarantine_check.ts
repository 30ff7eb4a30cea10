/** Rejects requests on which targets have died. */
import {type Fingerprint, MarigoldpostError} from '@marigoldpost/common';
import type {Quarantine} from '@marigoldpost/targets';

/**
 * Throws `quarantined` if a request is in quarantine.
 * @param quarantine - Target deaths by request, as known to the fleet.
 * @param fingerprint - Fingerprint of the request.
 * @param outcome - Outcome that the error carries; `unknown` if an earlier
 *   attempt may have run.
 */
export function checkQuarantine(
  quarantine: Quarantine,
  fingerprint: Fingerprint,
  outcome: 'not_run' | 'unknown',
): void {
  if (!quarantine.isQuarantined(fingerprint)) return;
  const targets = quarantine.getDeadTargets(fingerprint).join(', ');
  const message = `request "${fingerprint}" is in quarantine: targets died while running it (${targets}); an operator can lift the quarantine`;
  throw MarigoldpostError.create('quarantined', message, {outcome});
}
