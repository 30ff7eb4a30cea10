/** Process of an entry VM: forwards clients' requests to targets. */
import {peerPortShare} from '@marigoldpost/common';
import {
  CrashTracker,
  type GatewayServer,
  type Page,
  PageServer,
  SiteState,
} from '@marigoldpost/gateway';
import type {SiteConfig} from '@marigoldpost/sites';
import {
  type ArchivePool,
  archivePrefix,
  type TurnStore,
} from '@marigoldpost/turns';
import type {ChangeSource} from '@marigoldpost/platform';
import {Quarantine} from '@marigoldpost/targets';
import type {NodeOptions} from '../node_options.js';
import {deathsToQuarantine} from '../quarantine_settings.js';
import {promptWaitMs, relaxedTiming, SiteNode} from '../site_node.js';
import {TargetDirectory} from '../targets/target_directory.js';
import {getKindPrefix} from '../utils/object_sink.js';
import {entryPrefix} from './entry_directory.js';
import {EntryFleet} from './entry_fleet.js';
import {createGateway} from './create_gateway.js';
import {createExplainPage, explainPath} from './explain_page.js';
import {LoadExchange} from './load_exchange.js';
import {getArchiveReach} from './quota_contacts.js';
import {SiteConfigUpdater} from './site_config_updater.js';
import {QuarantineExchange} from './quarantine_exchange.js';
import {QuarantineReceiver} from './quarantine_receiver.js';
import {QuarantineReplicator, crashPrefix} from './quarantine_replicator.js';
import {ArchiveChangeSource} from './archive_change_source.js';
import {ChangeReaders} from './change_readers.js';
import {SeedReader} from './seed_reader.js';
import {createTrialSource} from './create_trial_source.js';
import {createTurnStore} from './create_turn_store.js';

/** Configuration and target changes must take effect within 2 s. */
const configTiming = {pauseMs: 100, waitMs: promptWaitMs};
/**
 * Many entry VMs may register or record crashes at the same time; each call has
 * a cost, and each change wakes every entry VM. Crash records arrive through the
 * archives as well, twice a second.
 */
const entryTiming = {...relaxedTiming, pauseMs: 1000};
const targetTiming = {pauseMs: 400, waitMs: promptWaitMs};
/** Wait of one request for changes that must take effect within 2 s. */
const promptPollMs = 800;
/** Wait of one request for changes that are not urgent. */
const relaxedPollMs = 5000;
/** Part of the grace period that is reserved for the exit of the process. */
const exitMarginMs = 800;
const drainPollMs = 50;
/** Time for calls to end once they have been aborted; within `exitMarginMs`. */
const abortTimeoutMs = 150;
/** Time to send the last errors; within `exitMarginMs`. */
const lastErrorsMs = 50;
/** Longest wait for the last writes; within `exitMarginMs`. */
const flushTimeoutMs = 400;
const okStatus = 200;
const unavailableStatus = 503;

/** Accepts calls, dispatches them to targets and drains connections at stop. */
export class EntryNode extends SiteNode {
  private readonly fleet: EntryFleet;
  private readonly site: SiteState;
  private readonly targetDirectory: TargetDirectory;
  private readonly turns: TurnStore;
  private readonly quarantine: Quarantine;
  private readonly archivePool: ArchivePool;
  private readonly quarantineReceiver: QuarantineReceiver;
  private readonly quarantineReplicator: QuarantineReplicator;
  private readonly quarantineExchange: QuarantineExchange;
  private readonly crashTracker: CrashTracker;
  private readonly server: GatewayServer;
  private readonly readyPage: PageServer;
  private isDraining = false;
  private lastReadinessReason = '';

