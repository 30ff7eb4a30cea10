/** Identity of what a request asks for. */
import {
  type Fingerprint,
  getDigest,
  type ServiceId,
  type TeamId,
  toId,
} from '@marigoldpost/common';

const fingerprintLength = 32;

/**
 * Gets the fingerprint of a request; equal for each re-send of it.
 * @param team - Its calling team.
 * @param service - Its service.
 * @param content - Its whole content, as text.
 */
export function getFingerprint(
  team: TeamId,
  service: ServiceId,
  content: string,
): Fingerprint {
  return getFingerprintOfParts([team, service, content]);
}

/**
 * Gets the fingerprint of a request from everything that makes it up.
 * @param parts - Equal for each re-send of the request, and no other's.
 */
export function getFingerprintOfParts(parts: readonly string[]): Fingerprint {
  const digest = getDigest(JSON.stringify(parts));
  return toId<Fingerprint>(digest.slice(0, fingerprintLength));
}
