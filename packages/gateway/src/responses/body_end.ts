/** Describes how the body of a target's response ended. */

/**
 * How a response delimits its body: it has none, by its length, in chunks, or
 * only by the end of the connection.
 */
export type BodyFraming = 'none' | 'length' | 'chunked' | 'close';

/** What ended a body; `aborted` means that this daemon closed the connection. */
export type BodyEndCause =
  | 'no_body'
  | 'length_met'
  | 'last_chunk'
  | 'closed'
  | 'reset'
  | 'malformed'
  | 'aborted';

/** How a body ended. */
export interface BodyEnd {
  readonly framing: BodyFraming;
  readonly cause: BodyEndCause;
  /** Number of bytes that arrived. */
  readonly bytes: number;
  /** Whether no bytes are missing. */
  readonly isComplete: boolean;
  /** Why bytes are missing; empty for a complete body. */
  readonly message: string;
}

/** Position of the end of a stream among its events. */
export interface StreamPosition {
  /** Number of complete events. */
  readonly events: number;
  /** Whether the stream ended inside an event. */
  readonly isInEvent: boolean;
}

/** Log fields about the body of a target's response. */
export interface BodyFields extends Partial<StreamPosition> {
  readonly framing: BodyFraming;
  readonly end: BodyEndCause;
  readonly bytes: number;
}

/**
 * Gets the log fields about a body.
 * @param end - How the body ended.
 * @param position - Set for a stream.
 */
export function getBodyFields(
  {framing, cause, bytes}: BodyEnd,
  position?: StreamPosition,
): BodyFields {
  return {framing, end: cause, bytes, ...position};
}
