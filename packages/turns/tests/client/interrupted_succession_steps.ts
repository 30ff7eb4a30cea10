/** Steps for archives whose place is taken while processes end or are cut off. */
import assert from 'node:assert/strict';
import {Then, When, type World} from '@cucumber/cucumber';
import type {ArchiveFleet} from '../fixtures/archive_fleet.js';

interface SuccessionWorld extends World {
  archives: ArchiveFleet;
}

When(
  'archives {string} and {string} do not reach each other',
  function (this: SuccessionWorld, one: string, other: string) {
    this.archives.brokenLinks.add(`${one} ${other}`);
    this.archives.brokenLinks.add(`${other} ${one}`);
  },
);

When(
  'the disk of archive {string} takes no data and no files',
  function (this: SuccessionWorld, name: string) {
    const folder = this.archives.getFolder(name);
    folder.fault = 'full';
    folder.createFile = () => Promise.reject(new Error('ENOSPC'));
  },
);

When(
  'archive {string} is started but not registered',
  async function (this: SuccessionWorld, name: string) {
    await this.archives.start(name, false);
  },
);

Then(
  'archive {string} has left the list',
  function (this: SuccessionWorld, name: string) {
    assert.ok(!this.archives.registeredNames.includes(name));
  },
);

Then(
  'the place of one archive has been taken, but not of {string}',
  function (this: SuccessionWorld, names: string) {
    for (const name of names.split(', ')) {
      const superseded = this.archives.getSupersededDisks(name);
      assert.equal(superseded.length, 1, name);
      for (const other of names.split(', ')) {
        assert.ok(!superseded.includes(this.archives.getDisk(other)), other);
      }
    }
  },
);
