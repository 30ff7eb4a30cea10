/** Process of an entry VM: takes clients' requests and passes them to targets. */
import type {Clock} from '@marigoldpost/common';
import {
  CallHandler,
  GatewayServer,
  PageServer,
  SiteState,
  TargetAgents,
} from '@marigoldpost/gateway';
import {MessageTransport} from '@marigoldpost/peers';
import {type ObjectListener, ObjectWatcher} from '@marigoldpost/platform';
import type {
  NetworkAddress,
  NodeSettings,
  SiteConfig,
} from '@marigoldpost/sites';
import {
  ArchiveDirectory,
  ArchivePool,
  archivePrefix,
  TurnStore,
} from '@marigoldpost/turns';
import {type NodeOptions, SiteNode} from '../node_options.js';
import {TargetRoster} from '../targets/target_roster.js';
import {BackgroundTasks} from '../utils/background_tasks.js';
import {createLoggedListener} from '../utils/logged_listener.js';
import {findChangedSettings} from '../utils/changed_settings.js';
import {reportDroppedLines} from '../utils/report_dropped_lines.js';
import {SiteConfigFollower} from './config_follower.js';

/** Pauses between waits that brought changes; the bounds on both are 2 s. */
const configPauseMs = 100;
const targetPauseMs = 250;
const archivePauseMs = 250;
/** Time kept back for the end of the process within the grace period. */
const stopMarginMs = 800;
const drainCheckMs = 50;
/** Share of the VM's memory that recent turns may take. */
const cacheShare = 0.15;
const bytesPerMb = 2 ** 20;
const gaugeIntervalMs = 1000;
const okStatus = 200;
const unavailableStatus = 503;

/** Daemon of one entry VM. */
export class EntryNode extends SiteNode {
  private readonly clock: Clock;
  private readonly tasks: BackgroundTasks;
  private readonly agents = TargetAgents.create();
  private readonly directory = ArchiveDirectory.create();
  private readonly site: SiteState;
  private readonly roster: TargetRoster;
  private readonly turns: TurnStore;
  private readonly server: GatewayServer;
  private readonly pages: PageServer[];
  private readonly transport: MessageTransport;
  private readonly watchers: ObjectWatcher[] = [];
  private settings: NodeSettings;
  private isDraining = false;
  private lastReadiness = '';

  private constructor(private readonly options: NodeOptions) {
    super();
    this.settings = options.settings;
    this.clock = options.clock;
    this.tasks = BackgroundTasks.create(options.logger);
    this.transport = this.createTransport();
    this.site = this.createSite();
    this.roster = this.createRoster();
    this.turns = this.createTurnStore();
    const {clock, random, logger, metrics, platform, settings} = options;
    const {site, agents, turns} = this;
    const handler = CallHandler.create({
      clock,
      random,
      dataCentre: settings.dataCentre,
      codec: platform.codec,
      site,
      agents,
      turns,
      logger,
      metrics,
    });
    this.server = GatewayServer.create(handler);
    this.pages = [
      PageServer.create(() => this.getReadyPage()),
      PageServer.create(() => ({
        status: okStatus,
        body: metrics.renderExposition(),
      })),
    ];
  }

  /**
   * Creates a daemon that does not serve yet.
   * @param options - Settings and parts.
   */
  static create(options: NodeOptions): EntryNode {
    return new EntryNode(options);
  }

  override async start(): Promise<void> {
    const startMs = this.clock.nowMs();
    const {settings, logger, platform} = this.options;
    const {keys} = platform;
    const follower = SiteConfigFollower.create({
      key: keys.config,
      logger,
      decode: (object) => platform.decodeConfig(object),
      apply: (config) => this.applyConfig(config),
    });
    const configPrefix = keys.config.replace(/[^/]*$/, '');
    this.watch(configPrefix, configPauseMs, follower);
    this.watchWith(keys.targetPrefix, targetPauseMs, this.roster);
    this.watch(archivePrefix, archivePauseMs, this.directory);
    await this.listen();
    this.tasks.run('gauges', (signal) => this.reportGauges(signal));
    logger.log('node_started', {
      role: 'entry',
      startMs: Math.round(this.clock.nowMs() - startMs),
      detail: `${settings.ip} in ${settings.dataCentre}`,
    });
  }

  override async stop(signal: string): Promise<void> {
    if (this.isDraining) return;
    const startMs = this.clock.nowMs();
    const {settings} = this;
    const {logger} = this.options;
    this.isDraining = true;
    this.server.drain();
    logger.log('node_stopping', {signal, inFlight: this.server.inFlight});
    const lastMs = startMs + settings.bounds.graceMs - stopMarginMs;
    await this.clock.sleep(settings.bounds.balancerNoticeMs);
    while (this.server.connectionCount > 0 && this.clock.nowMs() < lastMs) {
      this.server.closeIdle();
      await this.clock.sleep(drainCheckMs);
    }
    const drainMs = Math.round(this.clock.nowMs() - startMs);
    logger.log('node_stopped', {drainMs, cutOff: this.server.inFlight});
    this.server.close();
    for (const page of this.pages) page.close();
    for (const watcher of this.watchers) watcher.stop();
    this.roster.stop();
    this.turns.stop();
    this.tasks.stop();
    this.transport.stop();
  }

