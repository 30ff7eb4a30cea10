/** Common base of the daemons: watches, peer transport and metrics page. */
import {
  type Clock,
  getConnectionLimits,
  pagePortShare,
  type PortShare,
} from '@marigoldpost/common';
import {type GuardOptions, type Page, PageServer} from '@marigoldpost/gateway';
import {
  maxFrameBytes,
  MessageTransport,
  type PeerRequestBody,
} from '@marigoldpost/peers';
import {
  type ChangeSource,
  type ObjectListener,
  type ObjectStore,
  type ObjectWatcher,
  WatchGroup,
} from '@marigoldpost/platform';
import type {NodeSettings} from '@marigoldpost/sites';
import {ConnectionEndLog} from '@marigoldpost/telemetry';
import {
  ArchiveDirectory,
  ArchivePool,
  RegistrationReader,
} from '@marigoldpost/turns';
import type {NodeOptions} from './node_options.js';
import {BackgroundTasks} from './utils/background_tasks.js';
import {findChangedSettings} from './utils/changed_settings.js';
import {createIgnoredObjectLog} from './utils/log_ignored_object.js';
import {createLoggingListener, type ObjectSink} from './utils/object_sink.js';
import {reportDroppedLines} from './utils/report_dropped_lines.js';

const gaugeIntervalMs = 1000;
const okStatus = 200;
const bytesPerMb = 2 ** 20;
/** Share of the memory for incomplete requests and unsent replies of peers. */
const heldShare = 0.125;

/** Timing of a watch's calls to the object API. */
export interface WatchTiming {
  /** Pause after a call that returned changes, in milliseconds. */
  readonly pauseMs: number;
  /** Longest time that one call waits for changes, in milliseconds. */
  readonly waitMs: number;
}

/** Where a watch reads; by default at the object API. */
export interface WatchSources {
  readonly store?: ObjectStore;
  readonly changeSource?: ChangeSource;
}

/**
 * Wait of watches whose changes must take effect within a bound. Each call has
 * a cost, so only these watches detect dead connections by a short wait; the
 * other watches are notified by them. Together with the call time-out it stays
 * below 5 s, the bound from a connection that stops responding to the
 * configuration being in force.
 */
export const promptWaitMs = 3500;
/** Timing of the other watches; the object API allows waits of up to 30 s. */
export const relaxedTiming: WatchTiming = {pauseMs: 250, waitMs: 20_000};

/** A daemon of a site; subclasses add the role of entry VM or archive VM. */
export abstract class SiteNode {
  protected readonly clock: Clock;
  protected readonly tasks: BackgroundTasks;
  protected readonly transport: MessageTransport;
  protected readonly archiveDirectory: ArchiveDirectory;
  private readonly metricsPage: PageServer;
  private readonly watches: WatchGroup;
  private currentSettings: NodeSettings;

  protected constructor(
    protected readonly options: NodeOptions,
    peerShare: PortShare,
    getReplyBytes?: (request: PeerRequestBody) => number,
  ) {
    const {settings, clock, random, metrics, logger, platform} = options;
    const {store} = platform;
    this.watches = WatchGroup.create({store, clock, random});
    this.currentSettings = settings;
    this.clock = clock;
    this.tasks = BackgroundTasks.create(logger, clock);
    this.archiveDirectory = ArchiveDirectory.create({
      onIgnored: createIgnoredObjectLog(logger),
      onSuperseded: (disks) =>
        logger.log('archive_superseded', {disks: disks.join(', ')}),
    });
    this.transport = MessageTransport.create({
      daemon: settings.daemon,
      host: settings.ip,
      port: settings.peerPort,
      clock,
      limits: {
        connections: getConnectionLimits(settings, peerShare),
        maxHeldBytes: Math.max(
          maxFrameBytes,
          settings.memoryMb * bytesPerMb * heldShare,
        ),
        getReplyBytes,
        endLog: ConnectionEndLog.create({port: 'peers', logger, metrics}),
      },
    });
    this.metricsPage = PageServer.create(
      (url) =>
        this.getStatusPage(url) ?? {
          status: okStatus,
          body: metrics.renderExposition(),
        },
      this.getPageGuard('metrics'),
    );
  }

