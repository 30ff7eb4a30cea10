/** What failed exchanges and broken responses tell about their target's health. */
import type {TargetResult} from '@marigoldpost/dispatch';
import type {BodyFields} from '../responses/body_end.js';
import type {FailedExchange} from '../targets/http_exchange.js';
import type {IncomingCall} from './incoming_call.js';

/** Result of an attempt by the reason of its failure. */
export const targetResults: Record<FailedExchange['reason'], TargetResult> = {
  unreachable: 'unreachable',
  broken: 'broken',
  silent: 'silent',
  cancelled: 'cancelled',
};

/**
 * Gets the result of an attempt whose response is unusable.
 * @param call - Call of the attempt.
 * @param body - How the body ended, if it has been read.
 */
export function getBrokenResult(
  {canBeAnswered, hasMissedDeadline}: IncomingCall,
  body: BodyFields | undefined,
): TargetResult {
  // A target whose response its client has abandoned is not at fault.
  if (!canBeAnswered) return 'cancelled';
  // Nor may one be that had less time than its route allows.
  if (hasMissedDeadline && body?.end === 'aborted') return 'silent';
  return 'broken';
}
