/** Reads the body of a client's request. */
import type {IncomingMessage} from 'node:http';
import {MarigoldpostError} from '@marigoldpost/common';

/** Options of a read. */
export interface BodyReadOptions {
  readonly maxBytes: number;
  /** Ends the read, for example when the time is up. */
  readonly signal: AbortSignal;
}

/**
 * Reads a body whole. Throws `too_large` above the limit, `body_timeout` when
 * it does not arrive in time.
 * @param request - The request.
 * @param options - Limits.
 */
export function readBody(
  request: IncomingMessage,
  {maxBytes, signal}: BodyReadOptions,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const fail = (kind: 'too_large' | 'body_timeout', message: string) => {
      request.removeAllListeners('data');
      reject(MarigoldpostError.create(kind, message));
    };
    const onAbort = () => fail('body_timeout', 'the body did not arrive');
    signal.addEventListener('abort', onAbort, {once: true});
    request.on('data', (chunk: Buffer) => {
      size += chunk.byteLength;
      if (size > maxBytes) fail('too_large', `body above ${maxBytes} bytes`);
      else chunks.push(chunk);
    });
    request.once('end', () => {
      signal.removeEventListener('abort', onAbort);
      resolve(Buffer.concat(chunks));
    });
    request.once('error', onAbort);
  });
}
