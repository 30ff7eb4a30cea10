/** Reads request bodies of limited size. */
import type {IncomingMessage} from 'node:http';
import {MarigoldpostError} from '@marigoldpost/common';
import type {BodyMemory} from './body_memory.js';
import type {BodyRoom} from './body_room.js';

/** Size of the first buffer of a body that announces no length. */
const firstBytes = 4096;

/** A body, and its room in the memory for bodies. */
export interface ReadBody {
  readonly text: string;
  /** To be released once the text is no longer needed. */
  readonly room: BodyRoom;
}

function createTooLargeError(maxBytes: number): MarigoldpostError {
  return MarigoldpostError.create(
    'too_large',
    `the body exceeds ${maxBytes} bytes`,
  );
}

/**
 * Reads a body as UTF-8 text. Throws `too_large` as soon as the limit is
 * exceeded, `overloaded` if there is no room for it (before it is read, if its
 * length is known), `body_timeout` if it arrives slowly and others need the room,
 * and `invalid_request` if the bytes are not UTF-8 or the request closes early.
 * @param request - Request whose body has not been read.
 * @param maxBytes - Size limit of the body.
 * @param memory - Memory of all bodies.
 */
export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
  memory: BodyMemory,
): Promise<ReadBody> {
  const announced = Number(request.headers['content-length'] ?? 0);
  if (announced > maxBytes) throw createTooLargeError(maxBytes);
  const {bytes, room} = await readBytes(request, announced, maxBytes, memory);
  try {
    const decoder = new TextDecoder('utf-8', {fatal: true, ignoreBOM: true});
    return {text: decoder.decode(bytes), room};
  } catch {
    room.release();
    throw MarigoldpostError.create(
      'invalid_request',
      'the body is not UTF-8 text',
    );
  }
}

function readBytes(
  request: IncomingMessage,
  announcedBytes: number,
  maxBytes: number,
  memory: BodyMemory,
): Promise<{bytes: Buffer; room: BodyRoom}> {
  return new Promise((resolve, reject) => {
    let buffer = Buffer.alloc(0);
    let length = 0;
    let isDone = false;
    const fail = (error: unknown) => {
      if (isDone) return;
      isDone = true;
      request.off('data', append);
      request.pause();
      room.release();
      buffer = Buffer.alloc(0);
      reject(error);
    };
    const room = memory.open(fail);
    const resize = (capacity: number) => {
      room.grow(capacity);
      const resized = Buffer.allocUnsafeSlow(capacity);
      buffer.copy(resized, 0, 0, length);
      buffer = resized;
    };
    // A buffer for each chunk would cost much more than chunks of a few bytes.
    const append = (chunk: Buffer) => {
      const end = length + chunk.byteLength;
      try {
        if (end > maxBytes) throw createTooLargeError(maxBytes);
        if (end > buffer.byteLength) {
          const wanted = Math.max(end, 2 * buffer.byteLength, firstBytes);
          resize(Math.min(wanted, maxBytes));
        }
      } catch (error) {
        fail(error);
        return;
      }
      chunk.copy(buffer, length);
      length = end;
    };
    request.once('end', () => {
      if (isDone) return;
      isDone = true;
      room.settle();
      resolve({bytes: buffer.subarray(0, length), room});
      buffer = Buffer.alloc(0);
    });
    request.once('close', () => {
      const message = 'the request closed before the end of the body';
      fail(MarigoldpostError.create('invalid_request', message));
    });
    try {
      if (announcedBytes > 0) resize(announcedBytes);
      request.on('data', append);
    } catch (error) {
      fail(error);
    }
  });
}
