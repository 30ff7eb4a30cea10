/** Process of an archive VM: stores turns and budgets on its disk. */
import {archivePortShare, MarigoldpostError} from '@marigoldpost/common';
import type {StoredObject} from '@marigoldpost/platform';
import type {NodeSettings} from '@marigoldpost/sites';
import {
  Archive,
  type ArchiveMember,
  type ArchivePool,
  archivePrefix,
  ArchiveRepairer,
  ArchiveService,
  getMaxReplyBytes,
  decodeReservationsOrThrow,
  DiskLogFolder,
  ObjectImporter,
  registerArchive,
  reservationPrefix,
  turnObjectPrefix,
  writeLedgers,
} from '@marigoldpost/turns';
import {Quarantine} from '@marigoldpost/targets';
import {EntryDirectory, entryPrefix} from '../entry/entry_directory.js';
import type {NodeOptions} from '../node_options.js';
import {deathsToQuarantine, isCurrentEntry} from '../quarantine_settings.js';
import {
  promptWaitMs,
  relaxedTiming,
  SiteNode,
  type WatchTiming,
} from '../site_node.js';
import {createIgnoredObjectLog} from '../utils/log_ignored_object.js';
import {
  combineListeners,
  combineSinks,
  createLoggingListener,
  getKindPrefix,
  type ObjectSink,
} from '../utils/object_sink.js';
import {ChangeRelay} from './change_relay.js';
import {LoadRelay} from './load_relay.js';
import {QuarantineLog} from './quarantine_log.js';
import {QuarantineRelay} from './quarantine_relay.js';
import {RetirementTask} from './retirement_task.js';
import {SiteMirror} from './site_mirror.js';
import {contactTiming, StoreContact} from './store_contact.js';

/** Changes that must take effect within a bound at entry VMs. */
const relayTiming = {pauseMs: 250, waitMs: promptWaitMs};
/** Changes of archives; stale reads find dead connections for this watch. */
const archiveTiming = {pauseMs: 250, waitMs: 10_000};
/** Changes of entry VMs are not urgent. */
const entryRelayTiming = {pauseMs: 1000, waitMs: relaxedTiming.waitMs};
/** Changes of turns and reservations, which come in series. */
const objectTiming = {pauseMs: 500, waitMs: relaxedTiming.waitMs};
/** Pause before a failed registration is retried. */
const registrationRetryMs = 300;
/** Time to finish pending replies at stop; a disk sync takes far less. */
const replyDrainMs = 150;

/** Opens the archive, serves peers, repairs replicas and registers itself. */
export class ArchiveNode extends SiteNode {
  private archive: Archive | undefined;
  private repairer: ArchiveRepairer | undefined;
  private quarantineLog: QuarantineLog | undefined;
  private importer: ObjectImporter | undefined;
  private readonly onIgnored: (object: StoredObject) => void;

  private constructor(options: NodeOptions) {
    super(options, archivePortShare, getMaxReplyBytes);
    this.onIgnored = createIgnoredObjectLog(options.logger);
  }

  /**
   * Creates a daemon; `start` opens its archive and serves.
   * @param options - Settings and dependencies.
   */
  static create(options: NodeOptions): ArchiveNode {
    return new ArchiveNode(options);
  }

  override async start(): Promise<void> {
    const startMs = this.clock.nowMs();
    const {clock} = this;
    const quarantine = Quarantine.create({clock, deathsToQuarantine});
    const archive = await this.openArchive(quarantine);
    this.archive = archive;
    const pool = this.createArchivePool();
    const importer = this.createImporter(archive, pool);
    this.importer = importer;
    const repairer = this.createRepairer(archive, pool, importer);
    this.repairer = repairer;
    const service = ArchiveService.create({
      archive,
      pool,
      isComplete: (disks) => repairer.isCompleteWithout(disks),
    });
    const mirror = SiteMirror.create();
    const contact = StoreContact.create(clock);
    const changes = ChangeRelay.create({
      clock,
      isInContact: () => contact.isEstablished,
    });
    const quarantineLog = this.createQuarantineLog(archive, quarantine);
    this.quarantineLog = quarantineLog;
    const relay = this.createQuarantineRelay(quarantine, quarantineLog);
    const loads = LoadRelay.create(this.clock);
    await this.transport.start((sender, request) => {
      if (request.case === 'fetchSite') {
        return Promise.resolve(mirror.createReply(changes.getVersions()));
      }
      if (request.case === 'fetchChanges') return changes.answer(request.value);
      if (request.case === 'exchangeLoads') {
        return Promise.resolve(loads.answer(sender, request.value));
      }
      return request.case === 'exchangeQuarantines'
        ? Promise.resolve(relay.answer(sender, request.value))
        : service.answer(request);
    });
    const retirement = this.createRetirement(repairer);
    const {retirementPrefix} = this.options.platform.keys;
    this.watchSite(mirror, changes, contact);
    this.watch(retirementPrefix, relaxedTiming, retirement);
    for (const prefix of [turnObjectPrefix, reservationPrefix]) {
      this.watch(prefix, objectTiming, {
        replaceObjects: (objects) => importer.replaceObjects(prefix, objects),
        applyChange: (change) => importer.applyChange(change),
      });
    }
    this.tasks.run('register', (signal) =>
      this.register(archive, retirement, signal),
    );
    this.tasks.run('repair', (signal) => repairer.run(signal));
    this.tasks.run('sweep', (signal) => archive.sweep(signal));
    this.tasks.run('crash records', (signal) => quarantineLog.run(signal));
    await this.startSharedServices('archive', startMs);
  }

