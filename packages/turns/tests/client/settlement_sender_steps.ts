/** Steps that end attempts without a stored turn. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {
  type ErrorKind,
  isErrorOfKind,
  type ProgramId,
  toId,
} from '@marigoldpost/common';
import type {TurnId} from '@marigoldpost/sites';
import {reservationPrefix} from '@marigoldpost/turns';
import {type ArchiveFleet} from '../fixtures/archive_fleet.js';
import {createTokenRequest} from '../fixtures/turn_requests.js';

interface SettlementWorld extends World {
  archives: ArchiveFleet;
  otherAttempts: number;
}

const program = toId<ProgramId>('program');
const attempt = toId<TurnId>('ended');
const home = 'a';
/** Time in which entry VMs notice that an archive does not reply. */
const noticeMs = 3000;
const attemptPauseMs = 100;
/** Time of the last writes of an entry VM that stops. */
const flushTimeoutMs = 400;

Given(
  /^archives "(.*)" are killed, which entry VMs have noticed$/,
  async function (this: SettlementWorld, names: string) {
    const {archives} = this;
    for (const name of names.split(', ')) {
      if (name !== '') archives.kill(name);
    }
    const request = createTokenRequest('first', 1, 200, home);
    const store = archives.getStore(home);
    await archives.run(store.reserve({...request, program: toId('other')}));
    await archives.clock.advance(noticeMs);
  },
);

When(
  'an attempt of {int} tokens in {string} on a budget of {int} is rejected after its reservation',
  async function (
    this: SettlementWorld,
    tokens: number,
    entryVm: string,
    budgetTokens: number,
  ) {
    await reserve(this, entryVm, tokens, budgetTokens);
    await settle(this, entryVm, 0);
  },
);

When(
  'an attempt of {int} tokens in {string} on a budget of {int} breaks off after {int} tokens',
  async function (
    this: SettlementWorld,
    tokens: number,
    entryVm: string,
    budgetTokens: number,
    usedTokens: number,
  ) {
    await reserve(this, entryVm, tokens, budgetTokens);
    await settle(this, entryVm, usedTokens);
  },
);

When(
  'an attempt of {int} tokens in {string} on a budget of {int} reserves',
  async function (
    this: SettlementWorld,
    tokens: number,
    entryVm: string,
    budgetTokens: number,
  ) {
    await reserve(this, entryVm, tokens, budgetTokens);
  },
);

Then(
  'an attempt of {int} tokens in {string} on a budget of {int} fails with {word}',
  async function (
    this: SettlementWorld,
    tokens: number,
    entryVm: string,
    budgetTokens: number,
    kind: ErrorKind,
  ) {
    const reserved = reserve(this, entryVm, tokens, budgetTokens);
    await assert.rejects(reserved, (error) => isErrorOfKind(error, kind));
  },
);

When('the attempt ends without tokens', async function (this: SettlementWorld) {
  await settle(this, home, 0);
});

Then(
  'the attempt ends without tokens within {int} ms',
  async function (this: SettlementWorld, maxMs: number) {
    const startMs = this.archives.clock.nowMs();
    await settle(this, home, 0);
    const elapsedMs = this.archives.clock.nowMs() - startMs;
    assert.ok(elapsedMs <= maxMs, `it took ${elapsedMs} ms`);
  },
);

When(
  '{int} attempts of other programs in {string} end without tokens at once',
  async function (this: SettlementWorld, count: number, entryVm: string) {
    const {archives} = this;
    const store = archives.getStore(entryVm);
    this.otherAttempts ??= 0;
    const settled = Array.from({length: count}, () => {
      const other = `other-${this.otherAttempts++}`;
      return store.settle(toId<ProgramId>(other), toId<TurnId>(other), 0);
    });
    await archives.run(Promise.all(settled));
  },
);

When(
  'entry VM {string} flushes its settlements and is killed',
  async function (this: SettlementWorld, entryVm: string) {
    const {archives} = this;
    const flushed = archives.getStore(entryVm).flush();
    await archives.run(
      Promise.race([flushed, archives.clock.sleep(flushTimeoutMs)]),
    );
    archives.killEntry(entryVm);
  },
);

Given(
  '{int} ms pass with attempts in {string}',
  async function (this: SettlementWorld, elapsedMs: number, entryVm: string) {
    const {archives} = this;
    for (let passedMs = 0; passedMs < elapsedMs; passedMs += attemptPauseMs) {
      await tryInVain(archives, entryVm, attemptPauseMs);
      await archives.clock.advance(attemptPauseMs);
    }
  },
);

Then(
  '{int} attempts in {string} that may wait for {int} ms write nothing to the object API',
  async function (
    this: SettlementWorld,
    count: number,
    entryVm: string,
    maxWaitMs: number,
  ) {
    const {archives} = this;
    const countKeys = () =>
      [...archives.objects.byKey.values()]
        .filter(({key}) => key.startsWith(reservationPrefix))
        .map(({key, version}) => `${key} ${version}`);
    const before = countKeys();
    for (let index = 0; index < count; index++) {
      await tryInVain(archives, entryVm, maxWaitMs);
    }
    assert.deepEqual(countKeys(), before);
  },
);

async function tryInVain(
  archives: ArchiveFleet,
  entryVm: string,
  maxWaitMs: number,
): Promise<void> {
  const request = createTokenRequest('in-vain', 10, 200, home);
  const store = archives.getStore(entryVm);
  const reserved = archives.run(store.reserve({...request, maxWaitMs}));
  await assert.rejects(reserved, (error) =>
    isErrorOfKind(error, 'archive_unavailable'),
  );
}

async function reserve(
  {archives}: SettlementWorld,
  entryVm: string,
  tokens: number,
  budgetTokens: number,
): Promise<void> {
  const request = createTokenRequest(attempt, tokens, budgetTokens, home);
  await archives.run(archives.getStore(entryVm).reserve(request));
}

function settle(
  {archives}: SettlementWorld,
  entryVm: string,
  usedTokens: number,
): Promise<void> {
  const store = archives.getStore(entryVm);
  return archives.run(store.settle(program, attempt, usedTokens));
}
