/** Steps for what happens while archives take the places of others. */
import {Given, When, type World} from '@cucumber/cucumber';
import {ArchiveDirectory} from '@marigoldpost/turns';
import type {ArchiveFleet} from '../fixtures/archive_fleet.js';

interface GapWorld extends World {
  archives: ArchiveFleet;
}

Given('messages take {int} ms', function (this: GapWorld, delayMs: number) {
  this.archives.getDelayMs = () => delayMs;
});

When(
  'archives {string} are cut off from all other archives',
  function (this: GapWorld, names: string) {
    const {archives} = this;
    for (const name of names.split(', ')) {
      for (const other of archives.names) {
        if (other === name) continue;
        archives.brokenLinks.add(`${name} ${other}`);
        archives.brokenLinks.add(`${other} ${name}`);
      }
    }
  },
);

When(
  'archive {string} is started without the list of archives',
  async function (this: GapWorld, name: string) {
    this.archives.staleLists.set(name, ArchiveDirectory.create());
    await this.archives.start(name);
  },
);
