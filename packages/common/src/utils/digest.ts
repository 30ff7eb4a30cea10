/** Digests for identities and placement. */
import {createHash} from 'node:crypto';

/**
 * Gets the SHA-256 digest of a text, in hexadecimal.
 * @param text - Any text.
 */
export function getDigest(text: string | Uint8Array): string {
  return createHash('sha256').update(text).digest('hex');
}

/**
 * Gets a number that spreads evenly over 32 bits.
 * @param text - Any text.
 */
export function getHashNumber(text: string): number {
  return createHash('sha256').update(text).digest().readUInt32BE(0);
}

/**
 * Gets a value as JSON with the keys of each object in order, so that equal
 * values have equal texts.
 * @param value - A value that JSON can hold.
 */
export function toCanonicalJson(value: unknown): string {
  return JSON.stringify(value, (_key, inner: unknown) => {
    if (typeof inner !== 'object' || inner === null) return inner;
    if (Array.isArray(inner)) return inner as unknown[];
    const entries = Object.entries(inner as Record<string, unknown>);
    entries.sort(([left], [right]) => (left < right ? -1 : 1));
    return Object.fromEntries(entries);
  });
}
