/** Dependencies of the runners of calls. */
import type {Clock} from '@marigoldpost/common';
import type {Quarantine, TargetRegistry} from '@marigoldpost/targets';
import type {EventLogger, Metrics} from '@marigoldpost/telemetry';
import type {DispatchLoop} from '../dispatch/dispatch_loop.js';
import type {CallLimiter} from './call_limiter.js';

/** Parts of a daemon that are needed to run a call. */
export interface RunnerContext {
  readonly clock: Clock;
  readonly dispatchLoop: DispatchLoop;
  readonly registry: TargetRegistry;
  readonly quarantine: Quarantine;
  readonly limiter: CallLimiter;
  readonly logger: EventLogger;
  readonly metrics: Metrics;
}
