/** Steps for turns that no archive stores, or none that is known. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {type ErrorKind, isErrorOfKind, toId} from '@marigoldpost/common';
import type {TurnId} from '@marigoldpost/sites';
import type {TurnChain} from '@marigoldpost/turns';
import type {ArchiveFleet} from '../fixtures/archive_fleet.js';

interface UnknownWorld extends World {
  archives: ArchiveFleet;
  results: PromiseSettledResult<unknown>[];
  elapsedMs: number;
}

Given('the object API is away', function (this: UnknownWorld) {
  this.archives.isStoreAway = true;
});

Given(
  'the registration of another archive is malformed',
  function (this: UnknownWorld) {
    this.archives.malformedRegistrations = ['other'];
  },
);

When('the object API is back', function (this: UnknownWorld) {
  this.archives.isStoreAway = false;
});

When(
  'entry VMs in {string} have not read of the archives with turn {string}',
  function (this: UnknownWorld, dataCentre: string, id: string) {
    const {archives} = this;
    const holders = archives.findHolders(id);
    assert.ok(holders.length > 0);
    const known = archives.names.filter((name) => !holders.includes(name));
    archives.limitList(dataCentre, known);
  },
);

When(
  'entry VMs in {string} have read of all archives',
  function (this: UnknownWorld, dataCentre: string) {
    this.archives.staleLists.delete(dataCentre);
  },
);

When(
  '{int} turns that nobody has stored are read at a time in {string}',
  async function (this: UnknownWorld, count: number, dataCentre: string) {
    const {archives} = this;
    const store = archives.getStore(dataCentre, true);
    const startMs = archives.clock.nowMs();
    const reads = Array.from({length: count}, (_none, index) =>
      store.readChain(toId<TurnId>(`none-${index}`), {
        maxWaitMs: 0,
        signal: new AbortController().signal,
      }),
    );
    this.results = await archives.run(Promise.allSettled(reads));
    this.elapsedMs = archives.clock.nowMs() - startMs;
  },
);

Then(
  'all of them are called unknown within {int} ms',
  function (this: UnknownWorld, withinMs: number) {
    for (const result of this.results) {
      assert.ok(result.status === 'rejected');
      assert.ok(isErrorOfKind(result.reason, 'unknown_turn'));
    }
    assert.ok(this.elapsedMs <= withinMs, `it took ${this.elapsedMs} ms`);
  },
);

Then(
  'the registrations were read at most {int} times',
  function (this: UnknownWorld, most: number) {
    const {registrationReads} = this.archives;
    assert.ok(registrationReads <= most, `${registrationReads} times`);
  },
);

When(
  'the archives with turn {string} are down for {int} ms',
  function (this: UnknownWorld, id: string, downMs: number) {
    const {archives} = this;
    const holders = archives.findHolders(id);
    assert.ok(holders.length > 0);
    for (const name of holders) {
      archives.kill(name);
      archives.clock.setTimer(downMs, () => void archives.start(name));
    }
  },
);

Then(
  'turn {string} is read in {string} by a call that may wait for {int} ms',
  async function (
    this: UnknownWorld,
    id: string,
    dataCentre: string,
    maxWaitMs: number,
  ) {
    const chain = await readTurn(this, id, dataCentre, maxWaitMs);
    assert.deepEqual(
      chain.map((turn) => turn.id),
      [id],
    );
  },
);

Then(
  'reading turn {string} in {string} by a call that may wait for {int} ms fails with {word} within {int} ms',
  async function (
    this: UnknownWorld,
    id: string,
    dataCentre: string,
    maxWaitMs: number,
    kind: ErrorKind,
    withinMs: number,
  ) {
    const {clock} = this.archives;
    const startMs = clock.nowMs();
    await assert.rejects(readTurn(this, id, dataCentre, maxWaitMs), (error) =>
      isErrorOfKind(error, kind),
    );
    const elapsedMs = clock.nowMs() - startMs;
    assert.ok(elapsedMs <= withinMs, `it took ${elapsedMs} ms`);
  },
);

function readTurn(
  {archives}: UnknownWorld,
  id: string,
  dataCentre: string,
  maxWaitMs: number,
): Promise<TurnChain> {
  const {signal} = new AbortController();
  const store = archives.getStore(dataCentre);
  return archives.run(store.readChain(toId<TurnId>(id), {maxWaitMs, signal}));
}
