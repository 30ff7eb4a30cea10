/** Steps for reservations while archives restart. */
import assert from 'node:assert/strict';
import {Given, Then, type World} from '@cucumber/cucumber';
import {type ErrorKind, isErrorOfKind} from '@marigoldpost/common';
import {
  type ArchiveFleet,
  createTokenRequest,
} from '../fixtures/archive_fleet.js';

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

Then(
  'at least {int} attempts hold a reservation',
  function (this: BudgetWorld, minCount: number) {
    assert.ok(
      this.admitted >= minCount,
      `${this.admitted} attempts were admitted`,
    );
  },
);
