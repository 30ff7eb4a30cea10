/** Process of an archive VM: keeps turns and budgets on its disk. */
import {type Clock, MarigoldpostError} from '@marigoldpost/common';
import {PageServer} from '@marigoldpost/gateway';
import {MessageTransport} from '@marigoldpost/peers';
import {ObjectWatcher} from '@marigoldpost/platform';
import type {NodeSettings} from '@marigoldpost/sites';
import {
  Archive,
  ArchiveDirectory,
  ArchivePool,
  archivePrefix,
  ArchiveRepairer,
  ArchiveService,
  DiskLogFolder,
  registerArchive,
} from '@marigoldpost/turns';
import {type NodeOptions, SiteNode} from '../node_options.js';
import {BackgroundTasks} from '../utils/background_tasks.js';
import {
  createLoggedListener,
  type ObjectSink,
} from '../utils/logged_listener.js';
import {findChangedSettings} from '../utils/changed_settings.js';
import {reportDroppedLines} from '../utils/report_dropped_lines.js';
import {RetirementTask} from './retirement_task.js';

/** Pause between two waits that brought changes. */
const watchPauseMs = 250;
/** Pause before registration is tried again. */
const registerRetryMs = 300;
const gaugeIntervalMs = 1000;
/** Time for replies under way; a sync takes far less. */
const stopDelayMs = 150;
const okStatus = 200;

/** Daemon of one archive VM. */
export class ArchiveNode extends SiteNode {
  private readonly clock: Clock;
  private readonly tasks: BackgroundTasks;
  private readonly directory = ArchiveDirectory.create();
  private readonly transport: MessageTransport;
  private readonly page: PageServer;
  private readonly watchers: ObjectWatcher[] = [];
  private archive: Archive | undefined;
  private settings: NodeSettings;

  private constructor(private readonly options: NodeOptions) {
    super();
    const {settings, clock, metrics, logger} = options;
    this.settings = settings;
    this.clock = clock;
    this.tasks = BackgroundTasks.create(logger);
    this.transport = MessageTransport.create({
      daemon: settings.daemon,
      host: settings.ip,
      port: settings.peerPort,
      clock,
    });
    this.page = PageServer.create(() => ({
      status: okStatus,
      body: metrics.renderExposition(),
    }));
  }

  /**
   * Creates a daemon that does not serve yet.
   * @param options - Settings and parts.
   */
  static create(options: NodeOptions): ArchiveNode {
    return new ArchiveNode(options);
  }

  override async start(): Promise<void> {
    const startMs = this.clock.nowMs();
    const {settings, logger} = this.options;
    const archive = await this.openArchive();
    this.archive = archive;
    const repairer = this.createRepairer(archive);
    const service = ArchiveService.create(archive, () => repairer.isComplete);
    await this.transport.start((_sender, request) => service.answer(request));
    await this.page.listen({host: settings.ip, port: settings.metricsPort});
    const retirement = this.createRetirement(repairer);
    const {retirementPrefix} = this.options.platform.keys;
    this.watch(archivePrefix, this.directory);
    this.watch(retirementPrefix, retirement);
    this.tasks.run('register', (signal) =>
      this.register(archive, retirement, signal),
    );
    this.tasks.run('repair', (signal) => repairer.run(signal));
    this.tasks.run('sweep', (signal) => archive.sweep(signal));
    this.tasks.run('gauges', (signal) => this.reportGauges(archive, signal));
    logger.log('node_started', {
      role: 'archive',
      startMs: Math.round(this.clock.nowMs() - startMs),
      detail: `${settings.ip} in ${settings.dataCentre}`,
    });
  }

  override async stop(signal: string): Promise<void> {
    const startMs = this.clock.nowMs();
    const {logger} = this.options;
    logger.log('node_stopping', {signal, inFlight: 0});
    this.tasks.stop();
    for (const watcher of this.watchers) watcher.stop();
    await this.clock.sleep(stopDelayMs);
    this.transport.stop();
    this.archive?.close();
    this.page.close();
    const drainMs = Math.round(this.clock.nowMs() - startMs);
    logger.log('node_stopped', {drainMs, cutOff: 0});
  }

