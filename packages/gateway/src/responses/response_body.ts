/** Reads the complete body of a target's response into memory. */
import type {BodyEnd} from './body_end.js';
import type {ResponseAllowance} from './response_memory.js';
import type {TargetBody} from './target_body.js';

/** The bytes of a response body that arrived, complete or truncated. */
export interface ReceivedBody {
  readonly bytes: Buffer;
  readonly end: BodyEnd;
}

/**
 * Reads a body until the response closes; never rejects. A body without room
 * in memory is not read any further.
 * @param body - Body that has not been read.
 * @param allowance - Memory for the body.
 */
export async function readResponseBody(
  body: TargetBody,
  allowance: ResponseAllowance,
): Promise<ReceivedBody> {
  const chunks: Buffer[] = [];
  let size = 0;
  const end = await body.read((chunk) => {
    size += chunk.byteLength;
    if (allowance.hold(size)) chunks.push(chunk);
    else body.abortOversized(allowance.maxBytes);
  });
  return {bytes: Buffer.concat(chunks), end};
}
