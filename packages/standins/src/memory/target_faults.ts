/** Errors that clients of in-memory targets throw. */
import {
  MarigoldpostError,
  type Outcome,
  type TargetId,
} from '@marigoldpost/common';

/**
 * Creates the error of a target that could not be reached.
 * @param target - The target.
 */
export function createUnreached(target: TargetId): MarigoldpostError {
  return createFailed(target, 'could not be reached', 'not_run');
}

/**
 * Creates the error of a target that went away during a request.
 * @param target - The target.
 */
export function createCut(target: TargetId): MarigoldpostError {
  return createFailed(target, 'was cut off', 'unknown');
}

/**
 * Creates the error of a target that failed or refused a request.
 * @param target - The target.
 * @param what - What it did.
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
 * Creates the error of a target that does not answer.
 * @param target - The target.
 */
export function createTimeout(target: TargetId): MarigoldpostError {
  const message = `target "${target}" did not answer in time`;
  return MarigoldpostError.create('target_timeout', message);
}

/**
 * Creates the error of a request that was given up.
 * @param target - The target.
 */
export function createCancelled(target: TargetId): MarigoldpostError {
  const message = `the request at target "${target}" was given up`;
  return MarigoldpostError.create('cancelled', message);
}