  /**
   * Gets the limits on the connections of a page.
   * @param port - Name of the port in the log and the metrics.
   */
  protected getPageGuard(port: string): GuardOptions {
    const {settings, clock, logger, metrics} = this.options;
    const limits = getConnectionLimits(settings, pagePortShare);
    return {port, limits, clock, logger, metrics};
  }

  /**
   * Gets a page of the role on the address of the metrics page; `undefined` for
   * the metrics page.
   * @param _url - Path and query of the request.
   */
  protected getStatusPage(_url: URL): Page | undefined {
    return undefined;
  }

  /** Settings as read at the start or at the last reload. */
  protected get settings(): NodeSettings {
    return this.currentSettings;
  }

  /** Starts the daemon; resolves when every server listens. */
  abstract start(): Promise<void>;

  /**
   * Stops accepting work, finishes pending work, then closes all servers.
   * @param signal - Name of the signal that caused the stop, for the log.
   */
  abstract stop(signal: string): Promise<void>;

  /** Closes every connection at once; pending work is lost. */
  abstract kill(): void;

  /**
   * Applies reloaded settings. Changed addresses take effect only after a
   * restart.
   * @param settings - Settings that were read again.
   */
  reload(settings: NodeSettings): void {
    const changed = findChangedSettings(this.settings, settings).join(', ');
    this.currentSettings = settings;
    this.options.logger.log('settings_reloaded', {changed});
  }

  /** Sets the gauges of the role; called every second. */
  protected abstract setGauges(): void;

  /**
   * Starts the metrics page and gauges, and logs the start.
   * @param role - Role of the daemon: `entry` or `archive`.
   * @param startedAtMs - Time at which the start began.
   */
  protected async startSharedServices(
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

  /** Stops background tasks, watches, peer transport and metrics page. */
  protected stopSharedServices(): void {
    this.tasks.stop();
    this.watches.stop();
    this.transport.stop();
    this.metricsPage.close();
  }

  /** Creates a pool of clients of all archives except the own daemon. */
  protected createArchivePool(): ArchivePool {
    const {logger, settings, platform} = this.options;
    const {clock} = this;
    const {store} = platform;
    const registrations = RegistrationReader.create({store, clock});
    return ArchivePool.create({
      directory: this.archiveDirectory,
      transport: this.transport,
      clock,
      signal: this.tasks.signal,
      ownDaemon: settings.daemon,
      readRegistered: () => registrations.readMembers(),
      onReachabilityChanged: ({daemon: archive}, isReachable, reason) =>
        logger.log('archive_reachability', {archive, isReachable, reason}),
    });
  }

  /**
   * Watches the objects of a prefix and logs outages of the watch.
   * @param prefix - Key prefix of the objects.
   * @param timing - Pauses and waits of the calls.
   * @param sink - Consumer of the objects.
   * @param sources - Where the watch reads.
   */
  protected watch(
    prefix: string,
    timing: WatchTiming,
    sink: ObjectSink,
    sources: WatchSources = {},
  ): void {
    const {logger} = this.options;
    const listener = createLoggingListener(prefix, logger, sink);
    this.watchWithListener(prefix, timing, listener, sources);
  }

  /**
   * Watches the objects of a prefix.
   * @param prefix - Key prefix of the objects.
   * @param timing - Pauses and waits of the calls.
   * @param listener - Consumer of the objects and of outages.
   * @param sources - Where the watch reads.
   */
  protected watchWithListener(
    prefix: string,
    timing: WatchTiming,
    listener: ObjectListener,
    sources: WatchSources = {},
  ): ObjectWatcher {
    const watch = {prefix, listener, ...timing, ...sources};
    const watcher = this.watches.add(watch);
    this.tasks.run(`watch ${prefix}`, () => watcher.run(), {isRequired: true});
    return watcher;
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
