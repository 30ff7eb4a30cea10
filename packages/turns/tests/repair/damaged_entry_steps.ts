/** Steps for damaged entries in the logs of archives. */
import assert from 'node:assert/strict';
import {Then, When, type World} from '@cucumber/cucumber';
import {toId} from '@marigoldpost/common';
import type {TurnId} from '@marigoldpost/sites';
import type {ArchiveFleet} from '../fixtures/archive_fleet.js';

interface DamageWorld extends World {
  archives: ArchiveFleet;
  turnIds: string[];
  damagedId: string;
  damagedName: string;
}

When(
  'the entry of one of these turns that is also on {string} is damaged on {string}',
  function (this: DamageWorld, also: string, name: string) {
    const {archives} = this;
    const id = this.turnIds.find((turn) =>
      [name, also].every((holder) =>
        archives.findHolders(turn).includes(holder),
      ),
    );
    assert.ok(id, `no turn is on "${name}" and "${also}"`);
    this.damagedId = id;
    damageTurn(archives, name, id);
  },
);

When(
  'the entry of each of these turns is damaged on {string}',
  function (this: DamageWorld, name: string) {
    for (const id of this.turnIds) damageTurn(this.archives, name, id);
  },
);

When(
  'the entry of turn {string} is damaged on {string}',
  function (this: DamageWorld, id: string, name: string) {
    damageTurn(this.archives, name, id);
  },
);

When(
  'the entry of turn {string} is damaged on the other disk with it',
  function (this: DamageWorld, id: string) {
    this.damagedName = findOtherHolder(this, id);
    damageTurn(this.archives, this.damagedName, id);
  },
);

When(
  'turn {string} is read in the data centre of the other disk with it',
  async function (this: DamageWorld, id: string) {
    const {archives} = this;
    const store = archives.getStore(findOtherHolder(this, id), true);
    const {signal} = new AbortController();
    await archives.run(
      store.readChain(toId<TurnId>(id), {maxWaitMs: 0, signal}),
    );
  },
);

When(
  'each of these turns is read in {string}',
  async function (this: DamageWorld, dataCentre: string) {
    const {archives} = this;
    const {signal} = new AbortController();
    const store = archives.getStore(dataCentre, true);
    for (const id of this.turnIds) {
      await archives.run(
        store.readChain(toId<TurnId>(id), {maxWaitMs: 0, signal}),
      );
    }
  },
);

When(
  'each disk with turn {string} that was not damaged is lost',
  async function (this: DamageWorld, id: string) {
    const {archives, damagedName} = this;
    for (const name of archives.findHolders(id)) {
      if (name === damagedName) continue;
      archives.kill(name);
      archives.getFolder(name).wipe();
      await archives.start(name);
    }
  },
);

Then(
  'each of the other turns is on {int} to {int} running archives',
  function (this: DamageWorld, least: number, most: number) {
    for (const id of this.turnIds) {
      if (id === this.damagedId) continue;
      const holders = this.archives.findHolders(id);
      const text = `turn "${id}" is on ${holders.join(', ')}`;
      assert.ok(holders.length >= least && holders.length <= most, text);
    }
  },
);

Then(
  'the turn of the damaged entry is on {string}',
  async function (this: DamageWorld, name: string) {
    const {archives} = this;
    const store = archives.getStore(name, true);
    const id = toId<TurnId>(this.damagedId);
    const {signal} = new AbortController();
    const chain = await archives.run(
      store.readChain(id, {maxWaitMs: 0, signal}),
    );
    assert.equal(chain.at(-1)?.id, id);
  },
);

Then(
  'archive {string} has reported {int} damaged and {int} restored turns',
  function (this: DamageWorld, name: string, found: number, restored: number) {
    const reports = this.archives.getDamageReports(name);
    const sum = (values: number[]) => values.reduce((a, b) => a + b, 0);
    assert.deepEqual(
      [
        sum(reports.map((report) => report.found)),
        sum(reports.map((report) => report.restored)),
      ],
      [found, restored],
    );
  },
);

Then(
  'archive {string} has reported damaged turns at most {int} times',
  function (this: DamageWorld, name: string, most: number) {
    const {length} = this.archives.getDamageReports(name);
    assert.ok(length <= most, `it reported ${length} times`);
  },
);

function damageTurn(archives: ArchiveFleet, name: string, id: string): void {
  archives.getFolder(name).damage(`input ${id};`);
}

function findOtherHolder({archives}: DamageWorld, id: string): string {
  const other = archives.findHolders(id).find((name) => name !== 'a');
  assert.ok(other, `turn "${id}" is on no disk except "a"`);
  return other;
}
