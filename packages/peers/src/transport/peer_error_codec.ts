/** Errors of the project on their way between daemons. */
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
 * Gets the message that carries an error.
 * @param error - Anything thrown by a handler.
 */
export function toPeerError(error: unknown): PeerError {
  const {kind, message, outcome, retryAfterMs} = toMarigoldpostError(error);
  return create(PeerErrorSchema, {kind, message, outcome, retryAfterMs});
}

/**
 * Gets the error that a message carries.
 * @param error - The message; an unknown kind becomes `internal`.
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