  private constructor(options: NodeOptions) {
    super(options, peerPortShare);
    const {clock, logger, metrics} = options;
    this.fleet = EntryFleet.create({
      node: options,
      transport: this.transport,
      tasks: this.tasks,
      findTarget: (id) => this.targetDirectory.find(id),
      onLimitStated: () => this.quarantineExchange.publishLimits(),
      getArchiveReach: () => getArchiveReach(this.archivePool),
    });
    this.site = this.createSite();
    this.targetDirectory = this.createTargetDirectory();
    this.archivePool = this.createArchivePool();
    const {directory} = this.fleet;
    this.turns = createTurnStore(options, this.archivePool, directory);
    this.quarantine = Quarantine.create({clock, deathsToQuarantine});
    this.quarantineReceiver = QuarantineReceiver.create({
      clock,
      quarantine: this.quarantine,
      logger,
      metrics,
      onMerged: () => this.crashTracker.checkWaiting(),
    });
    this.quarantineReplicator = this.createQuarantineReplicator();
    this.quarantineExchange = this.createQuarantineExchange();
    this.crashTracker = CrashTracker.create({
      clock,
      quarantine: this.quarantine,
      metrics,
      trials: createTrialSource(options, this.tasks),
      onChanged: (fingerprint) => {
        this.quarantineReplicator.publish();
        this.quarantineExchange.publish(fingerprint);
      },
    });
    const {site, turns, fleet, crashTracker} = this;
    const components = {site, turns, fleet, crashTracker};
    this.server = createGateway(options, components);
    this.readyPage = PageServer.create(
      () => this.getReadyPage(),
      this.getPageGuard('readiness'),
    );
  }

  /**
   * Creates a daemon; `start` opens its ports.
   * @param options - Settings and dependencies.
   */
  static create(options: NodeOptions): EntryNode {
    return new EntryNode(options);
  }

  override async start(): Promise<void> {
    const startMs = this.clock.nowMs();
    const {logger, platform} = this.options;
    const {keys} = platform;
    const configUpdater = SiteConfigUpdater.create({
      key: keys.config,
      logger,
      decode: (object) => platform.decodeConfig(object),
      apply: (config) => this.applyConfig(config),
    });
    const configPrefix = getKindPrefix(keys.config);
    const readers = this.createChangeReaders();
    const prompt = {
      changeSource: this.createChangeSource(readers, promptPollMs),
    };
    const relaxed = {
      changeSource: this.createChangeSource(readers, relaxedPollMs),
    };
    // An older list of entry VMs does no harm.
    const staleStore = platform.store.getStaleReader();
    const stale = {
      store: staleStore,
      changeSource: this.createChangeSource(readers, relaxedPollMs, staleStore),
    };
    this.watch(configPrefix, configTiming, configUpdater, prompt);
    this.watchWithListener(
      keys.targetPrefix,
      targetTiming,
      this.targetDirectory,
      prompt,
    );
    this.watch(archivePrefix, relaxedTiming, this.archiveDirectory, relaxed);
    this.watch(entryPrefix, entryTiming, this.fleet.directory, stale);
    // Crash records merge as sets, so older ones do no harm.
    this.watch(crashPrefix, entryTiming, this.quarantineReplicator, {
      store: staleStore,
    });
    this.tasks.run('watch store', (signal) => this.turns.watchStore(signal));
    const reader = this.createSeedReader(configPrefix, configUpdater);
    this.tasks.run('seeds', (signal) => reader.run(signal));
    this.tasks.run(
      'crash records',
      (signal) => this.quarantineExchange.run(signal),
      {isRequired: true},
    );
    this.tasks.run('loads', (signal) => this.runLoadExchange(signal));
    await this.fleet.start();
    await this.listen();
    await this.startSharedServices('entry', startMs);
  }

