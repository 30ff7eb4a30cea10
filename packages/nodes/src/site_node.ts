/** What every process of a site has: a clock, watches, links, a metrics page. */
import type {Clock} from '@marigoldpost/common';
import {PageServer} from '@marigoldpost/gateway';
import {MessageTransport} from '@marigoldpost/peers';
import {type ObjectListener, WatchGroup} from '@marigoldpost/platform';
import type {NodeSettings} from '@marigoldpost/sites';
import {ArchiveDirectory, ArchivePool} from '@marigoldpost/turns';
import type {NodeOptions} from './node_options.js';
import {BackgroundTasks} from './utils/background_tasks.js';
import {findChangedSettings} from './utils/changed_settings.js';
import {createLoggedListener, type ObjectSink} from './utils/object_sink.js';
import {reportDroppedLines} from './utils/report_dropped_lines.js';

const gaugeIntervalMs = 1000;
const okStatus = 200;

/** How often a watch may call the platform. */
export interface WatchTiming {
  /** Pause between two waits that brought changes, in milliseconds. */
  readonly pauseMs: number;
  /** Longest wait of one call, in milliseconds. */
  readonly waitMs: number;
}

/**
 * Each call is paid for, so only watches with a bound find dead connections by a
 * short wait, and the others learn it from them; with the time of a call it stays
 * below the 5 s from a silent connection to the bound of a configuration.
 */
export const deadLinkWaitMs = 3500;
/** Waits of the other watches; the object API allows 30 s. */
export const seldomChanged: WatchTiming = {pauseMs: 250, waitMs: 20_000};

/** A process of a site. */
export abstract class SiteNode {
  protected readonly clock: Clock;
  protected readonly tasks: BackgroundTasks;
  protected readonly transport: MessageTransport;
  protected readonly directory = ArchiveDirectory.create();
  private readonly metricsPage: PageServer;
  private readonly watches: WatchGroup;
  private currentSettings: NodeSettings;

  protected constructor(protected readonly options: NodeOptions) {
    const {settings, clock, random, metrics, logger, platform} = options;
    const {store} = platform;
    this.watches = WatchGroup.create({store, clock, random});
    this.currentSettings = settings;
    this.clock = clock;
    this.tasks = BackgroundTasks.create(logger);
    this.transport = MessageTransport.create({
      daemon: settings.daemon,
      host: settings.ip,
      port: settings.peerPort,
      clock,
    });
    this.metricsPage = PageServer.create(() => ({
      status: okStatus,
      body: metrics.renderExposition(),
    }));
  }

  /** Settings as last read. */
  protected get settings(): NodeSettings {
    return this.currentSettings;
  }

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
  reload(settings: NodeSettings): void {
    const changed = findChangedSettings(this.settings, settings).join(', ');
    this.currentSettings = settings;
    this.options.logger.log('settings_reloaded', {changed});
  }

  /** Sets the gauges of the process. */
  protected abstract setGauges(): void;

  /**
   * Begins the work that every process does, and logs the start.
   * @param role - What the process is.
   * @param startedAtMs - When its start began.
   */
  protected async startCommon(
    role: string,
    startedAtMs: number,
  ): Promise<void> {
    const {ip, metricsPort, dataCentre} = this.settings;
    await this.metricsPage.listen({host: ip, port: metricsPort});
    this.tasks.run('gauges', (signal) => this.reportGauges(signal));
    this.options.logger.log('node_started', {
      role,
      startMs: Math.round(this.clock.nowMs() - startedAtMs),
      detail: `${ip} in ${dataCentre}`,
    });
  }

  /** Ends watches, background work and servers that every process has. */
  protected stopCommon(): void {
    this.tasks.stop();
    this.watches.stop();
    this.transport.stop();
    this.metricsPage.close();
  }

  /** Creates the clients of the archives, the own daemon left out. */
  protected createArchivePool(): ArchivePool {
    const {logger, settings} = this.options;
    return ArchivePool.create({
      directory: this.directory,
      transport: this.transport,
      clock: this.clock,
      signal: this.tasks.signal,
      self: settings.daemon,
      onReachability: ({daemon}, isReachable) =>
        logger.log('archive_reachability', {archive: daemon, isReachable}),
    });
  }

  /**
   * Watches a prefix of objects; outages are logged.
   * @param prefix - Start of the keys.
   * @param timing - Pauses and waits.
   * @param sink - Takes the objects.
   */
  protected watch(prefix: string, timing: WatchTiming, sink: ObjectSink): void {
    const {logger} = this.options;
    const listener = createLoggedListener(prefix, logger, sink);
    this.watchWith(prefix, timing, listener);
  }

  /**
   * Watches a prefix of objects.
   * @param prefix - Start of the keys.
   * @param timing - Pauses and waits.
   * @param listener - Takes the objects and learns of outages.
   */
  protected watchWith(
    prefix: string,
    timing: WatchTiming,
    listener: ObjectListener,
  ): void {
    const watcher = this.watches.add({prefix, listener, ...timing});
    this.tasks.run(`watch ${prefix}`, () => watcher.run());
  }

  private async reportGauges(signal: AbortSignal): Promise<void> {
    const {metrics, logger, output} = this.options;
    while (!signal.aborted) {
      this.setGauges();
      if (output !== undefined) reportDroppedLines(output, logger, metrics);
      await this.clock.sleep(gaugeIntervalMs, signal);
    }
  }
}
