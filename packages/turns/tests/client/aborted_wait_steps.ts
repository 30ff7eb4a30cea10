/** Steps with waits for archives that are aborted. */
import assert from 'node:assert/strict';
import {When, type World} from '@cucumber/cucumber';
import {isErrorOfKind} from '@marigoldpost/common';
import {type ArchiveFleet} from '../fixtures/archive_fleet.js';
import {createTokenRequest} from '../fixtures/turn_requests.js';

interface AbortedWaitWorld extends World {
  archives: ArchiveFleet;
}

/** Longest wait until the attempt is settled, and a step of the clock. */
const maxSettlementMs = 105;

When(
  'an attempt of {int} tokens in {string} on a budget of {int} ends its wait after {int} ms',
  async function (
    this: AbortedWaitWorld,
    tokens: number,
    dataCentre: string,
    budgetTokens: number,
    afterMs: number,
  ) {
    const {archives} = this;
    const controller = new AbortController();
    const {signal} = controller;
    const reserved = archives.getStore(dataCentre).reserve({
      ...createTokenRequest('ended', tokens, budgetTokens, dataCentre),
      signal,
    });
    reserved.catch(() => undefined);
    await archives.clock.advance(afterMs);
    controller.abort();
    const startMs = archives.clock.nowMs();
    await assert.rejects(archives.run(reserved), (error) =>
      isErrorOfKind(error, 'archive_unavailable'),
    );
    const elapsedMs = archives.clock.nowMs() - startMs;
    assert.ok(elapsedMs <= maxSettlementMs, `it took ${elapsedMs} ms`);
  },
);
