/** Frames of entries in a log file: length, checksum, bytes. */
import {crc32} from 'node:zlib';

const lengthBytes = 4;
/** Bytes before each entry. */
export const frameHeaderBytes = 8;
/** Largest entry, in bytes: a turn's input may be as large as a body. */
const maxEntryBytes = 64 * 2 ** 20;

/**
 * Wraps an entry.
 * @param entry - The entry's bytes.
 */
export function toFrame(entry: Uint8Array): Buffer {
  const header = Buffer.allocUnsafe(frameHeaderBytes);
  header.writeUInt32LE(entry.byteLength, 0);
  header.writeUInt32LE(crc32(entry), lengthBytes);
  return Buffer.concat([header, entry]);
}

/**
 * Gets the entry that begins at an offset; nothing when no whole, intact entry
 * stands there.
 * @param bytes - Bytes of a log file.
 * @param offset - Where the frame begins.
 */
export function readFrame(bytes: Buffer, offset: number): Buffer | undefined {
  const start = offset + frameHeaderBytes;
  if (start > bytes.byteLength) return undefined;
  const length = bytes.readUInt32LE(offset);
  // A run of zeros reads as an empty entry; the log never writes one.
  if (length === 0 || length > maxEntryBytes) return undefined;
  if (start + length > bytes.byteLength) return undefined;
  const entry = bytes.subarray(start, start + length);
  const isIntact = crc32(entry) === bytes.readUInt32LE(offset + lengthBytes);
  return isIntact ? entry : undefined;
}
