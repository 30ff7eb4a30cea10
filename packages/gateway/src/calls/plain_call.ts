/** Serves calls whose response is buffered before the client receives it. */
import type {IncomingMessage} from 'node:http';
import type {ServiceId} from '@marigoldpost/common';
import {isRepeatable} from '@marigoldpost/sites';
import {getBodyFields} from '../responses/body_end.js';
import {
  type ReceivedBody,
  readResponseBody,
} from '../responses/response_body.js';
import {isNotRunStatus} from '../responses/not_run_statuses.js';
import type {CallServices} from './call_services.js';
import type {IncomingCall} from './incoming_call.js';
import {
  type CallBody,
  TargetAttempts,
  type LeasedResponse,
} from './target_attempts.js';

const minServerErrorStatus = 500;
const minNonSuccessStatus = 300;

/**
 * Serves a plain call, retrying where the route allows it. Throws the error to
 * send to the client if no target's response can be forwarded.
 * @param call - Call whose body has been read.
 * @param services - Components that all calls share.
 * @param service - Service that was selected from the route.
 * @param body - Body that the target receives.
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
    const started = await attempts.nextResponse();
    const {response} = started.answer;
    const allowance = services.responseMemory.createAllowance();
    const received = await readResponseBody(
      started.answer.body,
      allowance,
      call.signal,
    );
    const fields = getBodyFields(received.end);
    const problem = findResponseProblem(started, received);
    if (problem !== undefined) {
      const {isWaiting} = allowance;
      allowance.release();
      recordProblem(call, attempts, {started, received, problem, isWaiting});
      if (attempts.canRetry) continue;
      throw attempts.createFailure(problem);
    }
    const status = response.statusCode ?? 0;
    const {proof} = received.end;
    const latencySampleMs = allowance.hasWaited
      ? undefined
      : services.clock.nowMs() - startMs;
    if (status >= minServerErrorStatus && attempts.canRetry) {
      const message = `status ${status}`;
      attempts.recordBrokenResponse(started.lease, message, fields);
      allowance.release();
      continue;
    }
    attempts.complete(started.lease, {status, proof, latencySampleMs});
    call.onceClosed(() => allowance.release());
    if (isNotRunStatus(status) && !isRepeatable(call.route)) {
      throw attempts.createFailure(
        `the target responded with status ${status}`,
      );
    }
    const target = started.lease.target.id;
    call.recordTargetResponse({target, via: attempts.path, ...fields});
    const headers = getClientHeaders(services, response);
    const isUndelimited = proof === 'unknown';
    call.answer({status, headers, body: received.bytes, isUndelimited});
    return;
  }
}

/**
 * Gets the headers to send to the client with a target's response.
 * @param services - Components that all calls share.
 * @param response - The target's response.
 */
export function getClientHeaders(
  {codec}: CallServices,
  {rawHeaders}: IncomingMessage,
): string[] {
  return codec.encodeForClient(rawHeaders);
}

/** A response that must not be forwarded. */
interface UnusableResponse {
  readonly started: LeasedResponse;
  readonly received: ReceivedBody;
  readonly problem: string;
  /** Whether it was not read because there was no room for it in memory. */
  readonly isWaiting: boolean;
}

function recordProblem(
  {signal}: IncomingCall,
  attempts: TargetAttempts,
  {started, received, problem, isWaiting}: UnusableResponse,
): void {
  const {answer, lease} = started;
  const {end} = received;
  if (isWaiting && signal.aborted) {
    // The target is not at fault.
    attempts.release(lease, {result: 'cancelled'});
    return;
  }
  attempts.recordBrokenResponse(lease, problem, getBodyFields(end));
  if (end.proof !== 'truncated' || answer.body.isRejected) return;
  if (signal.aborted) attempts.recordSilence();
  else attempts.recordCrash(end);
}

/** Finds why a response must not be forwarded; `undefined` if it may be. */
function findResponseProblem(
  {answer}: LeasedResponse,
  {end: {proof, message}}: ReceivedBody,
): string | undefined {
  if (proof === 'truncated') return message;
  const status = answer.response.statusCode ?? 0;
  const {isSigned, requestId} = answer.attributes;
  if (status >= minNonSuccessStatus) return undefined;
  if (!isSigned) return 'the response has no signature';
  return requestId === undefined ? 'the response has no request id' : undefined;
}