  override reload(settings: NodeSettings): void {
    const changed = findChangedSettings(this.settings, settings).join(', ');
    this.settings = settings;
    this.options.logger.log('settings_reloaded', {changed});
  }

  private createTransport(): MessageTransport {
    const {settings, clock} = this.options;
    return MessageTransport.create({
      daemon: settings.daemon,
      host: settings.ip,
      port: settings.peerPort,
      clock,
    });
  }

  private createSite(): SiteState {
    const {clock, logger, settings} = this.options;
    return SiteState.create({
      clock,
      dataCentre: settings.dataCentre,
      onEjected: ({id, service}, result) =>
        logger.log('target_ejected', {target: id, service, result}),
    });
  }

  private createRoster(): TargetRoster {
    const {clock, logger, platform} = this.options;
    return TargetRoster.create({
      clock,
      logger,
      prefix: platform.keys.targetPrefix,
      decode: (object) => platform.decodeTarget(object),
      onChanged: (targets) => {
        this.site.setTargets(targets);
        this.agents.keepOnly(targets);
      },
    });
  }

  private createTurnStore(): TurnStore {
    const {clock, logger, settings} = this.options;
    const pool = ArchivePool.create({
      directory: this.directory,
      transport: this.transport,
      clock,
      signal: this.tasks.signal,
      onReachability: ({daemon}, isReachable) =>
        logger.log('archive_reachability', {archive: daemon, isReachable}),
    });
    return TurnStore.create({
      pool,
      clock,
      ownDataCentre: settings.dataCentre,
      copies: settings.toleratedDisks + 1,
      cacheBytes: settings.memoryMb * cacheShare * bytesPerMb,
    });
  }

  private applyConfig(config: SiteConfig): boolean {
    if (!this.site.applyConfig(config)) return false;
    this.server.setLimits(config.limits);
    const {version} = config;
    this.options.metrics.setGauge('config_version', {}, version);
    return true;
  }

  private watch(
    prefix: string,
    pauseMs: number,
    sink: Parameters<typeof createLoggedListener>[2],
  ): void {
    const {logger} = this.options;
    this.watchWith(prefix, pauseMs, createLoggedListener(prefix, logger, sink));
  }

  private watchWith(
    prefix: string,
    pauseMs: number,
    listener: ObjectListener,
  ): void {
    const {platform, clock, random} = this.options;
    const {store} = platform;
    const watcher = ObjectWatcher.create({
      store,
      prefix,
      listener,
      clock,
      random,
      pauseMs,
    });
    this.watchers.push(watcher);
    this.tasks.run(`watch ${prefix}`, () => watcher.run());
  }

  private async listen(): Promise<void> {
    const {settings} = this.options;
    const {callerAddress, readyAddress, ip, metricsPort} = settings;
    const metricsAddress = {host: ip, port: metricsPort};
    const pageAddresses: Array<NetworkAddress | undefined> = [
      readyAddress,
      metricsAddress,
    ];
    for (const [index, address] of pageAddresses.entries()) {
      if (address !== undefined) await this.pages[index]?.listen(address);
    }
    if (callerAddress !== undefined) await this.server.listen(callerAddress);
  }

  private getReadyPage() {
    const reason = this.findUnreadiness();
    if (reason !== this.lastReadiness) {
      this.lastReadiness = reason;
      const isReady = reason === 'ready';
      this.options.logger.log('readiness_changed', {isReady, reason});
    }
    const status = reason === 'ready' ? okStatus : unavailableStatus;
    return {status, body: `${reason}\n`};
  }

  private findUnreadiness(): string {
    if (this.isDraining) return 'draining';
    const config = this.site.currentConfig;
    if (config === undefined) return 'no configuration';
    if (!this.roster.isLoaded) return 'no list of targets';
    const keepsTurns = config.routes.some(
      ({retentionMs}) => retentionMs !== undefined,
    );
    if (keepsTurns && !this.turns.isReachable) return 'no archive';
    return 'ready';
  }

  private async reportGauges(signal: AbortSignal): Promise<void> {
    const {metrics, logger, output} = this.options;
    while (!signal.aborted) {
      metrics.setGauge('calls_in_flight', {}, this.server.inFlight);
      let waiting = 0;
      for (const dispatcher of this.site.getDispatchers()) {
        waiting += dispatcher.waitingCount;
      }
      metrics.setGauge('queue_length', {}, waiting);
      if (output !== undefined) reportDroppedLines(output, logger, metrics);
      await this.clock.sleep(gaugeIntervalMs, signal);
    }
  }
}
