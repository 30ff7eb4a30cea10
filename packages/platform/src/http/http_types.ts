/** HTTP requests and their outcomes. */

/** A request of an `HttpChannel`. */
export interface HttpRequest {
  readonly method: string;
  /** Path and query, beginning with `/`. */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Timeout for the response; the channel's timeout by default. */
  readonly timeoutMs?: number;
}

/** A response with any status that is not known to be truncated. */
export interface HttpResponse {
  readonly kind: 'answer';
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  /**
   * Whether a length or a last chunk proves that the body is complete. If not,
   * it ended with its connection.
   */
  readonly isDelimited: boolean;
}

/**
 * A request without a complete response: `cut` means that the connection was
 * lost or not established, or that the response was too large; `timeout` that
 * the timeout expired; `aborted` that the caller aborted the request.
 */
export interface HttpFailure {
  readonly kind: 'failure';
  readonly reason: 'cut' | 'timeout' | 'aborted';
  /** Whether any part of the request may have reached the server. */
  readonly isSent: boolean;
  readonly cause: Error;
}

/** A response whose head has arrived. */
export interface HttpStream {
  readonly kind: 'stream';
  readonly status: number;
  /** Must be read to its end or cancelled; a failure, if any, comes last. */
  readonly chunks: HttpChunks;
}

/** Chunks of a response body, with backpressure. */
export interface HttpChunks {
  /**
   * Gets the next chunk. At the end, gets undefined if the response is
   * complete, otherwise the failure.
   */
  next(): Promise<Buffer | HttpFailure | undefined>;
  /** Closes the connection if the response is not complete. */
  cancel(): void;
}

/** Outcome of a request whose response is read completely. */
export type HttpOutcome = HttpResponse | HttpFailure;

/** Outcome of a request whose response is streamed. */
export type HttpStreamOutcome = HttpStream | HttpFailure;
