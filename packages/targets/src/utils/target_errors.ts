/** Which failures of a target's call surely had no effect. */
import {
  MarigoldpostError,
  type Outcome,
  type TargetId,
} from '@marigoldpost/common';
import type {HttpFailure} from '@marigoldpost/platform';

/** A call, as messages name it. */
export interface TargetCall {
  readonly target: TargetId;
  readonly subject: string;
}

const firstServerErrorStatus = 500;
const unavailableStatus = 503;

/**
 * Gets the error for a call without an answer.
 * @param failure - What became of the call.
 * @param call - The call.
 */
export function toTargetError(
  failure: HttpFailure,
  call: TargetCall,
): MarigoldpostError {
  const {reason, isSent, cause} = failure;
  const {target, subject} = call;
  const outcome: Outcome = isSent ? 'unknown' : 'not_run';
  const options = {cause, outcome};
  if (reason === 'aborted') {
    const message = `${subject} at target "${target}" was given up`;
    return MarigoldpostError.create('cancelled', message, options);
  }
  if (reason === 'timeout' && isSent) {
    const message = `target "${target}" did not answer ${subject} in time`;
    return MarigoldpostError.create('target_timeout', message, options);
  }
  const what = isSent ? 'was cut off' : 'could not be reached';
  const message = `target "${target}" ${what} during ${subject}`;
  return MarigoldpostError.create('target_failed', message, options);
}

/**
 * Gets the error for an answer that is no success.
 * @param status - HTTP status of the answer.
 * @param call - The call.
 */
export function toRefusal(status: number, call: TargetCall): MarigoldpostError {
  const {target, subject} = call;
  const message = `target "${target}" answered ${subject} with ${status}`;
  const isRefused =
    status < firstServerErrorStatus || status === unavailableStatus;
  const outcome = isRefused ? 'not_run' : 'unknown';
  return MarigoldpostError.create('target_failed', message, {outcome});
}
