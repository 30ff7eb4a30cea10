/** Steps for disks that are lost while other archives restart or lose power. */
import {Given, When, type World} from '@cucumber/cucumber';
import {type ProgramId, toId} from '@marigoldpost/common';
import type {TurnId} from '@marigoldpost/sites';
import {ArchiveDirectory} from '@marigoldpost/turns';
import type {ArchiveFleet} from '../fixtures/archive_fleet.js';

interface DiskWorld extends World {
  archives: ArchiveFleet;
}

Given(
  'archive {string} stalls at each sync and restarts after {int} ms',
  function (this: DiskWorld, name: string, afterMs: number) {
    const {archives} = this;
    archives.getFolder(name).fault = 'unsynced';
    archives.clock.setTimer(afterMs, () => {
      archives.kill(name);
      archives.getFolder(name).fault = 'none';
      void archives.start(name);
    });
  },
);

When(
  'archive {string} loses its disk and nobody has read of its new one, nor of archive {string}',
  async function (this: DiskWorld, wiped: string, unknown: string) {
    const {archives} = this;
    archives.kill(wiped);
    archives.getFolder(wiped).wipe();
    archives.unregister(unknown);
    await archives.start(wiped, false);
  },
);

When(
  'archive {string} loses its disk and restarts without the list of archives',
  async function (this: DiskWorld, name: string) {
    const {archives} = this;
    archives.kill(name);
    archives.getFolder(name).wipe();
    archives.staleLists.set(name, ArchiveDirectory.create());
    await archives.start(name);
    await archives.clock.advance(1000);
  },
);

When(
  'archive {string} loses its disk while all others of {string} lose power',
  async function (this: DiskWorld, wiped: string, names: string) {
    const {archives} = this;
    for (const name of names.split(', ')) {
      archives.kill(name);
      const folder = archives.getFolder(name);
      if (name === wiped) folder.wipe();
      else folder.losePower('missing');
    }
    for (const name of names.split(', ')) await archives.start(name);
    await archives.clock.advance(1000);
  },
);

When(
  'archive {string} restarts on an empty disk with {string} down for {int} ms',
  async function (
    this: DiskWorld,
    wiped: string,
    down: string,
    downMs: number,
  ) {
    const {archives} = this;
    archives.kill(wiped);
    archives.kill(down);
    archives.getFolder(wiped).wipe();
    archives.clock.setTimer(downMs, () => void archives.start(down));
    await archives.start(wiped);
    await archives.clock.advance(1000);
  },
);

When(
  'archives {string} restart on empty disks with {string} down for {int} ms',
  async function (
    this: DiskWorld,
    names: string,
    down: string,
    downMs: number,
  ) {
    const {archives} = this;
    const emptied = names.split(', ');
    for (const name of [...emptied, down]) archives.kill(name);
    for (const name of emptied) archives.getFolder(name).wipe();
    archives.clock.setTimer(downMs, () => void archives.start(down));
    for (const name of emptied) await archives.start(name);
    await archives.clock.advance(1000);
  },
);

When(
  'archive {string} alone knows of another program',
  async function (this: DiskWorld, name: string) {
    const program = toId<ProgramId>('another program');
    const attempt = toId<TurnId>('its attempt');
    const entry = {attempt, tokens: 10, isSettled: true};
    await this.archives.mergeLedger(name, program, entry);
  },
);
