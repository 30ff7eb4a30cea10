/** Fingerprints that identify a request by its content. */
import {
  type Fingerprint,
  getDigest,
  type ServiceId,
  type TeamId,
  toId,
} from '@marigoldpost/common';

const fingerprintLength = 32;

/**
 * Gets the fingerprint of a request; retries of it have the same one.
 * @param team - Calling team of the request.
 * @param service - Service that the request is for.
 * @param content - Complete content of the request, as text.
 */
export function getFingerprint(
  team: TeamId,
  service: ServiceId,
  content: string,
): Fingerprint {
  return getFingerprintOfParts([team, service, content]);
}

/**
 * Gets the fingerprint of a request from its identifying parts.
 * @param parts - Equal for retries of the request, different for any other.
 */
export function getFingerprintOfParts(parts: readonly string[]): Fingerprint {
  const digest = getDigest(JSON.stringify(parts));
  return toId<Fingerprint>(digest.slice(0, fingerprintLength));
}
