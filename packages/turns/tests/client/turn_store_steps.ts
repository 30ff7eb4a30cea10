/** Steps for the turn store of an entry VM. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {
  type ErrorKind,
  isErrorOfKind,
  type ProgramId,
  toId,
} from '@marigoldpost/common';
import type {TurnId} from '@marigoldpost/sites';
import {ArchiveFleet} from '../fixtures/archive_fleet.js';
import {
  createTokenRequest,
  createTurn,
  unlimitedWaitMs,
} from '../fixtures/turn_requests.js';

interface StoreWorld extends World {
  archives: ArchiveFleet;
  holders: string[];
  admitted: number;
}

const program = toId<ProgramId>('program');
/** Waits for the archives are not ended. */
const untilDone = new AbortController().signal;
const noWait = {maxWaitMs: 0, signal: untilDone};
const maxAttempts = 30;
/** Below the 1 s within which a budget must include a turn's used tokens. */
const settleMs = 900;

Given(
  'archives {string} with {int} replicas per turn',
  async function (this: StoreWorld, names: string, copies: number) {
    this.archives = await ArchiveFleet.create(split(names), copies);
  },
);

Given('archive {string} is killed', function (this: StoreWorld, name: string) {
  this.archives.kill(name);
});

Given(
  'the disk of archive {string} is stalled',
  function (this: StoreWorld, name: string) {
    this.archives.getFolder(name).fault = 'stalled';
  },
);

Given(
  'data centre {string} is isolated',
  async function (this: StoreWorld, name: string) {
    this.archives.cutOff = name;
    // The first request without a reply marks the archives unreachable.
    const {archives} = this;
    const probe = archives
      .getStore(name)
      .readChain(toId<TurnId>('probe'), noWait);
    await archives.run(probe.catch(() => undefined));
  },
);

When(
  'turn {string} finishes in {string}',
  async function (this: StoreWorld, id: string, dataCentre: string) {
    await recordTurn(this, id, undefined, dataCentre);
  },
);

When(
  'turn {string} after {string} finishes in {string}',
  async function (
    this: StoreWorld,
    id: string,
    previous: string,
    dataCentre: string,
  ) {
    await recordTurn(this, id, previous, dataCentre);
  },
);

When(
  'turn {string} after {string} finishes in {string}, and nobody stores {string}',
  async function (
    this: StoreWorld,
    id: string,
    previous: string,
    dataCentre: string,
    missing: string,
  ) {
    const wait = {maxWaitMs: unlimitedWaitMs, signal: untilDone};
    const store = this.archives.getStore(dataCentre);
    await this.archives.run(store.record(createTurn(id, previous), [], wait));
    assert.deepEqual(this.archives.findHolders(missing), []);
  },
);

When(
  'turn {string} finishes in {string} within {int} ms',
  async function (
    this: StoreWorld,
    id: string,
    dataCentre: string,
    withinMs: number,
  ) {
    const startMs = this.archives.clock.nowMs();
    await recordTurn(this, id, undefined, dataCentre);
    assert.ok(this.archives.clock.nowMs() - startMs <= withinMs);
  },
);

When(
  'the isolation ends and {int} ms pass',
  async function (this: StoreWorld, elapsedMs: number) {
    this.archives.cutOff = undefined;
    await this.archives.clock.advance(elapsedMs);
  },
);

When(
  'the disk of the archive {string} is lost and {int} ms pass',
  async function (this: StoreWorld, name: string, elapsedMs: number) {
    await loseDisk(this, name, elapsedMs);
  },
);

When(
  'the other disk with turn {string} is lost and {int} ms pass',
  async function (this: StoreWorld, id: string, elapsedMs: number) {
    assert.ok(this.holders.includes('a'));
    const other = this.holders.find((name) => name !== 'a');
    assert.ok(other, `turn "${id}" was stored on no disk except "a"`);
    await loseDisk(this, other, elapsedMs);
  },
);

When('archive {string} is started', function (this: StoreWorld, name: string) {
  return this.archives.start(name);
});

When(
  'archive {string} is killed and unregistered',
  function (this: StoreWorld, name: string) {
    this.archives.kill(name);
    this.archives.unregister(name);
  },
);

When('{int} ms pass', async function (this: StoreWorld, elapsedMs: number) {
  await this.archives.clock.advance(elapsedMs);
});

