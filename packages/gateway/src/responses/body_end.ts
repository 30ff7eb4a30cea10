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

/**
 * What the end of a body proves: that no bytes are missing, that some are, or
 * neither.
 */
export type BodyProof = 'complete' | 'unknown' | 'truncated';

/** How a body ended. */
export interface BodyEnd {
  readonly framing: BodyFraming;
  readonly cause: BodyEndCause;
  /** Number of bytes that arrived. */
  readonly bytes: number;
  /** Longest time in which no byte of the body arrived. */
  readonly silentMs: number;
  readonly proof: BodyProof;
  /** Why bytes are missing; empty unless the body is truncated. */
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
  readonly silentMs: number;
}

/**
 * Determines what the end of a body proves. A closed connection proves nothing
 * if only it delimits the body, and a truncation otherwise.
 * @param framing - How the response delimits its body.
 * @param cause - What ended the body.
 */
export function getBodyProof(
  framing: BodyFraming,
  cause: BodyEndCause,
): BodyProof {
  switch (cause) {
    case 'no_body':
    case 'length_met':
    case 'last_chunk':
      return 'complete';
    case 'closed':
      return framing === 'close' ? 'unknown' : 'truncated';
    case 'reset':
    case 'malformed':
    case 'aborted':
      return 'truncated';
  }
}

/**
 * Determines what the end of an event stream proves. A stream that ends inside
 * an event is truncated, and so is one without an event unless its body is
 * known to be complete.
 * @param end - How the body ended.
 * @param position - Position of the end among the events.
 */
export function getStreamProof(
  {proof}: BodyEnd,
  {events, isInEvent}: StreamPosition,
): BodyProof {
  if (isInEvent) return 'truncated';
  return proof === 'unknown' && events === 0 ? 'truncated' : proof;
}

/**
 * Gets the log fields about a body.
 * @param end - How the body ended.
 * @param position - Set for a stream.
 */
export function getBodyFields(
  {framing, cause, bytes, silentMs}: BodyEnd,
  position?: StreamPosition,
): BodyFields {
  return {framing, end: cause, bytes, silentMs, ...position};
}