  override async stop(signal: string): Promise<void> {
    if (this.isDraining) return;
    const startMs = this.clock.nowMs();
    const {settings} = this;
    const {logger} = this.options;
    const drainDeadlineMs = startMs + settings.bounds.graceMs - exitMarginMs;
    this.isDraining = true;
    this.server.drain(drainDeadlineMs);
    this.fleet.drain();
    logger.log('node_stopping', {signal, inFlight: this.server.inFlight});
    await this.clock.sleep(settings.bounds.balancerNoticeMs);
    while (
      this.server.connectionCount + this.fleet.relayedInFlight > 0 &&
      this.clock.nowMs() < drainDeadlineMs
    ) {
      this.server.closeIdle();
      await this.clock.sleep(drainPollMs);
    }
    const cutOff = this.server.inFlight;
    await this.abortCalls();
    await Promise.race([
      Promise.allSettled([
        this.quarantineReplicator.flush(),
        this.turns.flush(),
      ]),
      this.clock.sleep(flushTimeoutMs),
    ]);
    const drainMs = Math.round(this.clock.nowMs() - startMs);
    logger.log('node_stopped', {drainMs, cutOff});
    this.kill();
  }

  override kill(): void {
    this.isDraining = true;
    this.server.close();
    this.fleet.close();
    this.readyPage.close();
    this.targetDirectory.stop();
    this.quarantineReplicator.stop();
    this.turns.stop();
    this.stopSharedServices();
  }

  /** Ends the calls that the grace period leaves no time for. */
  private async abortCalls(): Promise<void> {
    const deadlineMs = this.clock.nowMs() + abortTimeoutMs;
    this.server.stopCalls();
    while (this.server.inFlight > 0 && this.clock.nowMs() < deadlineMs) {
      await this.clock.sleep(drainPollMs);
    }
    if (this.server.inFlight === 0) return;
    this.server.failStoppedCalls();
    await this.clock.sleep(lastErrorsMs);
  }

  private createSite(): SiteState {
    const {clock, random, logger, settings} = this.options;
    return SiteState.create({
      clock,
      random,
      dataCentre: settings.dataCentre,
      rateLimiter: this.fleet.limiter,
      sharedLoads: this.fleet.sharedLoads,
      getDaemonCount: () => this.fleet.directory.memberCount,
      onEjected: ({id, service}, result) =>
        logger.log('target_ejected', {target: id, service, result}),
    });
  }

  private createChangeReaders(): ChangeReaders {
    const {daemon, dataCentre} = this.settings;
    return ChangeReaders.create({
      daemon,
      dataCentre,
      clock: this.clock,
      getArchives: () => this.archiveDirectory.getMembers(),
    });
  }

  private createChangeSource(
    readers: ChangeReaders,
    pollMs: number,
    store: ChangeSource = this.options.platform.store,
  ): ArchiveChangeSource {
    const {transport} = this;
    const {logger} = this.options;
    return ArchiveChangeSource.create({
      readers,
      transport,
      store,
      pollMs,
      logger,
    });
  }

  private createTargetDirectory(): TargetDirectory {
    const {clock, logger, platform, settings} = this.options;
    return TargetDirectory.create({
      clock,
      logger,
      bounds: settings.bounds,
      prefix: platform.keys.targetPrefix,
      decode: (object) => platform.decodeTarget(object),
      onChanged: (targets) => {
        this.site.setTargets(targets);
        this.fleet.setTargets(targets);
      },
      onLost: (target) => this.crashTracker.recordLostTarget(target),
    });
  }

  private runLoadExchange(signal: AbortSignal): Promise<void> {
    const {archivePool: pool, site, fleet, targetDirectory} = this;
    const exchange = LoadExchange.create({
      pool,
      dataCentre: this.settings.dataCentre,
      clock: this.clock,
      loads: fleet.sharedLoads,
      getDispatchers: () => site.getDispatchers(),
      findTarget: (id) => targetDirectory.find(id),
    });
    return exchange.run(signal);
  }

