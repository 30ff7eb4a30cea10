/** Requests over HTTP and what became of them. */

/** A request. */
export interface HttpRequest {
  readonly method: string;
  /** Path and query, starting with `/`. */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Longest time for the answer; the channel's own by default. */
  readonly timeoutMs?: number;
}

/** A complete answer. */
export interface HttpAnswer {
  readonly kind: 'answer';
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/**
 * A request without a complete answer: `cut` lost its connection or got none,
 * `timeout` ran out of time, `aborted` was given up.
 */
export interface HttpFailure {
  readonly kind: 'failure';
  readonly reason: 'cut' | 'timeout' | 'aborted';
  /** Whether any part of the request may have reached the other side. */
  readonly isSent: boolean;
  readonly cause: Error;
}

/** An answer that has begun. */
export interface HttpStream {
  readonly kind: 'stream';
  readonly status: number;
  /** Must be read to its end or returned early; ends with a failure, if any. */
  readonly chunks: HttpChunks;
}

/** Chunks of an answer's body, with backpressure. */
export interface HttpChunks {
  /** Gets the next chunk, or what ended the answer: nothing when complete. */
  next(): Promise<Buffer | HttpFailure | undefined>;
  /** Drops the connection if the answer is not complete. */
  cancel(): void;
}

/** What became of a request whose answer is read whole. */
export type HttpOutcome = HttpAnswer | HttpFailure;

/** What became of a request whose answer is read as it comes. */
export type HttpStreamOutcome = HttpStream | HttpFailure;