  override async stop(signal: string): Promise<void> {
    const startMs = this.clock.nowMs();
    const {logger} = this.options;
    logger.log('node_stopping', {signal, inFlight: 0});
    // Its last write ends with the pending replies.
    this.quarantineLog?.stop();
    await this.clock.sleep(replyDrainMs);
    this.stopSharedServices();
    this.archive?.close();
    const drainMs = Math.round(this.clock.nowMs() - startMs);
    logger.log('node_stopped', {drainMs, cutOff: 0});
  }

  override kill(): void {
    this.stopSharedServices();
    this.archive?.close();
  }

  private watchSite(
    mirror: SiteMirror,
    changes: ChangeRelay,
    contact: StoreContact,
  ): void {
    const {keys, store} = this.options.platform;
    const configPrefix = getKindPrefix(keys.config);
    const relay = (prefix: string, timing: WatchTiming, sink: ObjectSink) => {
      const logging = createLoggingListener(prefix, this.options.logger, sink);
      const listener = combineListeners(logging, changes.addPrefix(prefix));
      return this.watchWithListener(prefix, timing, listener);
    };
    const mirrorSink = mirror.getSink(archivePrefix);
    const archiveSink = combineSinks(this.archiveDirectory, mirrorSink);
    relay(archivePrefix, archiveTiming, archiveSink);
    // Names malformed registrations in the log.
    const entryDirectory = EntryDirectory.create({onIgnored: this.onIgnored});
    const entryMirror = mirror.getSink(entryPrefix);
    const entrySink = combineSinks(entryDirectory, entryMirror);
    relay(entryPrefix, entryRelayTiming, entrySink);
    for (const prefix of [configPrefix, keys.targetPrefix]) {
      const watcher = relay(prefix, relayTiming, mirror.getSink(prefix));
      const reader = this.watchWithListener(
        prefix,
        contactTiming,
        contact.createListener(watcher, () => changes.suspend(prefix)),
        {store: store.getStaleReader()},
      );
      contact.addReader(reader);
    }
  }

  private createQuarantineLog(
    archive: Archive,
    quarantine: Quarantine,
  ): QuarantineLog {
    return QuarantineLog.create({
      archive,
      quarantine,
      clock: this.clock,
      onFailed: (error) => this.tasks.logFailure('crash records', error),
    });
  }

  private createQuarantineRelay(
    quarantine: Quarantine,
    quarantineLog: QuarantineLog,
  ): QuarantineRelay {
    const {clock, random} = this.options;
    return QuarantineRelay.create({
      quarantine,
      clock,
      process: String(random.next()),
      onMerged: (entries) => quarantineLog.add(entries),
    });
  }

  private async openArchive(quarantine: Quarantine): Promise<Archive> {
    const startMs = this.clock.nowMs();
    const {settings, clock, random, logger} = this.options;
    const folder = await DiskLogFolder.create(getDataFolderOrThrow(settings));
    const archive = await Archive.open({
      folder,
      clock,
      random,
      onQuarantineRecovered: (entry) => {
        if (!isCurrentEntry(entry, clock.wallTimeMs())) return;
        quarantine.mergeEntries([entry]);
      },
      onSweepFailed: (error) => this.tasks.logFailure('sweep', error),
    });
    logger.log('archive_opened', {
      disk: archive.disk,
      turns: archive.turnCount,
      programs: archive.programCount,
      crashRecords: quarantine.size,
      elapsedMs: Math.round(clock.nowMs() - startMs),
    });
    return archive;
  }

