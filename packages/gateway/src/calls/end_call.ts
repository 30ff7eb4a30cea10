/**
 * Ends calls. A call whose request was read ends in a whole response or in an
 * error; only a response that has begun is broken off, since nothing else tells
 * the client that it is not whole.
 */
import {MarigoldpostError} from '@marigoldpost/common';
import type {StreamResult} from '../responses/stream_relay.js';
import {logRejection} from '../responses/write_response.js';
import type {IncomingCall} from './incoming_call.js';

/**
 * Ends a call whose target's stream has ended: normally, or with an error if
 * the stream is truncated.
 * @param call - Call whose stream was relayed.
 * @param result - How the stream ended.
 */
export function finishStream(call: IncomingCall, result: StreamResult): void {
  if (result.proof === 'truncated') {
    failCall(call, createTruncationError(call, result), result.events);
    return;
  }
  if (call.endReason === 'client_gone' || call.hasEnded) return;
  // A complete stream may have no chunk.
  if (!call.isHeadSent) call.writeHead(result.head);
  call.complete();
}

/**
 * Ends a call with an error response, or breaks its response off if that has
 * begun. Does nothing if the call can no longer be answered or has ended.
 * @param call - Call that has not ended.
 * @param error - Error that ended it.
 * @param events - Complete events that were sent to the client.
 */
export function failCall(
  call: IncomingCall,
  error: MarigoldpostError,
  events = 0,
): void {
  if (!call.canBeAnswered || call.hasEnded) return;
  const {logger} = call;
  const route = call.route.name;
  const elapsedMs = Math.round(call.elapsedMs);
  if (call.isHeadSent) {
    logger.log('answer_broken_off', {
      route,
      reason: call.endReason ?? error.message,
      events,
      durationMs: elapsedMs,
    });
    call.abortResponse();
    return;
  }
  call.reject(error);
  logRejection(logger, {route, status: call.status, error, elapsedMs});
}

function createTruncationError(
  {endReason}: IncomingCall,
  {message}: StreamResult,
): MarigoldpostError {
  const kind = endReason === 'timeout' ? 'target_timeout' : 'target_failed';
  return MarigoldpostError.create(kind, message);
}
