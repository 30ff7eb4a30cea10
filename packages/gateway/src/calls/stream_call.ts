/** Serves calls whose response is a stream of server-sent events. */
import type {ServiceId, TargetId} from '@marigoldpost/common';
import {getBodyFields} from '../responses/body_end.js';
import {readResponseBody} from '../responses/response_body.js';
import type {BufferedResponse} from '../responses/write_response.js';
import {StreamRelay, type StreamResult} from '../responses/stream_relay.js';
import {isNotRunStatus} from '../responses/not_run_statuses.js';
import type {CallServices} from './call_services.js';
import type {IncomingCall} from './incoming_call.js';
import {getClientHeaders} from './plain_call.js';
import {measureRun} from './stream_run.js';
import {
  type CallBody,
  type LeasedResponse,
  TargetAttempts,
} from './target_attempts.js';

/** Is told of the steps of a stream call. */
export interface StreamObserver {
  /**
   * Awaited before the first byte of a stream is forwarded; `false` if none may
   * be.
   */
  beforeStream(): Promise<boolean>;
  /** Awaited before a response with another status is forwarded. */
  beforeErrorResponse(): Promise<void>;
}

const okStatus = 200;
/** How a relayed stream ended, and the target that sent it. */
export interface ServedStream extends StreamResult {
  readonly target: TargetId;
}

/**
 * Relays a target's event stream to the client. Leaves the client's response
 * open; `finishStream` ends the call according to the result.
 * Returns `undefined` if the target responded with a status other than 200,
 * which has then been forwarded completely. Throws the error to send to the
 * client if there is no response to forward.
 * @param call - Call whose body has been read.
 * @param services - Components that all calls share.
 * @param service - Service that was selected from the route.
 * @param body - Body that the target receives.
 * @param observer - Is told of the steps of the call.
 */
export async function relayStreamCall(
  call: IncomingCall,
  services: CallServices,
  service: ServiceId,
  body: CallBody,
  observer: StreamObserver,
): Promise<ServedStream | undefined> {
  const attempts = TargetAttempts.create(call, services, service, body);
  const started = await attempts.nextResponse();
  const status = started.answer.response.statusCode ?? 0;
  if (status !== okStatus) {
    const response = await readErrorResponse(call, services, attempts, started);
    await observer.beforeErrorResponse();
    call.answer(response);
    return undefined;
  }
  await beginStream(attempts, started, observer);
  const {response, body: targetBody} = started.answer;
  const allowance = services.responseMemory.createAllowance();
  call.onceClosed(() => allowance.release());
  const result = await StreamRelay.run({
    call,
    body: targetBody,
    headers: getClientHeaders(services, response),
    clock: services.clock,
    allowance,
    findLoss: (silentMs) => attempts.findLoss(started.lease, silentMs),
  });
  const {events, isInEvent} = result;
  const fields = getBodyFields(result.end, {events, isInEvent});
  const target = started.lease.target.id;
  call.recordTargetResponse({target, via: attempts.path, ...fields});
  const {proof} = result;
  if (proof !== 'truncated') {
    const latencySampleMs = result.gapMs;
    const run = measureRun(call, service, attempts.sentAtMs, result);
    attempts.complete(started.lease, {status, proof, latencySampleMs, run});
  } else if (call.signal.aborted) {
    attempts.release(started.lease, {result: 'cancelled'});
    attempts.recordSilence();
  } else {
    attempts.recordBrokenResponse(started.lease, result.message, fields);
    if (result.isLost) attempts.recordSilence();
    else if (!targetBody.isRejected) {
      attempts.recordCrash(result.end);
    }
  }
  return {...result, target};
}

/** Throws the error to send to the client if a stream may not be passed on. */
async function beginStream(
  attempts: TargetAttempts,
  {answer, lease}: LeasedResponse,
  observer: StreamObserver,
): Promise<void> {
  if (!answer.attributes.isSigned) {
    const message = 'the response has no signature';
    answer.body.abort(message);
    attempts.recordBrokenResponse(lease, message);
    throw attempts.createFailure(message);
  }
  if (await observer.beforeStream()) return;
  const message = 'the reservation of the tokens could not be confirmed';
  answer.body.abort(message);
  attempts.release(lease, {result: 'cancelled'});
  throw attempts.createFailure(message);
}

async function readErrorResponse(
  call: IncomingCall,
  services: CallServices,
  attempts: TargetAttempts,
  {answer, lease}: LeasedResponse,
): Promise<BufferedResponse> {
  const {response} = answer;
  const status = response.statusCode ?? 0;
  const allowance = services.responseMemory.createAllowance();
  call.onceClosed(() => allowance.release());
  const {bytes, end} = await readResponseBody(
    answer.body,
    allowance,
    call.signal,
  );
  const fields = getBodyFields(end);
  const {proof} = end;
  if (proof === 'truncated') {
    if (allowance.isWaiting) attempts.release(lease, {result: 'cancelled'});
    else attempts.recordBrokenResponse(lease, end.message, fields);
    throw attempts.createFailure(end.message);
  }
  const target = lease.target.id;
  call.recordTargetResponse({target, via: attempts.path, ...fields});
  attempts.complete(lease, {status, proof});
  if (isNotRunStatus(status)) {
    throw attempts.createFailure(`the target responded with status ${status}`);
  }
  const headers = getClientHeaders(services, response);
  const isUndelimited = proof === 'unknown';
  return {status, headers, body: bytes, isUndelimited};
}
