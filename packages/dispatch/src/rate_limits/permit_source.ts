/** Where a daemon gets permits to send requests to limited targets. */
import type {ScheduledPermits} from './permit_scheduler.js';
import type {TargetLimit} from './target_limits.js';

/** Permits for one target that a daemon asks for. */
export interface PermitRequest {
  readonly limit: TargetLimit;
  readonly count: number;
  /** Longest time until a permit may be used. */
  readonly horizonMs: number;
}

/** Reserves permits at the daemon that schedules the target. */
export abstract class PermitSource {
  /**
   * Reserves permits; never rejects. Without a reply none are reserved.
   * @param request - Target, limit and number of permits.
   */
  abstract reserve(request: PermitRequest): Promise<ScheduledPermits>;
}
