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

/** A process of a site. */
export abstract class SiteNode {
  /** Starts to serve; resolves when every server listens. */
  abstract start(): Promise<void>;

  /**
   * Stops taking work, finishes what is under way, then ends.
   * @param signal - What asked for the stop, for the log.
   */
  abstract stop(signal: string): Promise<void>;

  /**
   * Takes over settings that were read again; addresses stay as they were until
   * the next start.
   * @param settings - The settings.
   */
  abstract reload(settings: NodeSettings): void;
}