  override reload(settings: NodeSettings): void {
    const changed = findChangedSettings(this.settings, settings).join(', ');
    this.settings = settings;
    this.options.logger.log('settings_reloaded', {changed});
  }

  private async openArchive(): Promise<Archive> {
    const startMs = this.clock.nowMs();
    const {settings, clock, random, logger} = this.options;
    const folder = await DiskLogFolder.create(getDataFolderOrThrow(settings));
    const archive = await Archive.open({
      folder,
      clock,
      random,
      onSweepFailed: (error) => this.tasks.noteFailure('sweep', error),
    });
    logger.log('archive_opened', {
      disk: archive.disk,
      turns: archive.turnCount,
      programs: archive.programCount,
      elapsedMs: Math.round(clock.nowMs() - startMs),
    });
    return archive;
  }

  private createRepairer(archive: Archive): ArchiveRepairer {
    const {settings, clock, logger} = this.options;
    const pool = ArchivePool.create({
      directory: this.directory,
      transport: this.transport,
      clock,
      signal: this.tasks.signal,
      self: settings.daemon,
      onReachability: ({daemon}, isReachable) =>
        logger.log('archive_reachability', {archive: daemon, isReachable}),
    });
    const isDiskNew = archive.programCount === 0 && !settings.isFirstStart;
    return ArchiveRepairer.create({
      archive,
      pool,
      clock,
      daemon: settings.daemon,
      dataCentre: settings.dataCentre,
      copies: settings.toleratedDisks + 1,
      isDiskNew,
      onFailed: (task, error) => this.tasks.noteFailure(task, error),
    });
  }

  private createRetirement(repairer: ArchiveRepairer): RetirementTask {
    const {settings, platform, clock, logger} = this.options;
    return RetirementTask.create({
      daemon: settings.daemon,
      platform,
      repairer,
      clock,
      start: (work) => this.tasks.run('retire', work),
      onFailed: (error) => this.tasks.noteFailure('retire', error),
      onRetired: () =>
        logger.log('archive_retired', {turns: this.archive?.turnCount ?? 0}),
    });
  }

  private watch(prefix: string, sink: ObjectSink): void {
    const {platform, clock, random, logger} = this.options;
    const watcher = ObjectWatcher.create({
      store: platform.store,
      prefix,
      listener: createLoggedListener(prefix, logger, sink),
      clock,
      random,
      pauseMs: watchPauseMs,
    });
    this.watchers.push(watcher);
    this.tasks.run(`watch ${prefix}`, () => watcher.run());
  }

  private async register(
    archive: Archive,
    retirement: RetirementTask,
    signal: AbortSignal,
  ): Promise<void> {
    const {settings, platform} = this.options;
    const {daemon, ip, peerPort, dataCentre} = settings;
    const address = `http://${ip}:${peerPort}`;
    const {disk} = archive;
    const member = {daemon, address, dataCentre, disk};
    while (!retirement.isLoaded) {
      await this.clock.sleep(registerRetryMs, signal);
    }
    while (!signal.aborted && !retirement.isRequested) {
      try {
        await registerArchive(platform.store, member);
        return;
      } catch (error) {
        this.tasks.noteFailure('register', error);
        await this.clock.sleep(registerRetryMs, signal);
      }
    }
  }

  private async reportGauges(
    archive: Archive,
    signal: AbortSignal,
  ): Promise<void> {
    const {metrics, logger, output} = this.options;
    while (!signal.aborted) {
      metrics.setGauge('archive_turns', {}, archive.turnCount);
      metrics.setGauge('archive_programs', {}, archive.programCount);
      if (output !== undefined) reportDroppedLines(output, logger, metrics);
      await this.clock.sleep(gaugeIntervalMs, signal);
    }
  }
}

function getDataFolderOrThrow({daemon, dataFolder}: NodeSettings): string {
  if (dataFolder !== undefined) return dataFolder;
  const message = `archive "${daemon}" has no data folder in its settings`;
  throw MarigoldpostError.create('settings_invalid', message);
}
