/** Steps for programs that go on for longer than their first log segments. */
import assert from 'node:assert/strict';
import {Then, When, type World} from '@cucumber/cucumber';
import {type ProgramId, toId} from '@marigoldpost/common';
import type {TurnId} from '@marigoldpost/sites';
import type {ArchiveFleet} from '../fixtures/archive_fleet.js';

interface RetentionWorld extends World {
  archives: ArchiveFleet;
}

const program = toId<ProgramId>('program');
const msPerSecond = 1000;

When(
  'an attempt of the program ends without tokens every {int} s for {int} s',
  async function (this: RetentionWorld, everyS: number, elapsedS: number) {
    const {archives} = this;
    const startMs = archives.clock.nowMs();
    for (let passedS = 0; passedS < elapsedS; passedS += everyS) {
      const attempt = toId<TurnId>(`ended ${startMs} ${passedS}`);
      void archives.getStore('a').settle(program, attempt, 0);
      await archives.clock.advance(everyS * msPerSecond);
    }
  },
);

When(
  'the disks of archives {string} are full for {int} s',
  async function (this: RetentionWorld, names: string, elapsedS: number) {
    const folders = names
      .split(', ')
      .map((name) => this.archives.getFolder(name));
    for (const folder of folders) folder.fault = 'full';
    await this.archives.clock.advance(elapsedS * msPerSecond);
    for (const folder of folders) folder.fault = 'none';
  },
);

Then(
  'archive {string} has at most {int} log files',
  async function (this: RetentionWorld, name: string, most: number) {
    const files = await this.archives.getFolder(name).listFiles();
    const logs = files.filter((file) => file.endsWith('.log'));
    assert.ok(logs.length <= most, logs.join(', '));
  },
);
