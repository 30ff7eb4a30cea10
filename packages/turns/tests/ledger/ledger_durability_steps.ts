/** Steps for ledger entries that an archive could not write. */
import assert from 'node:assert/strict';
import {create} from '@bufbuild/protobuf';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {type ProgramId, toId} from '@marigoldpost/common';
import {FetchLedgerSchema, ReserveTokensSchema} from '@marigoldpost/peers';
import type {TurnId} from '@marigoldpost/sites';
import type {ArchiveFleet} from '../fixtures/archive_fleet.js';

interface DurabilityWorld extends World {
  archives: ArchiveFleet;
}

const program = toId<ProgramId>('program');
const attempt = toId<TurnId>('attempt');
const tokens = 10;

Given(
  'the disk of archive {string} is full',
  function (this: DurabilityWorld, name: string) {
    this.archives.getFolder(name).fault = 'full';
  },
);

When(
  'the disk of archive {string} has room again',
  function (this: DurabilityWorld, name: string) {
    this.archives.getFolder(name).fault = 'none';
  },
);

Then(
  'archive {string} acknowledges no settlement, sent {int} times',
  async function (this: DurabilityWorld, name: string, times: number) {
    for (let sent = 0; sent < times; sent++) {
      await assert.rejects(settle(this, name));
    }
  },
);

Then(
  'archive {string} grants no reservation, requested {int} times',
  async function (this: DurabilityWorld, name: string, times: number) {
    for (let sent = 0; sent < times; sent++) {
      await assert.rejects(reserve(this, name));
    }
  },
);

Then(
  'archive {string} acknowledges the settlement',
  async function (this: DurabilityWorld, name: string) {
    await settle(this, name);
  },
);

Then(
  'archive {string} grants the reservation',
  async function (this: DurabilityWorld, name: string) {
    await reserve(this, name);
  },
);

Then(
  'archive {string} has it after a power loss',
  async function (this: DurabilityWorld, name: string) {
    const {archives} = this;
    archives.kill(name);
    archives.getFolder(name).losePower('missing');
    await archives.start(name);
    const value = create(FetchLedgerSchema, {program});
    const reply = await getService(this, name).answer({
      case: 'fetchLedger',
      value,
    });
    assert.ok(reply.case === 'ledger');
    const [ledger] = reply.value.programs;
    assert.deepEqual(
      ledger?.entries.map((entry) => [entry.attempt, Number(entry.tokens)]),
      [[attempt, tokens]],
    );
  },
);

function settle({archives}: DurabilityWorld, name: string): Promise<void> {
  const entry = {attempt, tokens, isSettled: true};
  return archives.mergeLedger(name, program, entry);
}

async function reserve(world: DurabilityWorld, name: string): Promise<void> {
  const value = create(ReserveTokensSchema, {
    program,
    attempt,
    tokens,
    budgetTokens: 100,
  });
  const service = getService(world, name);
  const reply = await service.answer({case: 'reserveTokens', value});
  assert.ok(reply.case === 'reserve' && reply.value.isGranted);
}

function getService({archives}: DurabilityWorld, name: string) {
  const service = archives.getService(name, name);
  assert.ok(service, `archive "${name}" does not run`);
  return service;
}
