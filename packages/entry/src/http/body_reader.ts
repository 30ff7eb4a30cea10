/** Reads request bodies of limited size. */
import type {IncomingMessage} from 'node:http';
import {MarigoldpostError} from '@marigoldpost/common';

function createTooLargeError(maxBytes: number): MarigoldpostError {
  return MarigoldpostError.create(
    'too_large',
    `the body exceeds ${maxBytes} bytes`,
  );
}

/**
 * Reads a body as UTF-8 text. Throws `too_large` as soon as the limit is
 * exceeded, and `invalid_request` if the bytes are not UTF-8 or the request
 * closes early.
 * @param request - Request whose body has not been read.
 * @param maxBytes - Size limit of the body.
 */
export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<string> {
  const announced = Number(request.headers['content-length'] ?? 0);
  if (announced > maxBytes) throw createTooLargeError(maxBytes);
  const chunks = await readChunks(request, maxBytes);
  try {
    return new TextDecoder('utf-8', {fatal: true, ignoreBOM: true}).decode(
      Buffer.concat(chunks),
    );
  } catch {
    throw MarigoldpostError.create(
      'invalid_request',
      'the body is not UTF-8 text',
    );
  }
}

function readChunks(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Buffer[]> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      chunks.push(chunk);
      if (bytes <= maxBytes) return;
      request.pause();
      chunks.length = 0;
      reject(createTooLargeError(maxBytes));
    });
    request.once('end', () => resolve(chunks));
    request.once('close', () => {
      const message = 'the request closed before the end of the body';
      reject(MarigoldpostError.create('invalid_request', message));
    });
  });
}
