/** Reads the complete body of a target's response into memory. */
import type {IncomingMessage} from 'node:http';

/** The bytes of a response body that arrived, complete or truncated. */
export interface ReceivedBody {
  readonly bytes: Buffer;
  /** Whether the response ended normally, so that no bytes are missing. */
  readonly isComplete: boolean;
  /** Error that truncated the body; empty for a complete one. */
  readonly message: string;
}

/**
 * Reads a body until the response closes. Never rejects: a truncated body
 * resolves with `isComplete` false.
 * @param response - Response whose body has not been read.
 */
export function readResponseBody(
  response: IncomingMessage,
): Promise<ReceivedBody> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let message = 'the response body was truncated';
    response.on('data', (chunk: Buffer) => chunks.push(chunk));
    response.once('error', (error) => {
      ({message} = error);
    });
    response.once('close', () => {
      const isComplete = response.complete && response.errored === null;
      const bytes = Buffer.concat(chunks);
      resolve({bytes, isComplete, message: isComplete ? '' : message});
    });
  });
}
