/** Process of an entry VM: takes clients' requests and passes them to targets. */
import {
  CallHandler,
  CrashSuspects,
  GatewayServer,
  PageServer,
  SiteState,
  TargetAgents,
} from '@marigoldpost/gateway';
import type {SiteConfig} from '@marigoldpost/sites';
import {archivePrefix, TurnStore} from '@marigoldpost/turns';
import {Quarantine} from '@marigoldpost/targets';
import type {NodeOptions} from '../node_options.js';
import {deadLinkWaitMs, seldomChanged, SiteNode} from '../site_node.js';
import {TargetRoster} from '../targets/target_roster.js';
import {getPrefix} from '../utils/object_sink.js';
import {SiteConfigFollower} from './config_follower.js';
import {CrashNews, crashPrefix} from './crash_news.js';
import {SeedReader} from './seed_reader.js';

/** Both have bounds of 2 s from the change to its effect. */
const configTiming = {pauseMs: 100, waitMs: deadLinkWaitMs};
const targetTiming = {pauseMs: 400, waitMs: deadLinkWaitMs};
/** As many as callers may see before a request counts as the cause. */
const deathsToQuarantine = 3;
/** Time kept back for the end of the process within the grace period. */
const stopMarginMs = 800;
const drainCheckMs = 50;
/** Share of the VM's memory that recent turns may take. */
const cacheShare = 0.15;
const bytesPerMb = 2 ** 20;
const okStatus = 200;
const unavailableStatus = 503;

/** Daemon of one entry VM. */
export class EntryNode extends SiteNode {
  private readonly agents = TargetAgents.create();
  private readonly site: SiteState;
  private readonly roster: TargetRoster;
  private readonly turns: TurnStore;
  private readonly quarantine: Quarantine;
  private readonly crashNews: CrashNews;
  private readonly server: GatewayServer;
  private readonly readyPage: PageServer;
  private isDraining = false;
  private lastReadiness = '';

  private constructor(options: NodeOptions) {
    super(options);
    this.site = this.createSite();
    this.roster = this.createRoster();
    this.turns = this.createTurnStore();
    const {clock, random, logger, metrics, platform, settings} = options;
    this.quarantine = Quarantine.create({clock, deathsToQuarantine});
    this.crashNews = this.createCrashNews();
    const {site, agents, turns, quarantine} = this;
    const handler = CallHandler.create({
      clock,
      random,
      dataCentre: settings.dataCentre,
      codec: platform.codec,
      site,
      agents,
      turns,
      suspects: CrashSuspects.create({
        clock,
        quarantine,
        onChanged: () => this.crashNews.publish(),
      }),
      logger,
      metrics,
    });
    this.server = GatewayServer.create(handler);
    this.readyPage = PageServer.create(() => this.getReadyPage());
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
    const {logger, platform} = this.options;
    const {keys} = platform;
    const follower = SiteConfigFollower.create({
      key: keys.config,
      logger,
      decode: (object) => platform.decodeConfig(object),
      apply: (config) => this.applyConfig(config),
    });
    const configPrefix = getPrefix(keys.config);
    this.watch(configPrefix, configTiming, follower);
    this.watchWith(keys.targetPrefix, targetTiming, this.roster);
    this.watch(archivePrefix, seldomChanged, this.directory);
    this.watch(crashPrefix, seldomChanged, this.crashNews);
    const reader = this.createSeedReader(configPrefix, follower);
    this.tasks.run('seeds', (signal) => reader.run(signal));
    await this.listen();
    await this.startCommon('entry', startMs);
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
    this.readyPage.close();
    this.roster.stop();
    this.crashNews.stop();
    this.turns.stop();
    this.stopCommon();
  }

  private createSite(): SiteState {
    const {clock, random, logger, settings} = this.options;
    return SiteState.create({
      clock,
      random,
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
    const {clock, settings} = this.options;
    return TurnStore.create({
      pool: this.createArchivePool(),
      clock,
      ownDataCentre: settings.dataCentre,
      copies: settings.toleratedDisks + 1,
      cacheBytes: settings.memoryMb * cacheShare * bytesPerMb,
    });
  }

  private createSeedReader(
    configPrefix: string,
    follower: SiteConfigFollower,
  ): SeedReader {
    const {clock, transport, site, roster, directory} = this;
    const {logger, platform} = this.options;
    const {targetPrefix} = platform.keys;
    return SeedReader.create({
      seeds: this.settings.seeds,
      transport,
      clock,
      logger,
      parts: [
        {
          prefix: configPrefix,
          sink: follower,
          isKnown: () => site.currentConfig !== undefined,
        },
        {
          prefix: targetPrefix,
          sink: roster,
          isKnown: () => roster.isLoaded,
        },
        {
          prefix: archivePrefix,
          sink: directory,
          isKnown: () => directory.isLoaded,
        },
      ],
    });
  }

  private createCrashNews(): CrashNews {
    const {clock, platform, settings} = this.options;
    return CrashNews.create({
      daemon: settings.daemon,
      store: platform.store,
      clock,
      quarantine: this.quarantine,
      onFailed: (error) => this.tasks.noteFailure('crash news', error),
    });
  }

  private applyConfig(config: SiteConfig): boolean {
    if (!this.site.applyConfig(config)) return false;
    this.server.setLimits(config.limits);
    const {version} = config;
    this.options.metrics.setGauge('config_version', {}, version);
    return true;
  }

  private async listen(): Promise<void> {
    const {callerAddress, readyAddress} = this.settings;
    if (readyAddress !== undefined) await this.readyPage.listen(readyAddress);
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

  protected override setGauges(): void {
    const {metrics} = this.options;
    metrics.setGauge('calls_in_flight', {}, this.server.inFlight);
    let waiting = 0;
    for (const dispatcher of this.site.getDispatchers()) {
      waiting += dispatcher.waitingCount;
    }
    metrics.setGauge('queue_length', {}, waiting);
  }
}
