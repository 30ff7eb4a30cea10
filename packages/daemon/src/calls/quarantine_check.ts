/** Refusal of requests that killed targets. */
import {type Fingerprint, MarigoldpostError} from '@marigoldpost/common';
import type {Quarantine} from '@marigoldpost/targets';

/**
 * Throws `quarantined` when a request must not run.
 * @param quarantine - What the fleet knows.
 * @param fingerprint - The request.
 * @param outcome - Whether an earlier try of it may have run.
 */
export function checkQuarantine(
  quarantine: Quarantine,
  fingerprint: Fingerprint,
  outcome: 'not_run' | 'unknown',
): void {
  if (!quarantine.isQuarantined(fingerprint)) return;
  const targets = quarantine.getDeadTargets(fingerprint).join(', ');
  const message = `request "${fingerprint}" is in quarantine: targets died while they ran it (${targets}); an operator can lift it`;
  throw MarigoldpostError.create('quarantined', message, {outcome});
}
