/**
 * Checks of messages before they go on a stream: one that cannot be encoded, or
 * that the peer rejects, would end the stream with all its exchanges.
 */
import {create, toBinary} from '@bufbuild/protobuf';
import {
  type DaemonId,
  MarigoldpostError,
  type Outcome,
} from '@marigoldpost/common';
import {
  PeerReplySchema,
  type PeerRequest,
  PeerRequestSchema,
} from '../generated/marigoldpost/peers/v1/peers_pb.js';
import type {PeerReplyBody, PeerRequestBody} from './peer_transport.js';

/** Maximum size of a message between daemons, in bytes. */
export const maxMessageBytes = 32 * 2 ** 20;
/** Upper bound on what a frame adds to a request or reply, in bytes. */
const frameBytes = 32;

/**
 * Throws `too_large` for a request that the peer would reject, and
 * `invalid_request` for one that cannot be encoded.
 * @param sender - Daemon that sends the request.
 * @param body - Request to send.
 */
export function checkRequest(sender: DaemonId, body: PeerRequestBody): void {
  const request = create(PeerRequestSchema, {sender, body});
  checkSize(getRequestBytes(request), 'not_run');
}

/**
 * Throws `too_large` for a reply that the requester would reject, and another
 * error for one that cannot be encoded; the request has been handled.
 * @param body - Reply to send.
 */
export function checkReply(body: PeerReplyBody): void {
  const reply = create(PeerReplySchema, {body});
  checkSize(toBinary(PeerReplySchema, reply).byteLength, 'unknown');
}

function getRequestBytes(request: PeerRequest): number {
  try {
    return toBinary(PeerRequestSchema, request).byteLength;
  } catch (error) {
    const cause = error instanceof Error ? error : new Error(String(error));
    const message = `message cannot be encoded: ${cause.message}`;
    throw MarigoldpostError.create('invalid_request', message, {cause});
  }
}

function checkSize(bytes: number, outcome: Outcome): void {
  if (bytes + frameBytes <= maxMessageBytes) return;
  const message = `message of ${bytes} bytes exceeds the limit of ${maxMessageBytes}`;
  throw MarigoldpostError.create('too_large', message, {outcome});
}
