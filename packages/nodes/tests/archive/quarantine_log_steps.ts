/** Steps for the crash records that archives keep on their disks. */
import assert from 'node:assert/strict';
import {create, fromBinary} from '@bufbuild/protobuf';
import {After, Given, Then, When, type World} from '@cucumber/cucumber';
import {
  type DaemonId,
  type Fingerprint,
  SeededRandom,
  type TargetId,
  toId,
  VirtualClock,
} from '@marigoldpost/common';
import {
  isCurrentEntry,
  QuarantineLog,
  QuarantineRelay,
} from '@marigoldpost/nodes';
import {
  ArchiveLogEntrySchema,
  ExchangeQuarantinesSchema,
  fromQuarantineMessage,
  toQuarantineMessage,
} from '@marigoldpost/peers';
import {Quarantine} from '@marigoldpost/targets';
import {Archive, EntryLog} from '@marigoldpost/turns';
import {MemoryLogFolder} from '../../../turns/tests/fixtures/memory_log_folder.js';

interface LogWorld extends World {
  clock: VirtualClock;
  folder: MemoryLogFolder;
  quarantine: Quarantine;
  relay: QuarantineRelay;
  archive: Archive;
  controller: AbortController;
  reported: number;
}

const fingerprint = toId<Fingerprint>('same');
const deathsToQuarantine = 3;
const msPerSecond = 1000;
/** Pause between two other entries; each then starts a new log segment. */
const writeIntervalS = 10;
/** Message with one field, of the number 99, which holds the byte 0. */
const unknownEntry = Uint8Array.of(0x9a, 0x06, 0x01, 0x00);
/** Above the time to write a batch and the pause before a retry. */
const writeMs = 1100;

After(function (this: LogWorld) {
  this.controller?.abort();
});

Given(
  'an archive that has received {int} crashes of a request',
  async function (this: LogWorld, crashes: number) {
    this.clock = VirtualClock.create();
    this.folder = MemoryLogFolder.create();
    this.reported = 0;
    await startArchive(this);
    for (let count = 0; count < crashes; count++) await reportCrash(this);
  },
);

When(
  'the archive restarts after {int} s',
  async function (this: LogWorld, elapsedS: number) {
    await this.clock.advance(elapsedS * msPerSecond);
    this.controller.abort();
    this.folder.losePower('missing');
    await startArchive(this);
  },
);

When(
  /^the disk of the archive is (full|stalled) while another crash is reported$/,
  async function (this: LogWorld, fault: 'full' | 'stalled') {
    this.folder.fault = fault;
    await reportCrash(this);
  },
);

When('the disk of the archive has room again', async function (this: LogWorld) {
  this.folder.fault = 'none';
  await this.clock.advance(writeMs);
});

When('another crash is reported', async function (this: LogWorld) {
  await reportCrash(this);
});

When(
  '{int} s pass at the archive',
  async function (this: LogWorld, elapsedS: number) {
    await this.clock.advance(elapsedS * msPerSecond);
  },
);

When(
  '{int} s pass at the archive, which stores other entries',
  async function (this: LogWorld, elapsedS: number) {
    for (let passedS = 0; passedS < elapsedS; passedS += writeIntervalS) {
      await this.archive.checkDisk();
      await this.clock.advance(writeIntervalS * msPerSecond);
    }
  },
);

When(
  'its log gets an entry of an unknown kind',
  async function (this: LogWorld) {
    const {folder, clock} = this;
    const onRecovered = () => undefined;
    const log = await EntryLog.open({folder, clock, onRecovered});
    await log.append(unknownEntry);
    log.close();
  },
);

Then(
  /^the request is (free|suspect|quarantined) at the archive$/,
  function (this: LogWorld, state: string) {
    const {quarantine} = this;
    assert.equal(
      quarantine.isQuarantined(fingerprint),
      state === 'quarantined',
    );
    assert.equal(quarantine.isSuspect(fingerprint), state === 'suspect');
  },
);

Then(
  'another entry VM learns of {int} crashes',
  function (this: LogWorld, crashes: number) {
    const reply = this.relay.answer(
      toId<DaemonId>('entry-1'),
      create(ExchangeQuarantinesSchema),
    );
    assert.equal(reply.case, 'quarantineChanges');
    const [message] = reply.value.quarantines;
    assert.ok(message);
    assert.equal(fromQuarantineMessage(message).deaths.length, crashes);
  },
);

Then(
  'its disk contains at most {int} log files and {int} crash records',
  async function (this: LogWorld, maxFiles: number, maxRecords: number) {
    const files = (await this.folder.listFiles()).filter((name) =>
      name.endsWith('.log'),
    );
    assert.ok(files.length <= maxFiles, `${files.length} files`);
    const kinds = await readEntryKinds(this);
    const records = kinds.filter((kind) => kind === 'quarantine');
    assert.ok(records.length > 0);
    assert.ok(records.length <= maxRecords, `${records.length} records`);
  },
);

Then('its disk contains no crash records', async function (this: LogWorld) {
  const kinds = await readEntryKinds(this);
  assert.ok(!kinds.includes('quarantine'));
});

async function startArchive(world: LogWorld): Promise<void> {
  const {clock, folder} = world;
  const quarantine = Quarantine.create({clock, deathsToQuarantine});
  const archive = await Archive.open({
    folder,
    clock,
    random: SeededRandom.create(1),
    onQuarantineRecovered: (entry) => {
      if (!isCurrentEntry(entry, clock.wallTimeMs())) return;
      quarantine.mergeEntries([entry]);
    },
  });
  const log = QuarantineLog.create({
    archive,
    quarantine,
    clock,
    onFailed: () => undefined,
  });
  world.archive = archive;
  world.quarantine = quarantine;
  world.relay = QuarantineRelay.create({
    quarantine,
    clock,
    process: 'process',
    onMerged: (entries) => log.add(entries),
  });
  world.controller = new AbortController();
  const {signal} = world.controller;
  void archive.sweep(signal).catch(() => undefined);
  void log.run(signal).catch(() => undefined);
}

async function reportCrash(world: LogWorld): Promise<void> {
  const {clock, relay} = world;
  const reporter = Quarantine.create({clock, deathsToQuarantine});
  reporter.recordDeath(toId<TargetId>(`target-${world.reported++}`), [
    fingerprint,
  ]);
  relay.answer(
    toId<DaemonId>('entry-0'),
    create(ExchangeQuarantinesSchema, {
      quarantines: reporter.getEntries().map(toQuarantineMessage),
    }),
  );
  await clock.advance(writeMs);
}

async function readEntryKinds({folder, clock}: LogWorld): Promise<string[]> {
  const kinds: string[] = [];
  await EntryLog.open({
    folder,
    clock,
    onRecovered: ({bytes}) => {
      const {body} = fromBinary(ArchiveLogEntrySchema, bytes);
      kinds.push(body.case ?? '');
    },
  });
  return kinds;
}
