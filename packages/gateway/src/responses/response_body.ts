/** Reads the complete body of a target's response into memory. */
import type {BodyEnd} from './body_end.js';
import type {ResponseAllowance} from './response_allowance.js';
import type {TargetBody} from './target_body.js';

/** The bytes of a response body that arrived, complete or truncated. */
export interface ReceivedBody {
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
  const chunks: Buffer[] = [];
  let size = 0;
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
    chunks.push(chunk);
    size += chunk.byteLength;
    if (length === undefined) update(allowance.hold(size, resume));
  });
  signal.removeEventListener('abort', onAbort);
  allowance.finish();
  return {bytes: Buffer.concat(chunks), end};
}
