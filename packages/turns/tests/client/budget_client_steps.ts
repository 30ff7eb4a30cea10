/** Steps for reservations while archives restart. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {
  type ErrorKind,
  isErrorOfKind,
  type ProgramId,
  toId,
} from '@marigoldpost/common';
import type {TurnId} from '@marigoldpost/sites';
import {type ArchiveFleet} from '../fixtures/archive_fleet.js';
import {createTokenRequest} from '../fixtures/turn_requests.js';

const program = toId<ProgramId>('program');

interface BudgetWorld extends World {
  archives: ArchiveFleet;
  admitted: number;
}

Given(
  /^archives? "(.*)" (?:is|are) down for (\d+) ms$/,
  function (this: BudgetWorld, names: string, downMs: string) {
    const {archives} = this;
    for (const name of names.split(', ')) {
      archives.kill(name);
      archives.clock.setTimer(Number(downMs), () => void archives.start(name));
    }
  },
);

Then(
  /^an attempt of a program of "(\w)" in "(\w)" (that may wait for|whose call ends after) (\d+) ms fails with (\w+) within (\d+) ms$/,
  async function (
    this: BudgetWorld,
    home: string,
    dataCentre: string,
    limit: string,
    limitMs: string,
    kind: ErrorKind,
    withinMs: string,
  ) {
    const {archives} = this;
    const startMs = archives.clock.nowMs();
    const controller = new AbortController();
    const {signal} = controller;
    const isEnding = limit === 'whose call ends after';
    if (isEnding) {
      archives.clock.setTimer(Number(limitMs), () => controller.abort());
    }
    const request = createTokenRequest(`of-${home}`, 10, 200, home);
    const {maxWaitMs} = request;
    const tried = archives.getStore(dataCentre).reserve({
      ...request,
      maxWaitMs: isEnding ? maxWaitMs : Number(limitMs),
      signal,
    });
    await assert.rejects(archives.run(tried), (error) =>
      isErrorOfKind(error, kind),
    );
    const elapsedMs = archives.clock.nowMs() - startMs;
    assert.ok(elapsedMs <= Number(withinMs), `it took ${elapsedMs} ms`);
  },
);

Given(
  'entry VM {string} reaches only archives {string}',
  function (this: BudgetWorld, entryVm: string, names: string) {
    const {archives} = this;
    const reached = names.split(', ');
    for (const name of archives.names) {
      if (reached.includes(name)) continue;
      archives.brokenLinks.add(`${entryVm} ${name}`);
    }
  },
);

Given(
  'entry VM {string} has read of archives {string} only',
  function (this: BudgetWorld, entryVm: string, names: string) {
    this.archives.limitList(entryVm, names.split(', '));
  },
);

When(
  /^(\d+) attempts of (\d+) tokens of a program of "(\w)" reserve from a budget of (\d+) one after the other(, some in vain)?, alternating over "(.*)"$/,
  async function (
    this: BudgetWorld,
    count: string,
    tokens: string,
    home: string,
    budget: string,
    inVain: string | null,
    entryVms: string,
  ) {
    const {archives} = this;
    const kinds = ['tokens_spent', 'limit_reached'];
    if (inVain !== null) kinds.push('archive_unavailable');
    const names = entryVms.split(', ');
    this.admitted = 0;
    for (let index = 0; index < Number(count); index++) {
      const request = createTokenRequest(
        `t${index}`,
        Number(tokens),
        Number(budget),
        home,
      );
      const store = archives.getStore(names[index % names.length] ?? '');
      try {
        await archives.run(store.reserve(request));
        this.admitted += 1;
      } catch (error) {
        const isExpected = kinds.some((kind) =>
          isErrorOfKind(error, kind as ErrorKind),
        );
        assert.ok(isExpected, String(error));
      }
    }
  },
);

Then(
  'at least {int} attempts hold a reservation',
  function (this: BudgetWorld, minCount: number) {
    assert.ok(
      this.admitted >= minCount,
      `${this.admitted} attempts were admitted`,
    );
  },
);

Given(
  /^an attempt that has ended used (\d+) tokens, as archives? "(.*)" count$/,
  async function (this: BudgetWorld, tokens: string, names: string) {
    const attempt = toId<TurnId>('ended');
    const entry = {attempt, tokens: Number(tokens), isSettled: true};
    for (const name of names.split(', ')) {
      await this.archives.run(this.archives.mergeLedger(name, program, entry));
    }
  },
);

Then(
  /^attempt "(.*)" of (\d+) tokens in "(\w)" is rejected as over the budget of (\d+), with (\d+) requests at most$/,
  async function (
    this: BudgetWorld,
    attempt: string,
    tokens: string,
    dataCentre: string,
    budget: string,
    maxRequests: string,
  ) {
    const {archives} = this;
    const before = archives.requestCount;
    const request = createTokenRequest(
      attempt,
      Number(tokens),
      Number(budget),
      'a',
    );
    const tried = archives.getStore(dataCentre).reserve(request);
    await assert.rejects(archives.run(tried), (error) =>
      isErrorOfKind(error, 'tokens_spent'),
    );
    const requests = archives.requestCount - before;
    assert.ok(requests <= Number(maxRequests), `${requests} requests`);
  },
);

Then(
  'attempt {string} of {int} tokens in {string} is refused by a budget of {int} with {int} tokens settled and {int} held, {int} of them by {int} open attempts',
  async function (
    this: BudgetWorld,
    attempt: string,
    tokens: number,
    dataCentre: string,
    budget: number,
    settledTokens: number,
    heldTokens: number,
    openTokens: number,
    openAttempts: number,
  ) {
    const {archives} = this;
    const request = createTokenRequest(attempt, tokens, budget, 'a');
    const tried = archives.getStore(dataCentre).reserve(request);
    await assert.rejects(archives.run(tried), (error) => {
      assert.ok(isErrorOfKind(error, 'tokens_spent', 'limit_reached'));
      const counts = {settledTokens, heldTokens, openAttempts};
      assert.deepEqual(error.counts, counts);
      return true;
    });
    assert.equal(heldTokens - settledTokens, openTokens);
  },
);

Then(
  'attempt {string} of {float} tokens in {string} is admitted to the budget of {float}',
  async function (
    this: BudgetWorld,
    attempt: string,
    tokens: number,
    dataCentre: string,
    budget: number,
  ) {
    const {archives} = this;
    const request = createTokenRequest(attempt, tokens, budget, 'a');
    await archives.run(archives.getStore(dataCentre).reserve(request));
  },
);

Then(
  'archive {string} counts {int} tokens of the program',
  function (this: BudgetWorld, name: string, tokens: number) {
    assert.equal(this.archives.getHeldTokens(name, program), tokens);
  },
);
