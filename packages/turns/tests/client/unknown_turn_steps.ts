/** Steps for turns that no archive stores, or none that is known. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {isErrorOfKind, toId} from '@marigoldpost/common';
import type {TurnId} from '@marigoldpost/sites';
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
      store.readChain(
        toId<TurnId>(`none-${index}`),
        new AbortController().signal,
      ),
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
