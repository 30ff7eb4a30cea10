/** Reads the complete body of a target's response into memory. */
import type {BodyEnd} from './body_end.js';
import {ByteBlocks} from './byte_blocks.js';
import type {ResponseAllowance} from './response_allowance.js';
import type {TargetBody} from './target_body.js';

/** A response body that was read. */
export interface ReceivedBody {
  /** Bytes that arrived; none of a truncated body. */
  readonly bytes: Buffer;
  readonly end: BodyEnd;
}

/**
 * Reads a body until the response closes; never rejects. While there is no room
 * in memory, the body is not read; one that exceeds its allowance is aborted.
 * @param body - Body that has not been read.
 * @param allowance - Memory for the body.
 * @param signal - Aborts a body that waits for room.
 */
export async function readResponseBody(
  body: TargetBody,
  allowance: ResponseAllowance,
  signal: AbortSignal,
): Promise<ReceivedBody> {
  const {response, length} = body;
  const blocks = ByteBlocks.create(allowance.pool);
  const resume = () => response.resume();
  const update = (result: ReturnType<ResponseAllowance['hold']>) => {
    if (result === 'waiting') response.pause();
    else if (result === 'too_large') body.abortOversized(allowance.maxBytes);
  };
  // A paused response is not aborted with its exchange once all its bytes have
  // arrived.
  const onAbort = () => body.abort('the call was aborted');
  signal.addEventListener('abort', onAbort, {once: true});
  if (signal.aborted) onAbort();
  if (length !== undefined) update(allowance.reserve(length, resume));
  const end = await body.read((chunk) => {
    blocks.append(chunk);
    if (length !== undefined) return;
    update(allowance.hold(blocks.heldBytes, resume));
  });
  signal.removeEventListener('abort', onAbort);
  allowance.finish();
  const isTruncated = end.proof === 'truncated';
  const bytes = isTruncated ? Buffer.alloc(0) : blocks.concat();
  blocks.clear();
  return {bytes, end};
}
