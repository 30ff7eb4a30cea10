/** Steps for turns that finish while archives restart. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {type ErrorKind, isErrorOfKind, toId} from '@marigoldpost/common';
import type {TurnId} from '@marigoldpost/sites';
import {type ArchiveFleet} from '../fixtures/archive_fleet.js';
import {createTurn, unlimitedWaitMs} from '../fixtures/turn_requests.js';

interface RecorderWorld extends World {
  archives: ArchiveFleet;
  holders: string[];
}

When(
  'archive {string} registers after {int} ms',
  function (this: RecorderWorld, name: string, afterMs: number) {
    const {archives} = this;
    archives.clock.setTimer(afterMs, () => void archives.add(name));
  },
);

Given(
  'archives {string} do not reply to entry VM {string} for another {int} ms',
  async function (
    this: RecorderWorld,
    names: string,
    entryVm: string,
    forMs: number,
  ) {
    const {archives} = this;
    const links = names.split(', ').map((name) => `${entryVm} ${name}`);
    for (const link of links) archives.brokenLinks.add(link);
    // The first request without a reply marks the archives unreachable.
    const {signal} = new AbortController();
    const probe = archives
      .getStore(entryVm)
      .readChain(toId<TurnId>('probe'), {maxWaitMs: 0, signal});
    await archives.run(probe.catch(() => undefined));
    archives.clock.setTimer(forMs, () => {
      for (const link of links) archives.brokenLinks.delete(link);
    });
  },
);

When(
  /^archives "(.*)" (hang when they store turns|store turns again)$/,
  function (this: RecorderWorld, names: string, state: string) {
    const {hangingStores} = this.archives;
    for (const name of names.split(', ')) {
      if (state === 'store turns again') hangingStores.delete(name);
      else hangingStores.add(name);
    }
  },
);

Then(
  /^turn "(\w+)" that finishes in "(\w)"(?: with a call that ends after (\d+) ms)? fails with (\w+) within (\d+) ms$/,
  async function (
    this: RecorderWorld,
    id: string,
    dataCentre: string,
    endsAfterMs: string | null,
    kind: ErrorKind,
    withinMs: string,
  ) {
    const {archives} = this;
    const {clock} = archives;
    const startMs = clock.nowMs();
    const controller = new AbortController();
    if (endsAfterMs !== null) {
      clock.setTimer(Number(endsAfterMs), () => controller.abort());
    }
    const stored = archives
      .getStore(dataCentre)
      .record(createTurn(id, undefined), [], {
        maxWaitMs: unlimitedWaitMs,
        signal: controller.signal,
      });
    await assert.rejects(archives.run(stored), (error) =>
      isErrorOfKind(error, kind),
    );
    const elapsedMs = clock.nowMs() - startMs;
    assert.ok(elapsedMs <= Number(withinMs), `it took ${elapsedMs} ms`);
  },
);

Then(
  'turn {string} that finishes in {string} with a call that ends after {int} ms is stored',
  async function (
    this: RecorderWorld,
    id: string,
    dataCentre: string,
    endsAfterMs: number,
  ) {
    const {archives} = this;
    const controller = new AbortController();
    archives.clock.setTimer(endsAfterMs, () => controller.abort());
    const wait = {maxWaitMs: endsAfterMs, signal: controller.signal};
    const turn = createTurn(id, undefined);
    await archives.run(archives.getStore(dataCentre).record(turn, [], wait));
    this.holders = archives.findHolders(id);
  },
);

Then(
  'turn {string} that finishes in {string} is stored within {int} ms of its start, by an entry VM that stops after {int} ms',
  async function (
    this: RecorderWorld,
    id: string,
    dataCentre: string,
    withinMs: number,
    stopsAfterMs: number,
  ) {
    const {archives} = this;
    const {clock} = archives;
    const startMs = clock.nowMs();
    const stop = new AbortController();
    clock.setTimer(stopsAfterMs, () => stop.abort());
    const {signal} = new AbortController();
    const wait = {maxWaitMs: unlimitedWaitMs, signal, copySignal: stop.signal};
    const turn = createTurn(id, undefined);
    await archives.run(archives.getStore(dataCentre).record(turn, [], wait));
    const elapsedMs = clock.nowMs() - startMs;
    assert.ok(elapsedMs <= withinMs, `it took ${elapsedMs} ms`);
    this.holders = archives.findHolders(id);
  },
);
