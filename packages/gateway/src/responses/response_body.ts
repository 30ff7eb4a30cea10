/** Reads the complete body of a target's response into memory. */
import type {BodyEnd} from './body_end.js';
import type {TargetBody} from './target_body.js';

/** The bytes of a response body that arrived, complete or truncated. */
export interface ReceivedBody {
  readonly bytes: Buffer;
  readonly end: BodyEnd;
}

/**
 * Reads a body until the response closes; never rejects.
 * @param body - Body that has not been read.
 */
export async function readResponseBody(
  body: TargetBody,
): Promise<ReceivedBody> {
  const chunks: Buffer[] = [];
  const end = await body.read((chunk) => chunks.push(chunk));
  return {bytes: Buffer.concat(chunks), end};
}
