/** Steps for reservations that count the votes of superseded disks. */
import assert from 'node:assert/strict';
import {create} from '@bufbuild/protobuf';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {type ReserveReply, ReserveTokensSchema} from '@marigoldpost/peers';
import type {ArchiveFleet} from '../fixtures/archive_fleet.js';

interface VotesWorld extends World {
  archives: ArchiveFleet;
  reply: ReserveReply;
}

Given(
  'archive {string} leaves out the disk {string}',
  async function (this: VotesWorld, name: string, disk: string) {
    await reserve(this.archives, name, {disks: [disk]});
  },
);

When(
  'archive {string} is asked for 50 tokens without the disks {string}',
  async function (this: VotesWorld, name: string, disks: string) {
    this.reply = await reserve(this.archives, name, {disks: split(disks)});
  },
);

When(
  'archive {string} is asked for 50 tokens by an earlier build',
  async function (this: VotesWorld, name: string) {
    this.reply = await reserve(this.archives, name, undefined);
  },
);

Then(
  'the reservation is refused since {string} is superseded',
  function (this: VotesWorld, disk: string) {
    assert.equal(this.reply.isGranted, false);
    assert.deepEqual(this.reply.supersededDisks, [disk]);
  },
);

Then('the archive records the reservation', function (this: VotesWorld) {
  assert.equal(this.reply.isGranted, true);
  assert.deepEqual(this.reply.supersededDisks, []);
});

Then(
  'archive {string} leaves out the disks {string}',
  function (this: VotesWorld, name: string, disks: string) {
    assert.deepEqual(this.archives.getSupersededDisks(name), split(disks));
  },
);

async function reserve(
  archives: ArchiveFleet,
  name: string,
  superseded: {disks: string[]} | undefined,
): Promise<ReserveReply> {
  const request = {
    program: 'program',
    attempt: 'attempt',
    tokens: 50,
    budgetTokens: 100,
    superseded,
  };
  const value = create(ReserveTokensSchema, request);
  const service = archives.getService(name, name);
  const reply = await service?.answer({case: 'reserveTokens', value});
  assert.equal(reply?.case, 'reserve');
  return reply.value;
}

function split(list: string): string[] {
  return list === '' ? [] : list.split(', ');
}
