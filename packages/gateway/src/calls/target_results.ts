/** What a failed exchange tells about the health of its target. */
import type {TargetResult} from '@marigoldpost/dispatch';
import type {FailedExchange} from '../targets/http_exchange.js';

/** Result of an attempt by the reason of its failure. */
export const targetResults: Record<FailedExchange['reason'], TargetResult> = {
  unreachable: 'unreachable',
  broken: 'broken',
  silent: 'silent',
  cancelled: 'cancelled',
};