When('all archives lose power and restart', async function (this: StoreWorld) {
  for (const name of ['a', 'b', 'c', 'd']) {
    this.archives.kill(name);
    this.archives.getFolder(name).losePower('torn');
  }
  for (const name of ['a', 'b', 'c', 'd']) await this.archives.start(name);
  await this.archives.clock.advance(1000);
});

When(
  /^(\d+) (further )?attempts of (\d+) tokens (?:of a program of "(\w)" )?reserve from a budget of (\d+) concurrently, alternating over "(.*)"$/,
  async function (
    this: StoreWorld,
    count: string,
    further: string | null,
    tokens: string,
    home: string | null,
    budget: string,
    names: string,
  ) {
    const places = split(names);
    const prefix = further === null ? 'p' : 'f';
    const tries = Array.from({length: Number(count)}, (_none, index) =>
      reserve(
        this,
        `${prefix}${index}`,
        Number(tokens),
        Number(budget),
        places[index % places.length] ?? '',
        home ?? undefined,
      ),
    );
    const results = await this.archives.run(Promise.allSettled(tries));
    this.admitted = results.filter(({status}) => status === 'fulfilled').length;
  },
);

When(
  'every archive knows of attempts {string} of {int} tokens',
  async function (this: StoreWorld, attempts: string, tokens: number) {
    for (const name of ['a', 'b', 'c', 'd']) {
      for (const attempt of split(attempts)) {
        const id = toId<TurnId>(attempt);
        const entry = {attempt: id, tokens, isSettled: false};
        const merged = this.archives.mergeLedger(name, program, entry);
        await this.archives.run(merged);
      }
    }
  },
);

When(
  'archive {string} alone learns that attempt {string} used {int} tokens',
  async function (
    this: StoreWorld,
    name: string,
    attempt: string,
    tokens: number,
  ) {
    const entry = {attempt: toId<TurnId>(attempt), tokens, isSettled: true};
    const merged = this.archives.mergeLedger(name, program, entry);
    await this.archives.run(merged);
  },
);

When(
  'attempts that reserve {int} tokens and use {int} run sequentially in {string} on a budget of {int}',
  async function (
    this: StoreWorld,
    tokens: number,
    used: number,
    dataCentre: string,
    budget: number,
  ) {
    this.admitted = 0;
    const {archives} = this;
    for (let index = 0; index < maxAttempts; index++) {
      const attempt = `s${index}`;
      try {
        const reserved = reserve(this, attempt, tokens, budget, dataCentre);
        await archives.run(reserved);
      } catch (error) {
        assert.ok(isErrorOfKind(error, 'tokens_spent'));
        return;
      }
      this.admitted += 1;
      const store = archives.getStore(dataCentre);
      void store.settle(program, toId<TurnId>(attempt), used);
      await archives.clock.advance(settleMs);
    }
  },
);

Then(
  /^turn "(\w+)" is on (at least )?(\d+) disks(?:, among them "(\w)")?$/,
  function (
    this: StoreWorld,
    id: string,
    atLeast: string | null,
    count: string,
    among: string | null,
  ) {
    const holders = this.archives.findHolders(id);
    const least = Number(count);
    assert.ok(holders.length >= least, `stored only on ${holders.join(', ')}`);
    if (atLeast === null) assert.equal(holders.length, least);
    if (among !== null) assert.ok(holders.includes(among));
  },
);

Then(
  'turns {string} and {string} are on the same disks',
  function (this: StoreWorld, left: string, right: string) {
    const {archives} = this;
    assert.deepEqual(archives.findHolders(left), archives.findHolders(right));
  },
);

Then(
  'a new entry VM in {string} reads the chain {string}',
  async function (this: StoreWorld, dataCentre: string, ids: string) {
    const expected = split(ids);
    const store = this.archives.getStore(dataCentre, true);
    const last = toId<TurnId>(expected.at(-1) ?? '');
    const chain = await this.archives.run(store.readChain(last, noWait));
    assert.deepEqual(
      chain.map(({id}) => id),
      expected,
    );
    for (const {id, output} of chain) {
      assert.equal(Buffer.from(output).toString(), `output ${id}\n`);
    }
  },
);

