/** Reads the body of a client's request into memory. */
import type {IncomingMessage} from 'node:http';
import {MarigoldpostError, toMarigoldpostError} from '@marigoldpost/common';
import {BlockPool} from '../responses/block_pool.js';
import {ByteBlocks} from '../responses/byte_blocks.js';
import type {RequestAllowance} from './request_allowance.js';

/** Bodies are small, and their blocks are not kept. */
const pool = BlockPool.create(0);

/** Limits for reading a request body. */
export interface BodyReadOptions {
  readonly maxBytes: number;
  /** Aborts the read, for example when the call's deadline expires. */
  readonly signal: AbortSignal;
  /** Room in the memory for request bodies; unbounded if omitted. */
  readonly allowance?: RequestAllowance;
}

/**
 * Reads a complete body. Throws `too_large` if it exceeds `maxBytes`,
 * `overloaded` if there is no room for it (before it is read, if its length is
 * known), and `body_timeout` if the read is aborted or the request fails.
 * @param request - Request whose body has not been read.
 * @param options - Size limit and abort signal.
 */
export function readBody(
  request: IncomingMessage,
  {maxBytes, signal, allowance}: BodyReadOptions,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const announcedBytes = Number(request.headers['content-length'] ?? 0);
    // Throwing rejects the promise; a longer body fails as too large.
    allowance?.grow(Math.min(announcedBytes, maxBytes));
    const blocks = ByteBlocks.create(pool);
    const failWith = (error: MarigoldpostError) => {
      request.removeAllListeners('data');
      reject(error);
    };
    const fail = (kind: 'too_large' | 'body_timeout', message: string) =>
      failWith(MarigoldpostError.create(kind, message));
    const onAbort = () =>
      fail('body_timeout', 'the request body did not arrive in time');
    signal.addEventListener('abort', onAbort, {once: true});
    request.on('data', (chunk: Buffer) => {
      blocks.append(chunk);
      if (blocks.byteLength > maxBytes) {
        fail('too_large', `body exceeds ${maxBytes} bytes`);
        return;
      }
      try {
        allowance?.grow(blocks.byteLength);
      } catch (error) {
        failWith(toMarigoldpostError(error));
      }
    });
    request.once('end', () => {
      signal.removeEventListener('abort', onAbort);
      resolve(blocks.concat());
    });
    request.once('error', onAbort);
  });
}
