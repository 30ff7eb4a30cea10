/** Hashes for identifiers and placement, and canonical JSON. */
import {createHash} from 'node:crypto';

/**
 * Computes the SHA-256 digest in hexadecimal.
 * @param text - Text, hashed as UTF-8, or bytes.
 */
export function getDigest(text: string | Uint8Array): string {
  return createHash('sha256').update(text).digest('hex');
}

/**
 * Computes a uniformly distributed 32-bit hash.
 * @param text - Text, hashed as UTF-8.
 */
export function getHashNumber(text: string): number {
  return createHash('sha256').update(text).digest().readUInt32BE(0);
}

/**
 * Serializes a value as JSON with sorted object keys, so that equal values
 * have equal texts.
 * @param value - A value that JSON can represent.
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
