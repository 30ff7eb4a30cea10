/** Steps with waits for archives that are aborted. */
import assert from 'node:assert/strict';
import {When, type World} from '@cucumber/cucumber';
import {
  type DataCentreId,
  isErrorOfKind,
  type ProgramId,
  toId,
} from '@marigoldpost/common';
import type {TurnId} from '@marigoldpost/sites';
import type {ArchiveFleet} from '../fixtures/archive_fleet.js';

interface AbortedWaitWorld extends World {
  archives: ArchiveFleet;
}

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
    const request = {
      program: toId<ProgramId>('program'),
      attempt: toId<TurnId>('ended'),
      tokens,
      budgetTokens,
      home: toId<DataCentreId>(dataCentre),
    };
    const store = archives.getStore(dataCentre);
    const reserved = store.reserve(request, controller.signal);
    reserved.catch(() => undefined);
    await archives.clock.advance(afterMs);
    controller.abort();
    await assert.rejects(reserved, (error) =>
      isErrorOfKind(error, 'archive_unavailable'),
    );
  },
);
