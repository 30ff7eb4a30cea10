/** Converts failed calls to errors that say whether they may have run. */
import {
  MarigoldpostError,
  type Outcome,
  type TargetId,
} from '@marigoldpost/common';
import type {HttpFailure} from '@marigoldpost/platform';

/** Target and subject of a call, for error messages. */
export interface CallDescription {
  readonly target: TargetId;
  readonly subject: string;
}

const firstServerErrorStatus = 500;
const unavailableStatus = 503;

/**
 * Converts a failure without a complete answer to an error. The outcome is
 * `not_run` if the request was not sent, else `unknown`.
 * @param failure - Reason, and whether the request was sent.
 * @param call - Target and subject for the message.
 */
export function toTargetError(
  failure: HttpFailure,
  call: CallDescription,
): MarigoldpostError {
  const {reason, isSent, cause} = failure;
  const {target, subject} = call;
  const outcome: Outcome = isSent ? 'unknown' : 'not_run';
  const options = {cause, outcome};
  if (reason === 'aborted') {
    const message = `${subject} at target "${target}" was aborted`;
    return MarigoldpostError.create('cancelled', message, options);
  }
  if (reason === 'timeout' && isSent) {
    const message = `target "${target}" did not answer ${subject} before the timeout`;
    return MarigoldpostError.create('target_timeout', message, options);
  }
  const what = isSent ? 'lost the connection' : 'could not be reached';
  const message = `target "${target}" ${what} during ${subject}`;
  return MarigoldpostError.create('target_failed', message, options);
}

/**
 * Converts an error status to an error. The outcome is `not_run` for a status
 * below 500 and for 503, else `unknown`.
 * @param status - HTTP status of the answer.
 * @param call - Target and subject for the message.
 */
export function toStatusError(
  status: number,
  call: CallDescription,
): MarigoldpostError {
  const {target, subject} = call;
  const message = `target "${target}" answered ${subject} with status ${status}`;
  const isRefused =
    status < firstServerErrorStatus || status === unavailableStatus;
  const outcome = isRefused ? 'not_run' : 'unknown';
  return MarigoldpostError.create('target_failed', message, {outcome});
}
