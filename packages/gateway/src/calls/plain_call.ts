/** Calls whose answer is read whole before the client gets it. */
import type {IncomingMessage} from 'node:http';
import type {ServiceId} from '@marigoldpost/common';
import {isRepeatable} from '@marigoldpost/sites';
import {type BodyResult, readAnswerBody} from '../answers/answer_body.js';
import {saysNotRun} from '../answers/not_run_statuses.js';
import type {CallServices} from './call_services.js';
import type {IncomingCall} from './incoming_call.js';
import {
  type CallBody,
  TargetAttempts,
  type TargetAnswer,
} from './target_attempts.js';

const firstServerErrorStatus = 500;
const firstFailureStatus = 300;

/**
 * Serves a plain call; throws what the caller is to be told instead.
 * @param call - The call.
 * @param services - Parts that calls share.
 * @param service - Service that the route chose.
 * @param body - The call's body.
 */
export async function servePlainCall(
  call: IncomingCall,
  services: CallServices,
  service: ServiceId,
  body: CallBody,
): Promise<void> {
  const attempts = TargetAttempts.create(call, services, service, body);
  for (;;) {
    const startMs = services.clock.nowMs();
    const begun = await attempts.next();
    const {response} = begun.answer;
    const answer = await readAnswerBody(response);
    const problem = findProblem(begun, answer);
    if (problem !== undefined) {
      attempts.noteBrokenAnswer(begun.lease, problem);
      if (!answer.isComplete) attempts.noteCrash(begun.lease);
      if (attempts.canRepeat) continue;
      throw attempts.createFailure(problem);
    }
    const status = response.statusCode ?? 0;
    const paceMs = services.clock.nowMs() - startMs;
    if (status >= firstServerErrorStatus && attempts.canRepeat) {
      attempts.noteBrokenAnswer(begun.lease, `status ${status}`);
      continue;
    }
    attempts.release(begun.lease, {result: 'answered', paceMs});
    if (saysNotRun(status) && !isRepeatable(call.route)) {
      throw attempts.createFailure(`the target answered ${status}`);
    }
    const headers = getClientHeaders(services, response);
    call.answer({status, headers, body: answer.bytes});
    return;
  }
}

/**
 * Gets the headers of a target's answer for the client.
 * @param services - Parts that calls share.
 * @param response - The target's answer.
 */
export function getClientHeaders(
  {codec}: CallServices,
  {rawHeaders}: IncomingMessage,
): string[] {
  return codec.encodeForClient(rawHeaders);
}

/** Finds what makes an answer unusable; nothing for a sound one. */
function findProblem(
  {answer}: TargetAnswer,
  {isComplete, message}: BodyResult,
): string | undefined {
  if (!isComplete) return message;
  const status = answer.response.statusCode ?? 0;
  const {isSigned, requestId} = answer.attributes;
  if (status >= firstFailureStatus) return undefined;
  if (!isSigned) return 'the answer carries no signature';
  return requestId === undefined ? 'the answer names no request' : undefined;
}
