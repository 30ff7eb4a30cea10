/** Decodes and encodes the headers that a site's clients and targets use. */
import type {IncomingHttpHeaders} from 'node:http';
import type {
  ResponseAttributes,
  CallAttributes,
  DispatchParameters,
} from './call_attributes.js';

/** Converts between HTTP headers and call attributes for one platform. */
export abstract class CallCodec {
  /**
   * Decodes a call's headers; a malformed value counts as absent.
   * @param headers - Headers of the client's request.
   */
  abstract decodeCall(headers: IncomingHttpHeaders): CallAttributes;

  /**
   * Gets the headers of a request to a target, as alternating names and values.
   * @param rawHeaders - Headers of the client's request, as alternating names
   *   and values.
   * @param parameters - Values that are added to the client's headers.
   */
  abstract encodeForTarget(
    rawHeaders: readonly string[],
    parameters: DispatchParameters,
  ): string[];

  /**
   * Decodes the headers of a target's response.
   * @param status - HTTP status of the response.
   * @param headers - Headers of the response.
   */
  abstract decodeResponse(
    status: number,
    headers: IncomingHttpHeaders,
  ): ResponseAttributes;

  /**
   * Gets the headers of a target's response that are forwarded to the client.
   * @param rawHeaders - Headers of the response, as alternating names and
   *   values.
   */
  abstract encodeForClient(rawHeaders: readonly string[]): string[];
}
