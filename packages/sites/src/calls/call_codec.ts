/** Reads and writes the headers of calls in a site's own terms. */
import type {IncomingHttpHeaders} from 'node:http';
import type {
  AnswerAttributes,
  CallAttributes,
  DispatchTerms,
} from './call_attributes.js';

/** Codec of one site's headers. */
export abstract class CallCodec {
  /**
   * Reads a call's headers; a malformed value counts as absent.
   * @param headers - Headers as received.
   */
  abstract decodeCall(headers: IncomingHttpHeaders): CallAttributes;

  /**
   * Gets the headers that a target receives, as names and values in turn.
   * @param rawHeaders - Headers as received, names and values in turn.
   * @param terms - What the system adds.
   */
  abstract encodeForTarget(
    rawHeaders: readonly string[],
    terms: DispatchTerms,
  ): string[];

  /**
   * Reads an answer's headers.
   * @param status - Its status.
   * @param headers - Headers as received.
   */
  abstract decodeAnswer(
    status: number,
    headers: IncomingHttpHeaders,
  ): AnswerAttributes;

  /**
   * Gets the headers of a target's answer that a client receives.
   * @param rawHeaders - Headers as received, names and values in turn.
   */
  abstract encodeForClient(rawHeaders: readonly string[]): string[];
}
