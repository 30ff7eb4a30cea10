/** Steps for a daemon that loses its links to targets. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {
  type CallId,
  type ServiceId,
  type TeamId,
  toId,
} from '@marigoldpost/common';
import type {Call} from '@marigoldpost/programs';
import {CutLinks} from '../fixtures/cut_links.js';
import {HistoryFleet} from '../fixtures/history_fleet.js';
import {createLongCall} from '../fixtures/long_call.js';

interface IsolatedDaemonWorld extends World {
  fleet: HistoryFleet;
  /** Links of each daemon, in the order of the daemons. */
  links: CutLinks[];
  /** How each call ended: `served`, or the message of its error. */
  ends: string[];
}

const seed = 20261204;
const answerTokens = 10;
/** Time after which the daemon has noticed that its links are cut. */
const noticeMs = 5000;
const timeoutMs = 10_000;
const settleMs = 15_000;
const budget = {maxTokens: 2000, maxCalls: 10, maxWallMs: 3_600_000};

Given('a fleet of daemons', async function (this: IsolatedDaemonWorld) {
  this.links = [];
  this.ends = [];
  this.fleet = await HistoryFleet.start(seed, {
    answerTokens,
    wrapTargets: (targets) => {
      const links = new CutLinks(targets);
      this.links.push(links);
      return links;
    },
  });
});

When(
  'a daemon loses its links to all targets',
  async function (this: IsolatedDaemonWorld) {
    const {fleet, links} = this;
    const [holder] = fleet.daemons.filter(
      ({core}) => core.manager.getPartitions().length > 0,
    );
    assert.ok(holder);
    links[fleet.daemons.indexOf(holder)]!.isCut = true;
    await fleet.clock.advance(noticeMs);
  },
);

When(
  'each daemon receives {int} bookings and {int} chat calls',
  async function (
    this: IsolatedDaemonWorld,
    bookings: number,
    chatCalls: number,
  ) {
    const {fleet, ends} = this;
    const reading = fleet.daemons.flatMap(({core, name}) => {
      const calls = [
        ...createCalls(`${name}-booking`, bookings, createBooking),
        ...createCalls(`${name}-chat`, chatCalls, createChat),
      ];
      return calls.map(async (call) => {
        ends.push(await readToEnd(core.gateway, call));
      });
    });
    await fleet.clock.advance(settleMs);
    await Promise.all(reading);
    await fleet.stop();
  },
);

Then('every call is served', function (this: IsolatedDaemonWorld) {
  const served = this.ends.filter((end) => end === 'served').length;
  const others = new Set(this.ends.filter((end) => end !== 'served'));
  const counts = `${served} of ${this.ends.length} served`;
  assert.equal(others.size, 0, [counts, ...others].join('\n'));
});

function createCalls(
  prefix: string,
  count: number,
  create: (callId: CallId) => Call,
): Call[] {
  return Array.from({length: count}, (_none, index) =>
    create(toId<CallId>(`${prefix}-${index}`)),
  );
}

function createChat(callId: CallId): Call {
  return {...createLongCall(), callId, maxTokens: answerTokens, timeoutMs};
}

function createBooking(callId: CallId): Call {
  return {
    kind: 'plain',
    callId,
    team: toId<TeamId>('planners'),
    service: toId<ServiceId>('quay-ops'),
    callClass: 'normal',
    budget,
    timeoutMs,
    request: {
      method: 'POST',
      path: '/crane-bookings',
      headers: {},
      body: `{"call":"${callId}"}`,
    },
  };
}

async function readToEnd(
  gateway: HistoryFleet['daemons'][number]['core']['gateway'],
  call: Call,
): Promise<string> {
  try {
    const {signal} = new AbortController();
    for await (const event of gateway.runCall(call, signal)) {
      if (event.kind === 'finished') return 'served';
    }
    return 'the stream has no end event';
  } catch (error) {
    return error instanceof Error ? error.message : String(error);
  }
}
