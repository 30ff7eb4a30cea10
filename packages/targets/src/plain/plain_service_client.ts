/** Interface to an instance of a plain service. */

/** A request to a plain service, with its whole body. */
export interface PlainRequest {
  readonly method: string;
  /** Path and query, starting with `/`. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** An answer of a plain service, with any status. */
export interface PlainResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  /** Set if only the end of the connection delimited the body. */
  readonly isUndelimited?: true;
}

/**
 * Client of one instance of a plain service. Throws `target_failed` with
 * outcome `not_run` if the request was never sent, and with `unknown` if it may
 * have run; `target_timeout` with `unknown`.
 */
export abstract class PlainServiceClient {
  /**
   * Sends a request once, without retries.
   * @param request - Request to send.
   * @param signal - Aborts the request, which then fails as `cancelled`.
   */
  abstract send(
    request: PlainRequest,
    signal: AbortSignal,
  ): Promise<PlainResponse>;
}
