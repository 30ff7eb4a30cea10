/** Steps with reservations that lapse unless they are confirmed. */
import assert from 'node:assert/strict';
import {Then, When, type World} from '@cucumber/cucumber';
import {type ErrorKind, isErrorOfKind} from '@marigoldpost/common';
import type {ConfirmReservation} from '@marigoldpost/turns';
import {type ArchiveFleet} from '../fixtures/archive_fleet.js';
import {createTokenRequest} from '../fixtures/turn_requests.js';

interface LapseWorld extends World {
  archives: ArchiveFleet;
  confirm: ConfirmReservation;
}

/** Budget of the program whose attempts are refused. */
const budgetTokens = 200;

When(
  'an attempt of {int} tokens in {string} on a budget of {int} reserves for {int} ms',
  async function (
    this: LapseWorld,
    tokens: number,
    entryVm: string,
    budgetTokens: number,
    lapseMs: number,
  ) {
    const {archives} = this;
    const request = createTokenRequest('ended', tokens, budgetTokens, 'a');
    const store = archives.getStore(entryVm);
    this.confirm = await archives.run(store.reserve({...request, lapseMs}));
  },
);

Then(
  'attempt {string} of {int} tokens in {string} fails with {word}',
  async function (
    this: LapseWorld,
    attempt: string,
    tokens: number,
    entryVm: string,
    kind: ErrorKind,
  ) {
    const {archives} = this;
    const request = createTokenRequest(attempt, tokens, budgetTokens, 'a');
    const tried = archives.getStore(entryVm).reserve(request);
    await assert.rejects(
      () => archives.run(tried),
      (error) => isErrorOfKind(error, kind),
    );
  },
);

When('the attempt is confirmed', async function (this: LapseWorld) {
  await this.archives.run(this.confirm());
});

Then(
  'the attempt is confirmed within {int} ms',
  async function (this: LapseWorld, maxMs: number) {
    const {clock} = this.archives;
    const startMs = clock.nowMs();
    await this.archives.run(this.confirm());
    const elapsedMs = clock.nowMs() - startMs;
    assert.ok(elapsedMs <= maxMs, `it took ${elapsedMs} ms`);
  },
);

When(
  'archives {string} lose power and restart, {string} with empty disks',
  async function (this: LapseWorld, names: string, emptied: string) {
    const {archives} = this;
    const lost = names.split(', ');
    for (const name of lost) {
      archives.kill(name);
      archives.getFolder(name).losePower('torn');
      if (emptied.split(', ').includes(name)) archives.getFolder(name).wipe();
    }
    for (const name of lost) await archives.start(name);
  },
);
