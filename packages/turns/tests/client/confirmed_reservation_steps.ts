/** Steps with attempts that begin to pass on streams. */
import assert from 'node:assert/strict';
import {Then, When, type World} from '@cucumber/cucumber';
import {MarigoldpostError} from '@marigoldpost/common';
import type {ConfirmReservation} from '@marigoldpost/turns';
import type {ArchiveFleet} from '../fixtures/archive_fleet.js';
import {createTokenRequest} from '../fixtures/turn_requests.js';

interface ConfirmationWorld extends World {
  archives: ArchiveFleet;
  confirmations: Map<string, ConfirmReservation> | undefined;
}

/** Time by which a reservation outlasts its call. */
const lapseMarginMs = 500;

When(
  'attempt {string} of {int} tokens in {string} of home {string} reserves on {int} for {int} ms',
  async function (
    this: ConfirmationWorld,
    attempt: string,
    tokens: number,
    entryVm: string,
    home: string,
    budget: number,
    lapseMs: number,
  ) {
    const {archives} = this;
    const controller = new AbortController();
    const {signal} = controller;
    archives.clock.setTimer(lapseMs - lapseMarginMs, () => controller.abort());
    const request = createTokenRequest(attempt, tokens, budget, home);
    const store = archives.getStore(entryVm);
    const reserved = store.reserve({...request, signal, lapseMs});
    this.confirmations ??= new Map();
    this.confirmations.set(attempt, await archives.run(reserved));
  },
);

When(
  'attempts {string} may pass on their streams',
  async function (this: ConfirmationWorld, attempts: string) {
    assert.deepEqual(await confirm(this, attempts), [true, true]);
  },
);

Then(
  'attempts {string} may not pass on their streams within {int} ms',
  async function (this: ConfirmationWorld, attempts: string, maxMs: number) {
    const {clock} = this.archives;
    const startMs = clock.nowMs();
    assert.deepEqual(await confirm(this, attempts), [false, false]);
    assert.ok(clock.nowMs() - startMs <= maxMs);
  },
);

Then(
  'attempt {string} of {int} tokens in {string} is not admitted to the budget of {int}',
  async function (
    this: ConfirmationWorld,
    attempt: string,
    tokens: number,
    entryVm: string,
    budget: number,
  ) {
    const {archives} = this;
    const request = createTokenRequest(attempt, tokens, budget, 'a');
    const tried = archives.getStore(entryVm).reserve(request);
    const refused = ['tokens_spent', 'limit_reached', 'archive_unavailable'];
    await assert.rejects(
      () => archives.run(tried),
      (error) =>
        error instanceof MarigoldpostError && refused.includes(error.kind),
    );
  },
);

function confirm(
  {archives, confirmations}: ConfirmationWorld,
  attempts: string,
): Promise<(boolean | undefined)[]> {
  const confirmed = attempts
    .split(', ')
    .map((attempt) => confirmations?.get(attempt)?.());
  return archives.run(Promise.all(confirmed));
}