Then(
  'reading turn {string} in {string} fails with {word}',
  async function (
    this: StoreWorld,
    id: string,
    dataCentre: string,
    kind: ErrorKind,
  ) {
    const store = this.archives.getStore(dataCentre, true);
    const read = store.readChain(toId<TurnId>(id), noWait);
    await assertFails(this.archives.run(read), kind);
  },
);

Then(
  'at most {int} attempts hold a reservation',
  function (this: StoreWorld, maxCount: number) {
    assert.ok(
      this.admitted <= maxCount,
      `${this.admitted} attempts were admitted`,
    );
  },
);

When(
  'archive {string} is permanently lost and {string} replaces it',
  async function (this: StoreWorld, gone: string, added: string) {
    this.archives.kill(gone);
    await this.archives.add(added);
    await this.archives.clock.advance(2000);
  },
);

Then(
  'an attempt of a program of {string} is admitted in {string}',
  async function (this: StoreWorld, home: string, dataCentre: string) {
    const tried = reserve(this, `of-${home}`, 10, 200, dataCentre, home);
    await this.archives.run(tried);
  },
);

When(
  'each archive in turn loses its disk and restarts',
  async function (this: StoreWorld) {
    for (const name of ['a', 'b', 'c', 'd']) await loseDisk(this, name, 1000);
  },
);

Then(
  '{int} archives were asked for the reservation of the first attempt',
  function (this: StoreWorld, count: number) {
    assert.equal(this.archives.reservationRequestCounts.get('s0'), count);
  },
);

Then('{int} of them are admitted', function (this: StoreWorld, count: number) {
  assert.equal(this.admitted, count);
});

Then(
  'another attempt of {int} tokens in {string} fails with {word}',
  async function (
    this: StoreWorld,
    tokens: number,
    dataCentre: string,
    kind: ErrorKind,
  ) {
    const tried = reserve(this, 'another', tokens, 200, dataCentre);
    await assertFails(this.archives.run(tried), kind);
  },
);

Then(
  'an attempt of a program of {string} is admitted in {string} within {int} ms',
  async function (
    this: StoreWorld,
    home: string,
    dataCentre: string,
    withinMs: number,
  ) {
    const {clock} = this.archives;
    const startMs = clock.nowMs();
    const tried = reserve(this, 'own', 10, 200, dataCentre, home);
    await this.archives.run(tried);
    assert.ok(clock.nowMs() - startMs <= withinMs);
  },
);

Then(
  'an attempt of a program of {string} in {string} fails with {word}',
  async function (
    this: StoreWorld,
    home: string,
    dataCentre: string,
    kind: ErrorKind,
  ) {
    const tried = reserve(this, `of-${home}`, 10, 200, dataCentre, home);
    await assertFails(this.archives.run(tried), kind);
  },
);

function split(names: string): string[] {
  return names === '' ? [] : names.split(', ');
}

async function recordTurn(
  world: StoreWorld,
  id: string,
  previous: string | undefined,
  dataCentre: string,
): Promise<void> {
  const {archives} = world;
  const store = archives.getStore(dataCentre);
  const chain =
    previous === undefined
      ? []
      : await archives.run(store.readChain(toId<TurnId>(previous), noWait));
  const disks = chain.at(-1)?.disks ?? [];
  const wait = {maxWaitMs: unlimitedWaitMs, signal: untilDone};
  const turn = createTurn(id, previous);
  await archives.run(store.record(turn, disks, wait));
  world.holders = archives.findHolders(id);
}

async function loseDisk(
  {archives}: StoreWorld,
  name: string,
  elapsedMs: number,
): Promise<void> {
  archives.kill(name);
  archives.getFolder(name).wipe();
  await archives.start(name);
  await archives.clock.advance(elapsedMs);
}

async function reserve(
  {archives}: StoreWorld,
  attempt: string,
  tokens: number,
  budgetTokens: number,
  dataCentre: string,
  home = dataCentre,
): Promise<void> {
  const request = createTokenRequest(attempt, tokens, budgetTokens, home);
  await archives.getStore(dataCentre).reserve(request);
}

async function assertFails(
  work: Promise<unknown>,
  kind: ErrorKind,
): Promise<void> {
  await assert.rejects(work, (error) => {
    assert.ok(isErrorOfKind(error, kind), String(error));
    return true;
  });
}
