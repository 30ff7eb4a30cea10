/** Steps for turns that go on after archives were lost. */
import assert from 'node:assert/strict';
import {Then, When, type World} from '@cucumber/cucumber';
import {type DataCentreId, type ProgramId, toId} from '@marigoldpost/common';
import type {TurnId} from '@marigoldpost/sites';
import type {ArchiveFleet} from '../fixtures/archive_fleet.js';
import {createTokenRequest, createTurn} from '../fixtures/turn_requests.js';

interface LossWorld extends World {
  archives: ArchiveFleet;
  finished: string[] | undefined;
}

const stepTimeoutMs = 60_000;
const pollMs = 100;
const roundPauseMs = 500;
const powerOffMs = 1000;
const recordWaitMs = 1900;
const callWaitMs = 1250;
const ampleTokens = 100_000;

When(
  /^(\d+) turns "(\w+)" are stored by "(.*)"$/,
  async function (this: LossWorld, count: string, id: string, places: string) {
    const {archives} = this;
    const finished = (this.finished ??= []);
    for (const dataCentre of split(places)) {
      for (let index = 0; index < Number(count); index++) {
        const name = `${id}-${dataCentre}-${index}`;
        const program = toId<ProgramId>(`program ${name}`);
        const turn = {...createTurn(name, undefined), program};
        const {signal} = new AbortController();
        const wait = {maxWaitMs: recordWaitMs, signal};
        await archives.run(
          archives.getStore(dataCentre).record(turn, [], wait),
        );
        finished.push(name);
      }
    }
  },
);

When(
  'all VMs lose power, {string} lose their disks, and all but {string} restart',
  async function (this: LossWorld, lost: string, away: string) {
    const {archives} = this;
    archives.killEntries();
    for (const name of archives.names) {
      archives.kill(name);
      const folder = archives.getFolder(name);
      if (split(lost).includes(name)) folder.wipe();
      else folder.losePower('missing');
    }
    await archives.clock.advance(powerOffMs);
    for (const name of archives.names) {
      if (!split(away).includes(name)) await archives.start(name);
    }
  },
);

Then(
  'each stored turn goes on in {string} for programs of {string}, from {int} to {int} ms after now',
  {timeout: stepTimeoutMs},
  async function (
    this: LossWorld,
    places: string,
    homes: string,
    fromMs: number,
    toMs: number,
  ) {
    const {archives, finished = []} = this;
    const {clock} = archives;
    const startMs = clock.nowMs();
    const failures: string[] = [];
    let tries = 0;
    // Entry VMs of all data centres run from the start.
    for (const place of split(places)) archives.getStore(place);
    while (clock.nowMs() - startMs < fromMs) await clock.advance(pollMs);
    while (clock.nowMs() - startMs < toMs) {
      for (const place of split(places)) {
        for (const home of split(homes)) {
          for (const turn of finished) {
            tries += 1;
            const attempt = `next-${tries}`;
            const work = continueTurn({archives, place, home, turn, attempt});
            await archives.run(work).catch((error: Error) => {
              failures.push(`${turn} of ${home} in ${place}: ${error.message}`);
            });
          }
        }
      }
      await clock.advance(roundPauseMs);
    }
    assert.ok(tries > 0);
    assert.deepEqual(
      failures.slice(0, 3),
      [],
      `${failures.length} of ${tries}`,
    );
  },
);

/** Does what an entry VM does for a turn that continues another one. */
async function continueTurn({
  archives,
  place,
  home,
  turn,
  attempt,
}: {
  archives: ArchiveFleet;
  place: string;
  home: string;
  turn: string;
  attempt: string;
}): Promise<void> {
  const store = archives.getStore(place);
  const {signal} = new AbortController();
  const wait = {maxWaitMs: callWaitMs, signal};
  await store.requireDurability(wait);
  await store.readChain(toId<TurnId>(turn), wait);
  const program = toId<ProgramId>(`program of ${home}`);
  const request = createTokenRequest(attempt, 1, ampleTokens, home);
  const dataCentre = toId<DataCentreId>(home);
  await store.reserve({...request, ...wait, program, home: dataCentre});
  void store.settle(program, toId<TurnId>(attempt), 0);
  await store.record({...createTurn(attempt, turn), program}, [], wait);
}

function split(names: string): string[] {
  return names.split(', ').filter((name) => name !== '');
}
