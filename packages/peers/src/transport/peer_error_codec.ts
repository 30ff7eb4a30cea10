/** Conversion of errors to and from peer messages. */
import {create} from '@bufbuild/protobuf';
import {
  type ErrorKind,
  isErrorKind,
  MarigoldpostError,
  type Outcome,
  toMarigoldpostError,
} from '@marigoldpost/common';
import {
  type PeerError,
  PeerErrorSchema,
} from '../generated/marigoldpost/peers/v1/peers_pb.js';

const outcomes: readonly string[] = ['not_run', 'unknown', 'ran'];

/**
 * Converts an error to its message.
 * @param error - Any value that a handler threw.
 */
export function toPeerError(error: unknown): PeerError {
  const {kind, message, outcome, retryAfterMs} = toMarigoldpostError(error);
  return create(PeerErrorSchema, {kind, message, outcome, retryAfterMs});
}

/**
 * Converts a message to an error. An unknown kind becomes `internal`, an
 * unknown outcome `unknown`.
 * @param error - Message as received.
 */
export function fromPeerError(error: PeerError): MarigoldpostError {
  const kind: ErrorKind = isErrorKind(error.kind) ? error.kind : 'internal';
  const {retryAfterMs} = error;
  const outcome = toOutcome(error.outcome);
  return MarigoldpostError.create(kind, error.message, {outcome, retryAfterMs});
}

function toOutcome(text: string): Outcome {
  return outcomes.includes(text) ? (text as Outcome) : 'unknown';
}
