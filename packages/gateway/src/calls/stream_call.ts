/** Calls whose answer is a stream of events. */
import {
  MarigoldpostError,
  type ServiceId,
  type TargetId,
} from '@marigoldpost/common';
import {readAnswerBody} from '../answers/answer_body.js';
import {StreamRelay, type StreamResult} from '../answers/stream_relay.js';
import {saysNotRun} from '../answers/not_run_statuses.js';
import type {CallServices} from './call_services.js';
import type {IncomingCall} from './incoming_call.js';
import {getClientHeaders} from './plain_call.js';
import {
  type CallBody,
  type TargetAnswer,
  TargetAttempts,
} from './target_attempts.js';

const okStatus = 200;
/** Pauses on time after which a silent stream counts as lost. */
const stallGaps = 3;
/** An engine that puts a request back reads its prompt again: well below 1 s. */
const minStallMs = 1000;

/** A stream and the target that sent it. */
export interface ServedStream extends StreamResult {
  readonly target: TargetId;
}

/**
 * Serves a streaming call up to the last event; the answer is left open then.
 * Throws what the caller is to be told instead.
 * @param call - The call.
 * @param services - Parts that calls share.
 * @param service - Service that the route chose.
 * @param body - What the target receives.
 * @returns How the stream ended; nothing when the target answered otherwise.
 */
export async function relayStreamCall(
  call: IncomingCall,
  services: CallServices,
  service: ServiceId,
  body: CallBody,
): Promise<ServedStream | undefined> {
  const attempts = TargetAttempts.create(call, services, service, body);
  const begun = await attempts.next();
  const status = begun.answer.response.statusCode ?? 0;
  if (status !== okStatus) {
    await passFailure(call, services, attempts, begun);
    return undefined;
  }
  const {isSigned} = begun.answer.attributes;
  if (!isSigned) {
    attempts.noteBrokenAnswer(begun.lease, 'the answer carries no signature');
    throw attempts.createFailure('the answer carries no signature');
  }
  const {response} = begun.answer;
  const result = await StreamRelay.run({
    call,
    response,
    headers: getClientHeaders(services, response),
    clock: services.clock,
    stallMs: getStallMs(call),
  });
  if (result.isComplete) {
    const paceMs = result.gapMs;
    attempts.release(begun.lease, {result: 'answered', paceMs});
  } else if (call.signal.aborted) {
    attempts.release(begun.lease, {result: 'cancelled'});
  } else {
    attempts.noteBrokenAnswer(begun.lease, result.message);
    if (!result.isStalled) attempts.noteCrash(begun.lease);
  }
  return {...result, target: begun.lease.target.id};
}

/**
 * Completes a relayed answer, or breaks it off when it is not whole.
 * @param call - The call.
 * @param result - How its stream ended.
 */
export function finishStream(call: IncomingCall, result: StreamResult): void {
  if (result.isComplete && call.isAnswered) {
    call.complete();
    return;
  }
  if (!call.isAnswered && !call.signal.aborted) {
    throw MarigoldpostError.create('target_failed', result.message);
  }
  breakOffStream(call, result);
}

/**
 * Breaks a relayed answer off, so that it does not look complete.
 * @param call - The call.
 * @param result - How its stream ended.
 */
export function breakOffStream(call: IncomingCall, result: StreamResult): void {
  call.logger.log('answer_broken_off', {
    route: call.route.name,
    reason: call.endReason ?? result.message,
    events: result.events,
    durationMs: Math.round(call.elapsedMs),
  });
  call.breakOff();
}

function getStallMs({route, leftMs}: IncomingCall): number {
  const {gapObjectiveMs} = route;
  if (gapObjectiveMs === undefined) return leftMs;
  return Math.max(minStallMs, gapObjectiveMs * stallGaps);
}

async function passFailure(
  call: IncomingCall,
  services: CallServices,
  attempts: TargetAttempts,
  {answer, lease}: TargetAnswer,
): Promise<void> {
  const {response} = answer;
  const status = response.statusCode ?? 0;
  const body = await readAnswerBody(response);
  if (!body.isComplete) {
    attempts.noteBrokenAnswer(lease, body.message);
    throw attempts.createFailure(body.message);
  }
  attempts.release(lease, {result: 'answered'});
  if (saysNotRun(status)) {
    throw attempts.createFailure(`the target answered ${status}`);
  }
  const headers = getClientHeaders(services, response);
  call.answer({status, headers, body: body.bytes});
}
