/** Dependencies of a daemon. */
import type {Clock, Random} from '@marigoldpost/common';
import type {TargetConnector} from '@marigoldpost/gateway';
import type {NodeSettings, SitePlatform} from '@marigoldpost/sites';
import type {
  BoundedOutput,
  EventLogger,
  Metrics,
} from '@marigoldpost/telemetry';

/** Settings, platform, clock and telemetry of a daemon. */
export interface NodeOptions {
  readonly settings: NodeSettings;
  readonly platform: SitePlatform;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: EventLogger;
  readonly metrics: Metrics;
  /** Output of the logger; provides the number of dropped lines. */
  readonly output?: BoundedOutput;
  /** Opens connections to targets; plain TCP by default. */
  readonly connectTarget?: TargetConnector;
}
