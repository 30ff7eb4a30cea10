/** What a process of a site is made of. */
import type {Clock, Random} from '@marigoldpost/common';
import type {NodeSettings, SitePlatform} from '@marigoldpost/sites';
import type {
  BoundedOutput,
  EventLogger,
  Metrics,
} from '@marigoldpost/telemetry';

/** Options of a process. */
export interface NodeOptions {
  readonly settings: NodeSettings;
  readonly platform: SitePlatform;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: EventLogger;
  readonly metrics: Metrics;
  /** Where the logger writes, so that lines left out are counted. */
  readonly output?: BoundedOutput;
}