  private createSeedReader(
    configPrefix: string,
    configUpdater: SiteConfigUpdater,
  ): SeedReader {
    const {clock, transport, site, targetDirectory} = this;
    const {archiveDirectory} = this;
    const {directory: entryDirectory} = this.fleet;
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
          sink: configUpdater,
          isLoaded: () => site.currentConfig !== undefined,
        },
        {
          prefix: targetPrefix,
          sink: targetDirectory,
          isLoaded: () => targetDirectory.isLoaded,
        },
        {
          prefix: archivePrefix,
          sink: archiveDirectory,
          isLoaded: () => archiveDirectory.isLoaded,
        },
        {
          prefix: entryPrefix,
          sink: entryDirectory,
          isLoaded: () => entryDirectory.isLoaded,
        },
      ],
    });
  }

  private createQuarantineReplicator(): QuarantineReplicator {
    const {clock, platform, settings, logger} = this.options;
    return QuarantineReplicator.create({
      daemon: settings.daemon,
      store: platform.store,
      clock,
      quarantine: this.quarantine,
      receiver: this.quarantineReceiver,
      logger,
      onFailed: (error) => this.tasks.logFailure('crash records', error),
    });
  }

  private createQuarantineExchange(): QuarantineExchange {
    const {clock, settings, logger} = this.options;
    return QuarantineExchange.create({
      pool: this.archivePool,
      dataCentre: settings.dataCentre,
      clock,
      quarantine: this.quarantine,
      receiver: this.quarantineReceiver,
      limits: this.fleet.limits,
      logger,
      areObjectsLoaded: () => this.quarantineReplicator.isLoaded,
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
    const reason = this.getReadinessReason();
    if (reason !== this.lastReadinessReason) {
      this.lastReadinessReason = reason;
      const isReady = reason === 'ready';
      this.options.logger.log('readiness_changed', {isReady, reason});
    }
    const status = reason === 'ready' ? okStatus : unavailableStatus;
    return {status, body: `${reason}\n`};
  }

  /**
   * Whether the crash records have been read. The store may lack those of its
   * outages, so archives are asked as well if there are any.
   */
  private get hasCrashRecords(): boolean {
    if (this.quarantineExchange.isLoaded) return true;
    const hasArchives =
      !this.archiveDirectory.isLoaded || this.archivePool.hasReachableArchive;
    return this.quarantineReplicator.isLoaded && !hasArchives;
  }

  private getReadinessReason(): string {
    if (this.isDraining) return 'draining';
    const config = this.site.currentConfig;
    if (config === undefined) return 'no configuration';
    if (!this.targetDirectory.isLoaded) return 'no list of targets';
    if (!this.hasCrashRecords) return 'no crash records';
    const [failedTask] = this.tasks.failedTasks;
    if (failedTask !== undefined) return `task "${failedTask}" has failed`;
    const keepsTurns = config.routes.some(
      ({retentionMs}) => retentionMs !== undefined,
    );
    if (keepsTurns && !this.turns.isReachable) return 'no archive';
    if (keepsTurns && this.turns.isIsolated) return 'isolated';
    return 'ready';
  }

  protected override getStatusPage(url: URL): Page | undefined {
    if (url.pathname !== explainPath) return undefined;
    return createExplainPage(this.site, this.clock.nowMs(), url.searchParams);
  }

  protected override setGauges(): void {
    const {metrics} = this.options;
    metrics.setGauge('calls_in_flight', {}, this.server.inFlight);
    let waiting = 0;
    for (const dispatcher of this.site.getDispatchers()) {
      waiting += dispatcher.waitingCount;
    }
    metrics.setGauge('queue_length', {}, waiting);
    metrics.setGauge('cut_links', {}, this.fleet.links.cutCount);
    metrics.setGauge('quotas_held', {}, this.fleet.quotas.heldCount);
    metrics.setGauge('limited_targets', {}, this.fleet.limits.limitedCount);
    const quarantined = this.quarantine.getQuarantined().length;
    metrics.setGauge('quarantined_requests', {}, quarantined);
  }
}
