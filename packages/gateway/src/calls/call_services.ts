/** Components that the handling of calls depends on. */
import type {Clock, DataCentreId, Random} from '@marigoldpost/common';
import type {TargetLimits} from '@marigoldpost/dispatch';
import type {CallCodec} from '@marigoldpost/sites';
import type {EventLogger, Metrics} from '@marigoldpost/telemetry';
import type {TurnStore} from '@marigoldpost/turns';
import type {QuotaSource} from '../access/quota_source.js';
import type {LossDetector} from '../links/loss_detector.js';
import type {RequestMemory} from './request_memory.js';
import type {ResponseMemory} from '../responses/response_memory.js';
import type {SiteState} from '../site/site_state.js';
import type {TargetAgents} from '../targets/target_agents.js';
import type {TargetSender} from './target_sender.js';
import type {CrashTracker} from './crash_tracker.js';

/** Components of the daemon that all calls share. */
export interface CallServices {
  readonly clock: Clock;
  readonly random: Random;
  readonly dataCentre: DataCentreId;
  readonly codec: CallCodec;
  readonly site: SiteState;
  readonly agents: TargetAgents;
  readonly sender: TargetSender;
  readonly lossDetector: LossDetector;
  readonly responseMemory: ResponseMemory;
  readonly requestMemory: RequestMemory;
  readonly turns: TurnStore;
  readonly targetLimits: TargetLimits;
  readonly crashTracker: CrashTracker;
  /** `undefined` on a site without quotas. */
  readonly quotas?: QuotaSource | undefined;
  readonly logger: EventLogger;
  readonly metrics: Metrics;
}
