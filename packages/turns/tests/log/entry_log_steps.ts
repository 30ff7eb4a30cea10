/** Steps for the entry log of an archive. */
import assert from 'node:assert/strict';
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {After, Given, Then, When, type World} from '@cucumber/cucumber';
import {isErrorOfKind, SeededRandom, VirtualClock} from '@marigoldpost/common';
import {
  DiskLogFolder,
  EntryLog,
  type EntryPosition,
  type LogFolder,
  readDiskIdentity,
} from '@marigoldpost/turns';
import {
  MemoryLogFolder,
  type PowerLoss,
} from '../fixtures/memory_log_folder.js';

interface LogWorld extends World {
  disk: MemoryLogFolder;
  folder: LogFolder;
  path: string | undefined;
  entryLog: EntryLog;
  written: string[];
  positions: EntryPosition[];
  failure: unknown;
  acknowledged: number;
}

const seed = 7;

After(async function (this: LogWorld) {
  if (this.path !== undefined) await rm(this.path, {recursive: true});
});

Given(
  'an entry log with entries {string} acknowledged',
  async function (this: LogWorld, names: string) {
    this.disk = MemoryLogFolder.create();
    this.folder = this.disk;
    this.written = [];
    this.entryLog = await openLog(this.folder);
    for (const name of split(names)) await append(this, name);
  },
);

Given(
  'an entry {string} that is written but not synced',
  async function (this: LogWorld, name: string) {
    const file = await this.folder.createFile('turns-00000009.log');
    const copy = MemoryLogFolder.create();
    const log = await openLog(copy);
    await log.append(Buffer.from(name));
    const [frames = ''] = await copy.listFiles();
    await file.write(await copy.readFile(frames));
    this.written.push(name);
  },
);

Given('an entry log on a real disk', async function (this: LogWorld) {
  this.path = await mkdtemp(path.join(tmpdir(), 'marigoldpost-log-'));
  this.folder = await DiskLogFolder.create(this.path);
  this.written = [];
  this.entryLog = await openLog(this.folder);
});

Given('an empty disk for a log', function (this: LogWorld) {
  this.disk = MemoryLogFolder.create();
});

When(
  "the log's disk loses power and unsynced bytes are {word}",
  function (this: LogWorld, loss: PowerLoss) {
    this.disk.losePower(loss);
  },
);

When(
  '{int} entries of arbitrary sizes are appended concurrently',
  async function (this: LogWorld, count: number) {
    const random = SeededRandom.create(seed);
    const sizes = Array.from({length: count}, () => random.nextInteger(40_000));
    this.written = sizes.map((size, index) => `${index}:${'x'.repeat(size)}`);
    this.positions = await Promise.all(
      this.written.map((text) => this.entryLog.append(Buffer.from(text))),
    );
    this.entryLog.close();
  },
);

When(
  /^the log's disk (is full|has room again) and entry "(\w+)" is appended$/,
  async function (this: LogWorld, state: string, name: string) {
    this.disk.fault = state === 'is full' ? 'full' : 'none';
    this.failure = await append(this, name).catch((error: unknown) => error);
  },
);

When(
  'the log is closed and entry {string} is appended',
  async function (this: LogWorld, name: string) {
    this.entryLog.close();
    this.failure = await append(this, name).catch((error: unknown) => error);
  },
);

When(
  "the log's disk stalls while entries {string} are appended",
  async function (this: LogWorld, names: string) {
    this.disk.fault = 'stalled';
    this.acknowledged = 0;
    for (const name of split(names)) {
      void append(this, name).then(() => {
        this.acknowledged += 1;
      });
    }
    await flushEventLoop();
  },
);

When("the stall of the log's disk ends", async function (this: LogWorld) {
  this.disk.endStall();
  await flushEventLoop();
});

Then('none of them is acknowledged', function (this: LogWorld) {
  assert.equal(this.acknowledged, 0);
});

Then('the append fails with archive_unavailable', function (this: LogWorld) {
  assert.ok(isErrorOfKind(this.failure, 'archive_unavailable'));
});

Then(
  'the reopened log contains at least {string} in order, and only written entries',
  async function (this: LogWorld, names: string) {
    const found = await readAll(this.folder);
    const least = split(names);
    assert.deepEqual(found.slice(0, least.length), least);
    assert.deepEqual(found, this.written.slice(0, found.length));
  },
);

Then(
  'the reopened log contains exactly {string}',
  async function (this: LogWorld, names: string) {
    assert.deepEqual(await readAll(this.folder), split(names));
  },
);

Then(
  'the reopened log contains all of them in order',
  async function (this: LogWorld) {
    assert.deepEqual(await readAll(this.folder), this.written);
  },
);

Then(
  'each of them can be read by its position',
  async function (this: LogWorld) {
    for (const [index, position] of this.positions.entries()) {
      const bytes = await this.entryLog.read(position);
      assert.equal(bytes?.toString(), this.written[index]);
    }
  },
);

Then(
  "the disk's identity is the same after each restart",
  async function (this: LogWorld) {
    const first = await readDiskIdentity(this.disk, SeededRandom.create(1));
    const second = await readDiskIdentity(this.disk, SeededRandom.create(2));
    assert.equal(first, second);
  },
);

Then(
  'another empty disk gets a different identity',
  async function (this: LogWorld) {
    const other = MemoryLogFolder.create();
    const first = await readDiskIdentity(this.disk, SeededRandom.create(1));
    const second = await readDiskIdentity(other, SeededRandom.create(2));
    assert.notEqual(first, second);
  },
);

function openLog(folder: LogFolder): Promise<EntryLog> {
  const clock = VirtualClock.create();
  return EntryLog.open({folder, clock, onRecovered: () => undefined});
}

async function append(world: LogWorld, name: string): Promise<void> {
  await world.entryLog.append(Buffer.from(name));
  world.written.push(name);
}

async function readAll(folder: LogFolder): Promise<string[]> {
  const found: string[] = [];
  await EntryLog.open({
    folder,
    clock: VirtualClock.create(),
    onRecovered: ({bytes}) => found.push(bytes.toString()),
  });
  return found;
}

function split(names: string): string[] {
  return names.split(', ');
}

async function flushEventLoop(): Promise<void> {
  for (let turn = 0; turn < 10; turn++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}
