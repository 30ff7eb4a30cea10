/** Steps for what the object API holds while too few disks store it. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {
  type ErrorKind,
  isErrorOfKind,
  toId,
  toMarigoldpostError,
} from '@marigoldpost/common';
import type {TurnId} from '@marigoldpost/sites';
import {turnObjectPrefix} from '@marigoldpost/turns';
import {type ArchiveFleet} from '../fixtures/archive_fleet.js';
import {createTurn, unlimitedWaitMs} from '../fixtures/turn_requests.js';

interface ObjectWorld extends World {
  archives: ArchiveFleet;
}

When('all entry VMs are killed', function (this: ObjectWorld) {
  this.archives.killEntries();
});

When('entry VM {string} is killed', function (this: ObjectWorld, name: string) {
  this.archives.killEntry(name);
});

Given('the object API loses writes', function (this: ObjectWorld) {
  this.archives.objects.areWritesLost = true;
});

Given(
  'the object API loses the answers of {int} writes',
  function (this: ObjectWorld, count: number) {
    this.archives.objects.lostAnswers = count;
  },
);

Given(
  'the object API is away from {string}',
  function (this: ObjectWorld, dataCentre: string) {
    this.archives.dataCentresWithoutStore.add(dataCentre);
  },
);

Given(
  'the object API is away from all data centres but {string}',
  function (this: ObjectWorld, dataCentre: string) {
    for (const name of 'abcdefg') {
      if (name === dataCentre) continue;
      this.archives.dataCentresWithoutStore.add(name);
    }
  },
);

When(
  'the object API is back and {int} ms pass',
  async function (this: ObjectWorld, elapsedMs: number) {
    this.archives.isStoreAway = false;
    this.archives.dataCentresWithoutStore.clear();
    await this.archives.clock.advance(elapsedMs);
  },
);

Given(
  'the object API is back after {int} ms',
  function (this: ObjectWorld, afterMs: number) {
    this.archives.clock.setTimer(afterMs, () => {
      this.archives.isStoreAway = false;
    });
  },
);

When(
  'archive {string} restarts on an empty disk',
  async function (this: ObjectWorld, name: string) {
    const {archives} = this;
    archives.kill(name);
    archives.getFolder(name).wipe();
    await archives.start(name);
  },
);

Given(
  'the isolation ends after {int} ms',
  function (this: ObjectWorld, afterMs: number) {
    this.archives.clock.setTimer(afterMs, () => {
      this.archives.cutOff = undefined;
    });
  },
);

When('the isolation ends', function (this: ObjectWorld) {
  this.archives.cutOff = undefined;
});

When(
  'a turn {string} of {int} bytes finishes in {string} within {int} ms',
  async function (
    this: ObjectWorld,
    id: string,
    bytes: number,
    dataCentre: string,
    withinMs: number,
  ) {
    const turn = {...createTurn(id, undefined), input: Buffer.alloc(bytes, id)};
    await recordTurns(this.archives, [turn], dataCentre, withinMs);
  },
);

Given(
  'objects with the names of those that {string} writes next exist',
  async function (this: ObjectWorld, dataCentre: string) {
    const {archives} = this;
    const {byKey} = archives.objects;
    await recordTurns(archives, [createTurn('first', undefined)], dataCentre);
    const [first] = byKey.values();
    assert.ok(first !== undefined);
    for (let batch = 2; batch < 10; batch++) {
      const key = first.key.replace(/\.1\.0$/, `.${batch}.0`);
      byKey.set(key, {...first, key, value: 'of another process'});
    }
  },
);

When(
  'a chain of {int} turns after {string} finishes in {string}, with {int} ms between them',
  async function (
    this: ObjectWorld,
    count: number,
    first: string,
    dataCentre: string,
    pauseMs: number,
  ) {
    let previous = first;
    for (let index = 1; index <= count; index++) {
      await this.archives.clock.advance(pauseMs);
      const turn = createTurn(`t${index}`, previous);
      await recordTurns(this.archives, [turn], dataCentre);
      previous = turn.id;
    }
  },
);

When(
  '{int} turns finish at a time in {string} within {int} ms',
  async function (
    this: ObjectWorld,
    count: number,
    dataCentre: string,
    withinMs: number,
  ) {
    const turns = Array.from({length: count}, (_, index) =>
      createTurn(`of-many-${index}`, undefined),
    );
    await recordTurns(this.archives, turns, dataCentre, withinMs);
  },
);

When(
  '{int} turns of {int} bytes fail in {string}',
  async function (
    this: ObjectWorld,
    count: number,
    bytes: number,
    dataCentre: string,
  ) {
    const {archives} = this;
    const store = archives.getStore(dataCentre);
    const recorded = Array.from({length: count}, (_, index) => {
      const turn = createTurn(`failed-${index}`, undefined);
      const {signal} = new AbortController();
      const wait = {maxWaitMs: unlimitedWaitMs, signal};
      return store.record({...turn, input: Buffer.alloc(bytes)}, [], wait);
    });
    const results = await archives.run(Promise.allSettled(recorded));
    assert.ok(results.every(({status}) => status === 'rejected'));
  },
);

Then(
  'the object API was written to at most {int} times',
  function (this: ObjectWorld, most: number) {
    const {writes} = this.archives.objects;
    assert.ok(writes <= most, `${writes} writes`);
  },
);

Then('no objects hold turns', function (this: ObjectWorld) {
  const keys = [...this.archives.objects.byKey.keys()];
  const held = keys.filter((key) => key.startsWith(turnObjectPrefix));
  assert.deepEqual(held, []);
});

Then(
  'turn {string} is never called unknown in {string} for {int} ms',
  async function (
    this: ObjectWorld,
    id: string,
    dataCentre: string,
    forMs: number,
  ) {
    const {archives} = this;
    const endMs = archives.clock.nowMs() + forMs;
    let reads = 0;
    while (archives.clock.nowMs() < endMs) {
      const {signal} = new AbortController();
      const store = archives.getStore(dataCentre, true);
      try {
        await archives.run(
          store.readChain(toId<TurnId>(id), {maxWaitMs: 0, signal}),
        );
        reads += 1;
      } catch (error) {
        assert.ok(isErrorOfKind(error, 'archive_unavailable'), String(error));
      }
      await archives.clock.advance(7);
    }
    assert.ok(reads > 0, 'no read succeeded');
  },
);

Then(
  /^a turn is (accepted|refused) in "(\w)"(?: with (\w+))? within (\d+) ms$/,
  async function (
    this: ObjectWorld,
    outcome: string,
    dataCentre: string,
    kind: ErrorKind | null,
    withinMs: string,
  ) {
    const {archives} = this;
    const startMs = archives.clock.nowMs();
    const {signal} = new AbortController();
    const wait = {maxWaitMs: unlimitedWaitMs, signal};
    const check = archives.getStore(dataCentre).requireDurability(wait);
    const error: unknown = await archives.run(check).catch((e: unknown) => e);
    if (outcome === 'accepted') assert.equal(error, undefined);
    else assert.ok(isErrorOfKind(error, kind ?? 'internal'), String(error));
    const elapsedMs = archives.clock.nowMs() - startMs;
    assert.ok(elapsedMs <= Number(withinMs), `it took ${elapsedMs} ms`);
  },
);

Then(
  /^a turn is refused in "(\w)" for a retry after (\d+) to (\d+) ms$/,
  async function (
    this: ObjectWorld,
    dataCentre: string,
    leastMs: string,
    mostMs: string,
  ) {
    const {archives} = this;
    const {signal} = new AbortController();
    const wait = {maxWaitMs: unlimitedWaitMs, signal};
    const check = archives.getStore(dataCentre).requireDurability(wait);
    const error = toMarigoldpostError(
      await archives.run(check).catch((thrown: unknown) => thrown),
    );
    assert.equal(error.kind, 'archive_unavailable');
    const {retryAfterMs = -1} = error;
    assert.ok(
      retryAfterMs >= Number(leastMs) && retryAfterMs <= Number(mostMs),
      `${retryAfterMs} ms`,
    );
  },
);

async function recordTurns(
  archives: ArchiveFleet,
  turns: ReturnType<typeof createTurn>[],
  dataCentre: string,
  withinMs = Infinity,
): Promise<void> {
  const startMs = archives.clock.nowMs();
  const store = archives.getStore(dataCentre);
  const recorded = turns.map((turn) => {
    const {signal} = new AbortController();
    return store.record(turn, [], {maxWaitMs: unlimitedWaitMs, signal});
  });
  await archives.run(Promise.all(recorded));
  const elapsedMs = archives.clock.nowMs() - startMs;
  assert.ok(elapsedMs <= withinMs, `it took ${elapsedMs} ms`);
}
