/** Steps for chains and ledgers that exceed one message. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {type ProgramId, toId} from '@marigoldpost/common';
import type {TurnId} from '@marigoldpost/sites';
import {type ArchiveFleet} from '../fixtures/archive_fleet.js';
import {createTurn, unlimitedWaitMs} from '../fixtures/turn_requests.js';

interface LargeMessageWorld extends World {
  archives: ArchiveFleet;
  chainIds: string[];
}

When(
  'a chain of {int} turns with inputs of {int} bytes finishes in {string}',
  async function (
    this: LargeMessageWorld,
    count: number,
    bytes: number,
    dataCentre: string,
  ) {
    const {archives} = this;
    const {signal} = new AbortController();
    const input = Buffer.alloc(bytes);
    this.chainIds = Array.from({length: count}, (_none, index) => `c${index}`);
    for (const [index, id] of this.chainIds.entries()) {
      const turn = {...createTurn(id, this.chainIds[index - 1]), input};
      const store = archives.getStore(dataCentre);
      const wait = {maxWaitMs: unlimitedWaitMs, signal};
      await archives.run(store.record(turn, [], wait));
    }
  },
);

Then(
  'a new entry VM in {string} reads the whole chain',
  async function (this: LargeMessageWorld, dataCentre: string) {
    const {archives, chainIds} = this;
    const {signal} = new AbortController();
    const store = archives.getStore(dataCentre, true);
    const last = toId<TurnId>(chainIds.at(-1) ?? '');
    const chain = await archives.run(
      store.readChain(last, {maxWaitMs: 0, signal}),
    );
    assert.deepEqual(
      chain.map(({id}) => id),
      chainIds,
    );
  },
);

Given(
  'archive {string} knows of {int} programs with {int} attempts each',
  async function (
    this: LargeMessageWorld,
    name: string,
    programs: number,
    attempts: number,
  ) {
    const {archives} = this;
    const ledgers = Array.from({length: programs}, (_none, index) => ({
      program: toId<ProgramId>(`program ${index}`),
      entries: Array.from({length: attempts}, (_attempt, number) => ({
        attempt: toId<TurnId>(`${index} ${number}`),
        tokens: 1,
        isSettled: true,
      })),
    }));
    await archives.mergeLedgers(name, ledgers);
  },
);

Then(
  'archive {string} knows of {int} programs',
  function (this: LargeMessageWorld, name: string, programs: number) {
    assert.equal(this.archives.getProgramCount(name), programs);
  },
);

Then(
  'no reply of archive {string} had more than {int} ledger entries',
  function (this: LargeMessageWorld, name: string, most: number) {
    const largest = this.archives.largestLedgers.get(name) ?? 0;
    assert.ok(largest > 0 && largest <= most, `${largest} entries`);
  },
);
