/** A plain service as the project uses it. */

/** A request to a plain service. */
export interface PlainRequest {
  readonly method: string;
  /** Path and query, starting with `/`. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** A plain service's complete answer. */
export interface PlainResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/**
 * Client of one instance of a plain service. Throws `target_failed` with
 * outcome `not_run` when the request was never sent, and with `unknown` when it
 * may have run; `target_timeout` with `unknown`.
 */
export abstract class PlainServiceClient {
  /**
   * Sends one request, once.
   * @param request - The request.
   * @param signal - Gives up.
   */
  abstract send(
    request: PlainRequest,
    signal: AbortSignal,
  ): Promise<PlainResponse>;
}
