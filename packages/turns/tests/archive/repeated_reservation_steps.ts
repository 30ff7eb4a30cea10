/** Steps for reservations that are requested twice. */
import assert from 'node:assert/strict';
import {create} from '@bufbuild/protobuf';
import {Then, When, type World} from '@cucumber/cucumber';
import {ReserveTokensSchema} from '@marigoldpost/peers';
import type {ArchiveFleet} from '../fixtures/archive_fleet.js';

interface ReservationWorld extends World {
  archives: ArchiveFleet;
  grants: number;
}

When(
  'the reservation of an attempt is requested from archive {string} and again after {int} ms',
  async function (this: ReservationWorld, name: string, afterMs: number) {
    this.grants = 0;
    request(this, name);
    await this.archives.clock.advance(afterMs);
    request(this, name);
  },
);

When(
  'the stall of archive {string} ends',
  async function (this: ReservationWorld, name: string) {
    this.archives.getFolder(name).endStall();
    await this.archives.clock.advance(10);
  },
);

Then(
  'archive {string} has granted it {int} times',
  function (this: ReservationWorld, _name: string, count: number) {
    assert.equal(this.grants, count);
  },
);

function request(world: ReservationWorld, name: string): void {
  const value = create(ReserveTokensSchema, {
    program: 'program',
    attempt: 'attempt',
    tokens: 40,
    budgetTokens: 200,
  });
  const service = world.archives.getService(name, name);
  void service?.answer({case: 'reserveTokens', value}).then(() => {
    world.grants += 1;
  });
}
