/** Framing of log entries: 4-byte length, 4-byte CRC-32, payload. */
import {crc32} from 'node:zlib';

const lengthBytes = 4;
/** Size of the header before each entry. */
export const frameHeaderBytes = 8;
/** Largest entry, in bytes; a turn's input can be as large as a call's body. */
const maxEntryBytes = 64 * 2 ** 20;

/**
 * Prepends the header to an entry.
 * @param entry - Payload of the entry; at least one byte.
 */
export function toFrame(entry: Uint8Array): Buffer {
  const header = Buffer.allocUnsafe(frameHeaderBytes);
  header.writeUInt32LE(entry.byteLength, 0);
  header.writeUInt32LE(crc32(entry), lengthBytes);
  return Buffer.concat([header, entry]);
}

/**
 * Gets the entry whose frame starts at an offset; `undefined` when the frame
 * is incomplete or its checksum does not match.
 * @param bytes - Contents of a log file.
 * @param offset - First byte of the frame.
 */
export function readFrame(bytes: Buffer, offset: number): Buffer | undefined {
  const start = offset + frameHeaderBytes;
  if (start > bytes.byteLength) return undefined;
  const length = bytes.readUInt32LE(offset);
  // A run of zeros decodes as an empty entry; the log never writes one.
  if (length === 0 || length > maxEntryBytes) return undefined;
  if (start + length > bytes.byteLength) return undefined;
  const entry = bytes.subarray(start, start + length);
  const isIntact = crc32(entry) === bytes.readUInt32LE(offset + lengthBytes);
  return isIntact ? entry : undefined;
}
