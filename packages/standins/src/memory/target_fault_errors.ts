/** Errors that clients of in-memory targets throw. */
import {
  MarigoldpostError,
  type Outcome,
  type TargetId,
} from '@marigoldpost/common';

/**
 * Creates the error of a request that was not sent because no connection to the
 * target could be opened.
 * @param target - Id of the unreachable target.
 */
export function createUnreachable(target: TargetId): MarigoldpostError {
  return createFailed(target, 'could not be reached', 'not_run');
}

/**
 * Creates the error of a request whose connection to the target was lost.
 * @param target - Id of the target.
 */
export function createLost(target: TargetId): MarigoldpostError {
  return createFailed(target, 'lost the connection', 'unknown');
}

/**
 * Creates the error of a target that failed or rejected a request.
 * @param target - Id of the target.
 * @param what - Predicate of the message's sentence.
 * @param outcome - Whether the request may have run.
 */
export function createFailed(
  target: TargetId,
  what: string,
  outcome: Outcome,
): MarigoldpostError {
  const message = `target "${target}" ${what}`;
  return MarigoldpostError.create('target_failed', message, {outcome});
}

/**
 * Creates the error of a target that sent no response before the timeout.
 * @param target - Id of the target.
 */
export function createTimeout(target: TargetId): MarigoldpostError {
  const message = `target "${target}" did not answer before the timeout`;
  return MarigoldpostError.create('target_timeout', message);
}

/**
 * Creates the error of a request that its caller aborted.
 * @param target - Id of the target.
 */
export function createCancelled(target: TargetId): MarigoldpostError {
  const message = `request at target "${target}" was aborted`;
  return MarigoldpostError.create('cancelled', message);
}
