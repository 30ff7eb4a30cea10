/** Steps for replicas on archives that are lost, cut off or replaced. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {type ProgramId, toId} from '@marigoldpost/common';
import type {TurnId} from '@marigoldpost/sites';
import {type ArchiveFleet} from '../fixtures/archive_fleet.js';
import {createTurn, unlimitedWaitMs} from '../fixtures/turn_requests.js';

interface RepairWorld extends World {
  archives: ArchiveFleet;
  turnIds: string[];
  idleRequests: number;
}

Given(
  '{int} turns of separate programs finish in {string}',
  async function (this: RepairWorld, count: number, dataCentre: string) {
    const {archives} = this;
    const wait = {
      maxWaitMs: unlimitedWaitMs,
      signal: new AbortController().signal,
    };
    this.turnIds = Array.from({length: count}, (_, index) => `t${index}`);
    for (const id of this.turnIds) {
      const turn = createTurn(id, undefined);
      const program = toId<ProgramId>(`program of ${id}`);
      const store = archives.getStore(dataCentre);
      await archives.run(store.record({...turn, program}, [], wait));
    }
  },
);

Given(
  '{int} turns with inputs of {int} bytes finish in {string}',
  async function (
    this: RepairWorld,
    count: number,
    bytes: number,
    dataCentre: string,
  ) {
    const {archives} = this;
    const wait = {
      maxWaitMs: unlimitedWaitMs,
      signal: new AbortController().signal,
    };
    const input = Buffer.alloc(bytes);
    for (let index = 0; index < count; index++) {
      const id = `large-${index}`;
      const turn = {...createTurn(id, undefined), input};
      const program = toId<ProgramId>(`program of ${id}`);
      const store = archives.getStore(dataCentre);
      await archives.run(store.record({...turn, program}, [], wait));
      this.turnIds.push(id);
    }
  },
);

When(
  'the other archive with turn {string} is isolated',
  function (this: RepairWorld, id: string) {
    const {archives} = this;
    const other = archives.findHolders(id).find((name) => name !== 'a');
    assert.ok(other, `turn "${id}" is on no disk except "a"`);
    archives.cutOff = other;
  },
);

When(
  'archive {string} restarts',
  async function (this: RepairWorld, name: string) {
    await this.archives.start(name);
  },
);

When(
  'archive {string} loses its disk and nobody has read of its new one',
  async function (this: RepairWorld, name: string) {
    const {archives} = this;
    archives.kill(name);
    archives.getFolder(name).wipe();
    await archives.start(name, false);
  },
);

When(
  'archive {string} reaches the others again, one after the other',
  async function (this: RepairWorld, name: string) {
    const {archives} = this;
    archives.sentTurnCounts.clear();
    const links = ['b', 'c', 'd'].map((other) => `${name} ${other}`);
    for (const link of links) archives.cutLinks.add(link);
    archives.cutOff = undefined;
    for (const link of links) {
      archives.cutLinks.delete(link);
      await archives.clock.advance(300);
    }
  },
);

Then(
  'each of these turns is on {int} to {int} running archives',
  function (this: RepairWorld, least: number, most: number) {
    for (const id of this.turnIds) {
      const holders = this.archives.findHolders(id);
      const text = `turn "${id}" is on ${holders.join(', ')}`;
      assert.ok(holders.length >= least && holders.length <= most, text);
    }
  },
);

Then(
  'archive {string} has reported {string}',
  function (this: RepairWorld, name: string, reports: string) {
    assert.equal(this.archives.getCountReports(name).join(', '), reports);
  },
);

Then(
  'no requests are sent to archive {string} for {int} ms',
  async function (this: RepairWorld, name: string, forMs: number) {
    const {archives} = this;
    archives.requestCounts.delete(name);
    await archives.clock.advance(forMs);
    assert.equal(archives.requestCounts.get(name) ?? 0, 0);
  },
);

When(
  'turn {string} after {string} finishes in {string} while the archives with {string} do not reply to its entry VM',
  async function (
    this: RepairWorld,
    id: string,
    previous: string,
    dataCentre: string,
    held: string,
  ) {
    const {archives} = this;
    const store = archives.getStore(dataCentre);
    const {signal} = new AbortController();
    const read = store.readChain(toId<TurnId>(previous), {
      maxWaitMs: 0,
      signal,
    });
    const disks = (await archives.run(read)).at(-1)?.disks ?? [];
    const links = archives
      .findHolders(held)
      .map((name) => `${dataCentre} ${name}`);
    for (const link of links) archives.brokenLinks.add(link);
    // The first request without a reply marks the archives unreachable.
    const probe = store.readChain(toId<TurnId>('probe'), {
      maxWaitMs: 0,
      signal,
    });
    await archives.run(probe.catch(() => undefined));
    const wait = {maxWaitMs: unlimitedWaitMs, signal};
    const turn = createTurn(id, previous);
    await archives.run(store.record(turn, disks, wait));
    for (const link of links) archives.brokenLinks.delete(link);
  },
);

Then(
  'turns {string} and {string} are on no common disk',
  function (this: RepairWorld, left: string, right: string) {
    const holders = this.archives.findHolders(right);
    const common = this.archives
      .findHolders(left)
      .filter((name) => holders.includes(name));
    assert.deepEqual(common, []);
  },
);

Given(
  'the requests to archives are counted for {int} ms',
  async function (this: RepairWorld, forMs: number) {
    this.idleRequests = await countRequests(this.archives, forMs);
  },
);

Then(
  'at most {int} requests more are sent to archives in {int} ms',
  async function (this: RepairWorld, most: number, forMs: number) {
    const sent = await countRequests(this.archives, forMs);
    const text = `${sent} requests, ${this.idleRequests} without turns`;
    assert.ok(sent - this.idleRequests <= most, text);
  },
);

Then(
  'archive {string} has sent no turns',
  function (this: RepairWorld, name: string) {
    assert.equal(this.archives.sentTurnCounts.get(name) ?? 0, 0);
  },
);

async function countRequests(
  archives: ArchiveFleet,
  forMs: number,
): Promise<number> {
  const before = archives.requestCount;
  await archives.clock.advance(forMs);
  return archives.requestCount - before;
}
