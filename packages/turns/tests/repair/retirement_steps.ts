/** Steps for archives that are retired. */
import assert from 'node:assert/strict';
import {Then, When, type World} from '@cucumber/cucumber';
import {isErrorOfKind, toId} from '@marigoldpost/common';
import type {TurnId} from '@marigoldpost/sites';
import {type ArchiveFleet} from '../fixtures/archive_fleet.js';
import {createTurn, unlimitedWaitMs} from '../fixtures/turn_requests.js';

interface RetirementWorld extends World {
  archives: ArchiveFleet;
  isRetired: boolean;
}

/** Time in which a new archive reads the ledgers of its peers. */
const joinMs = 2000;
/** Time until processes that have lost power start again. */
const restartMs = 800;

When(
  'archive {string} retires within {int} ms and is removed',
  async function (this: RetirementWorld, name: string, withinMs: number) {
    const {archives} = this;
    const startMs = archives.clock.nowMs();
    await archives.run(archives.retire(name, false));
    const elapsedMs = archives.clock.nowMs() - startMs;
    assert.ok(elapsedMs <= withinMs, `it took ${elapsedMs} ms`);
    archives.kill(name);
  },
);

When(
  'archive {string} replaces archive {string}, which retires and still replies',
  async function (this: RetirementWorld, added: string, retired: string) {
    const {archives} = this;
    await archives.run(archives.retire(retired, false));
    await archives.add(added);
    await archives.clock.advance(joinMs);
  },
);

When(
  'archive {string} retires without notice to others',
  async function (this: RetirementWorld, name: string) {
    await this.archives.run(this.archives.retire(name, true));
  },
);

When(
  'the retirement of archive {string} begins',
  function (this: RetirementWorld, name: string) {
    this.isRetired = false;
    void this.archives.retire(name, false).then(() => {
      this.isRetired = true;
    });
  },
);

When(
  'archive {string} loses power and restarts',
  async function (this: RetirementWorld, name: string) {
    const {archives} = this;
    archives.getFolder(name).losePower('missing');
    await archives.start(name);
  },
);

Then('the retirement is complete', function (this: RetirementWorld) {
  assert.ok(this.isRetired);
});

When(
  'the archive of the other disk with turn {string} goes down and its disk is lost',
  function (this: RetirementWorld, id: string) {
    const {archives} = this;
    const other = archives.findHolders(id).find((name) => name !== 'a');
    assert.ok(other, `turn "${id}" is on no disk except "a"`);
    archives.kill(other);
    archives.getFolder(other).wipe();
  },
);

When(
  'turn {string} is sent to be stored in {string}',
  async function (this: RetirementWorld, id: string, dataCentre: string) {
    const {signal} = new AbortController();
    const wait = {maxWaitMs: unlimitedWaitMs, signal};
    const {archives} = this;
    void archives
      .getStore(dataCentre)
      .record(createTurn(id, undefined), [], wait);
    await archives.clock.advance(10);
  },
);

When(
  'archive {string} retires while its disk is stalled for another {int} ms',
  async function (this: RetirementWorld, name: string, forMs: number) {
    const {archives} = this;
    archives.clock.setTimer(forMs, () => archives.getFolder(name).endStall());
    await archives.run(archives.retire(name, false));
    archives.kill(name);
  },
);

Then(
  'archive {string} does not hold turn {string}',
  function (this: RetirementWorld, name: string, id: string) {
    assert.ok(!this.archives.findHolders(id).includes(name));
  },
);

When(
  'archive {string} starts to retire',
  function (this: RetirementWorld, name: string) {
    // Ends with the process.
    this.archives.retire(name, false).catch(() => undefined);
  },
);

When(
  'archive {string} is added',
  async function (this: RetirementWorld, name: string) {
    await this.archives.add(name);
  },
);

When(
  'all archives lose power, {string} loses its disk, and all but {string} restart',
  async function (this: RetirementWorld, lost: string, away: string) {
    const {archives} = this;
    archives.killEntries();
    for (const name of archives.names) {
      archives.kill(name);
      if (name === lost) archives.getFolder(name).wipe();
      else archives.getFolder(name).losePower('missing');
    }
    await archives.clock.advance(restartMs);
    for (const name of archives.names) {
      if (name !== away) await archives.start(name);
    }
  },
);

When(
  'archive {string} restarts and retires',
  async function (this: RetirementWorld, name: string) {
    await this.archives.start(name, false);
    this.archives.retire(name, true).catch(() => undefined);
  },
);

Then(
  'turn {string} is not called unknown in {string}',
  async function (this: RetirementWorld, id: string, dataCentre: string) {
    const {archives} = this;
    const {signal} = new AbortController();
    const store = archives.getStore(dataCentre, true);
    const read = archives.run(
      store.readChain(toId<TurnId>(id), {maxWaitMs: 0, signal}),
    );
    const error: unknown = await read.catch((thrown: unknown) => thrown);
    assert.ok(!isErrorOfKind(error, 'unknown_turn'), String(error));
  },
);
