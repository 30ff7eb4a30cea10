/** Steps for a final fault of all archives while one of them is disturbed. */
import {When, type World} from '@cucumber/cucumber';
import type {TurnId} from '@marigoldpost/sites';
import {isErrorOfKind, toId} from '@marigoldpost/common';
import type {ArchiveFleet} from '../fixtures/archive_fleet.js';
import {createTurn} from '../fixtures/turn_requests.js';

interface FaultWorld extends World {
  archives: ArchiveFleet;
  /** Turns that must go on after the fault. */
  finished: string[] | undefined;
}

/** Time until the first VM is back after a power loss. */
const powerOffMs = 1000;
const recordWaitMs = 1900;
/** Time that a call has, as the pages allow. */
const callMs = 4000;

When(
  'a chain {string} of {int} turns is accepted in {string}',
  async function (
    this: FaultWorld,
    name: string,
    count: number,
    places: string,
  ) {
    const dataCentres = split(places);
    let previous: string | undefined;
    for (let index = 1; index <= count; index++) {
      const place = dataCentres[(index - 1) % dataCentres.length] ?? '';
      const id = `${name}-${index}`;
      await continueTurn(this.archives, id, previous, place, 0);
      previous = id;
    }
    if (previous !== undefined) (this.finished ??= []).push(previous);
  },
);

When(
  'turn {string} continues {string} in {string}, is accepted after {int} ms and must go on',
  async function (
    this: FaultWorld,
    id: string,
    previous: string,
    place: string,
    runMs: number,
  ) {
    await continueTurn(this.archives, id, previous, place, runMs);
    (this.finished ??= []).push(id);
  },
);

When(
  'turn {string} continues {string} in {string}, is refused or accepted after {int} ms, and then must go on',
  async function (
    this: FaultWorld,
    id: string,
    previous: string,
    place: string,
    runMs: number,
  ) {
    try {
      await continueTurn(this.archives, id, previous, place, runMs);
      (this.finished ??= []).push(id);
    } catch (error) {
      if (!isErrorOfKind(error, 'archive_unavailable', 'unknown_turn')) {
        throw error;
      }
    }
  },
);

When(
  'archive {string} reaches no other VM',
  function (this: FaultWorld, name: string) {
    this.archives.cutOffVms.add(name);
  },
);

When(
  'archive {string} reaches the other VMs again',
  function (this: FaultWorld, name: string) {
    this.archives.cutOffVms.delete(name);
  },
);

When(
  'the disk of archive {string} takes data and files again',
  function (this: FaultWorld, name: string) {
    const folder = this.archives.getFolder(name);
    folder.fault = 'none';
    Reflect.deleteProperty(folder, 'createFile');
  },
);

When(
  'all VMs lose power, {string} lose their disks, and archives {string} return {int} ms apart',
  async function (
    this: FaultWorld,
    lost: string,
    returning: string,
    pauseMs: number,
  ) {
    const {archives} = this;
    archives.killEntries();
    for (const name of archives.names) {
      archives.kill(name);
      const folder = archives.getFolder(name);
      if (split(lost).includes(name)) folder.wipe();
      else folder.losePower('missing');
    }
    await archives.clock.advance(powerOffMs);
    for (const [index, name] of split(returning).entries()) {
      if (index > 0) await archives.clock.advance(pauseMs);
      await archives.start(name);
    }
  },
);

/** Reads the chain as a call does, then stores a turn that ends later. */
async function continueTurn(
  archives: ArchiveFleet,
  id: string,
  previous: string | undefined,
  place: string,
  runMs: number,
): Promise<void> {
  const store = archives.getStore(place);
  const {signal} = new AbortController();
  const wait = {maxWaitMs: recordWaitMs, signal};
  const chain =
    previous === undefined
      ? []
      : await archives.run(
          store.readChain(toId<TurnId>(previous), {...wait, neededMs: callMs}),
        );
  await archives.clock.advance(runMs);
  const disks = chain.at(-1)?.disks ?? [];
  await archives.run(store.record(createTurn(id, previous), disks, wait));
}

function split(names: string): string[] {
  return names.split(', ').filter((name) => name !== '');
}
