/** Reads the body of a target's answer whole. */
import type {IncomingMessage} from 'node:http';

/** A body as far as it arrived. */
export interface BodyResult {
  readonly bytes: Buffer;
  /** Whether it is the whole body. */
  readonly isComplete: boolean;
  /** What cut it off; empty for a whole one. */
  readonly message: string;
}

/**
 * Reads a body to its end.
 * @param response - The answer.
 */
export function readAnswerBody(response: IncomingMessage): Promise<BodyResult> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let message = 'the answer was cut off';
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
