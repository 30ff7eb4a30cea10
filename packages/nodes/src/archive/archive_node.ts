/** Process of an archive VM: keeps turns and budgets on its disk. */
import {MarigoldpostError} from '@marigoldpost/common';
import type {NodeSettings} from '@marigoldpost/sites';
import {
  Archive,
  archivePrefix,
  ArchiveRepairer,
  ArchiveService,
  DiskLogFolder,
  registerArchive,
} from '@marigoldpost/turns';
import type {NodeOptions} from '../node_options.js';
import {deadLinkWaitMs, seldomChanged, SiteNode} from '../site_node.js';
import {getPrefix, joinSinks} from '../utils/object_sink.js';
import {RetirementTask} from './retirement_task.js';
import {SiteMirror} from './site_mirror.js';

const archiveTiming = {pauseMs: 250, waitMs: deadLinkWaitMs};
/** Pause before registration is tried again. */
const registerRetryMs = 300;
/** Time for replies under way; a sync takes far less. */
const stopDelayMs = 150;

/** Daemon of one archive VM. */
export class ArchiveNode extends SiteNode {
  private archive: Archive | undefined;

  /**
   * Creates a daemon that does not serve yet.
   * @param options - Settings and parts.
   */
  static create(options: NodeOptions): ArchiveNode {
    return new ArchiveNode(options);
  }

  override async start(): Promise<void> {
    const startMs = this.clock.nowMs();
    const archive = await this.openArchive();
    this.archive = archive;
    const repairer = this.createRepairer(archive);
    const service = ArchiveService.create(archive, () => repairer.isComplete);
    const mirror = SiteMirror.create();
    await this.transport.start((_sender, request) =>
      request.case === 'fetchSite'
        ? Promise.resolve(mirror.createReply())
        : service.answer(request),
    );
    const retirement = this.createRetirement(repairer);
    const {retirementPrefix} = this.options.platform.keys;
    this.watchSite(mirror);
    this.watch(retirementPrefix, seldomChanged, retirement);
    this.tasks.run('register', (signal) =>
      this.register(archive, retirement, signal),
    );
    this.tasks.run('repair', (signal) => repairer.run(signal));
    this.tasks.run('sweep', (signal) => archive.sweep(signal));
    await this.startCommon('archive', startMs);
  }

  override async stop(signal: string): Promise<void> {
    const startMs = this.clock.nowMs();
    const {logger} = this.options;
    logger.log('node_stopping', {signal, inFlight: 0});
    await this.clock.sleep(stopDelayMs);
    this.stopCommon();
    this.archive?.close();
    const drainMs = Math.round(this.clock.nowMs() - startMs);
    logger.log('node_stopped', {drainMs, cutOff: 0});
  }

  private watchSite(mirror: SiteMirror): void {
    const {keys} = this.options.platform;
    const kept = mirror.getSink(archivePrefix);
    const sink = joinSinks(this.directory, kept);
    this.watch(archivePrefix, archiveTiming, sink);
    for (const prefix of [getPrefix(keys.config), keys.targetPrefix]) {
      this.watch(prefix, seldomChanged, mirror.getSink(prefix));
    }
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
    const {settings, clock} = this.options;
    const pool = this.createArchivePool();
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

  protected override setGauges(): void {
    const {metrics} = this.options;
    metrics.setGauge('archive_turns', {}, this.archive?.turnCount ?? 0);
    metrics.setGauge('archive_programs', {}, this.archive?.programCount ?? 0);
  }
}

function getDataFolderOrThrow({daemon, dataFolder}: NodeSettings): string {
  if (dataFolder !== undefined) return dataFolder;
  const message = `archive "${daemon}" has no data folder in its settings`;
  throw MarigoldpostError.create('settings_invalid', message);
}