  private createImporter(archive: Archive, pool: ArchivePool): ObjectImporter {
    const {settings, clock, logger, platform} = this.options;
    return ObjectImporter.create({
      archive,
      pool,
      store: platform.store,
      clock,
      daemon: settings.daemon,
      onIgnored: this.onIgnored,
      onImported: (batch, turns) =>
        logger.log('turn_objects_imported', {batch, turns}),
      onRemoved: (batch, turns) =>
        logger.log('turn_objects_removed', {batch, turns}),
    });
  }

  private createRepairer(
    archive: Archive,
    pool: ArchivePool,
    importer: ObjectImporter,
  ): ArchiveRepairer {
    const {settings, clock, logger, platform} = this.options;
    return ArchiveRepairer.create({
      archive,
      pool,
      clock,
      daemon: settings.daemon,
      dataCentre: settings.dataCentre,
      replicaCount: settings.toleratedDisks + 1,
      importer,
      readReservations: async () => {
        const {objects} = await platform.store.readSnapshot(reservationPrefix);
        return objects.flatMap(decodeReservationsOrThrow);
      },
      writeLedgers: () => writeLedgers(platform.store, archive),
      registerSupersededDisks: async (supersededDisks) => {
        const member = {...this.createMember(archive), supersededDisks};
        await registerArchive(platform.store, member);
      },
      isFirstStart: settings.isFirstStart,
      registerAsKnown: () => {
        const member = this.createMember(archive);
        return registerArchive(platform.store, {...member, isNew: false});
      },
      onFailed: (task, error) => this.tasks.logFailure(task, error),
      onReplicasCounted: ({daemon, disk}, areCounted) =>
        logger.log('archive_replicas_counted', {
          archive: daemon,
          disk,
          areCounted,
        }),
      onDamaged: (report) => logger.log('turns_damaged', {...report}),
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
      onFailed: (error) => this.tasks.logFailure('retire', error),
      onRetired: () =>
        logger.log('archive_retired', {turns: this.archive?.turnCount ?? 0}),
    });
  }

  private async register(
    archive: Archive,
    retirement: RetirementTask,
    signal: AbortSignal,
  ): Promise<void> {
    const {platform, settings} = this.options;
    // The repairer has to know whether this daemon was registered before.
    while (!retirement.isLoaded || !this.archiveDirectory.isLoaded) {
      await this.clock.sleep(registrationRetryMs, signal);
    }
    // One that is to be emptied may have lost its disk before it has left.
    const isWanted = () =>
      !retirement.isRequested ||
      this.archiveDirectory.getMember(settings.daemon) !== undefined;
    while (!signal.aborted && isWanted()) {
      try {
        await registerArchive(platform.store, this.createMember(archive));
        return;
      } catch (error) {
        this.tasks.logFailure('register', error);
        await this.clock.sleep(registrationRetryMs, signal);
      }
    }
  }

  /**
   * Creates the registration. It keeps the disks whose place was taken: also
   * without the own disk, each majority of the others has what they stood for.
   */
  private createMember({disk}: Archive): ArchiveMember {
    const {daemon, ip, peerPort, dataCentre} = this.options.settings;
    const known = this.archiveDirectory.getMember(daemon);
    const address = `http://${ip}:${peerPort}`;
    const {supersededDisks, isNew} = known ?? {
      isNew: this.repairer?.isComplete !== true,
    };
    return {daemon, address, dataCentre, disk, isNew, supersededDisks};
  }

  protected override setGauges(): void {
    const {metrics} = this.options;
    metrics.setGauge('archive_turns', {}, this.archive?.turnCount ?? 0);
    metrics.setGauge('archive_programs', {}, this.archive?.programCount ?? 0);
    const incomplete = this.repairer?.underReplicatedCount ?? 0;
    metrics.setGauge('archive_incomplete_turns', {}, incomplete);
    metrics.setGauge('turn_objects', {}, this.importer?.batchCount ?? 0);
  }
}

function getDataFolderOrThrow({daemon, dataFolder}: NodeSettings): string {
  if (dataFolder !== undefined) return dataFolder;
  const message = `settings of archive "${daemon}" have no data folder`;
  throw MarigoldpostError.create('settings_invalid', message);
}
