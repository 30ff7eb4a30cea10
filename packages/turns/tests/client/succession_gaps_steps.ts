/** Steps for what happens while archives take the places of others. */
import assert from 'node:assert/strict';
import {create} from '@bufbuild/protobuf';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {ReserveTokensSchema} from '@marigoldpost/peers';
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

const stepMs = 10;
const longestMs = 12_000;

Then(
  'archive {string} is incomplete without {string} as soon as archive {string} leaves that out, and complete {int} ms later',
  async function (
    this: GapWorld,
    successor: string,
    absent: string,
    voter: string,
    laterMs: number,
  ) {
    const {archives} = this;
    const disk = archives.getDisk(absent);
    let elapsedMs = 0;
    while (!archives.getSupersededDisks(voter).includes(disk)) {
      assert.ok(elapsedMs < longestMs, `"${voter}" does not leave it out`);
      await archives.clock.advance(stepMs);
      elapsedMs += stepMs;
    }
    assert.equal(await isComplete(archives, successor, disk), false);
    await archives.clock.advance(laterMs);
    assert.equal(await isComplete(archives, successor, disk), true);
  },
);

/** Asks an archive for a reservation that leaves out a disk. */
async function isComplete(
  archives: ArchiveFleet,
  name: string,
  disk: string,
): Promise<boolean> {
  const request = {
    program: 'asked',
    attempt: 'asked',
    tokens: 1,
    budgetTokens: 100,
    superseded: {disks: [disk]},
  };
  const value = create(ReserveTokensSchema, request);
  const service = archives.getService(name, 'a');
  const reply = await service?.answer({case: 'reserveTokens', value});
  assert.equal(reply?.case, 'reserve');
  return reply.value.isComplete;
}
