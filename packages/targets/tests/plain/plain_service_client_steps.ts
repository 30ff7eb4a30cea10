/** Steps for the contract of `PlainServiceClient`. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {isErrorOfKind} from '@marigoldpost/common';
import type {PlainFault} from '@marigoldpost/standins';
import type {PlainRequest, PlainResponse} from '@marigoldpost/targets';
import {
  createPlainSetup,
  runUntilSettled,
  type PlainSetup,
  timeoutMs,
  type Transport,
  waitUntil,
} from '../fixtures/target_fixtures.js';

interface PlainWorld extends World {
  setup: PlainSetup;
  observedResult: string;
}

const booking: PlainRequest = {
  method: 'POST',
  path: '/bookings?berth=3',
  headers: {'Idempotency-Key': 'key-1', connection: 'keep-alive'},
  body: '{"crane": 7}',
};

Given(
  'an instance of a plain service over {word}',
  async function (this: PlainWorld, transport: Transport) {
    this.setup = await createPlainSetup(this, transport);
  },
);

Given(
  'an instance of a plain service over {word} that {word} by key',
  async function (this: PlainWorld, transport: Transport, dedup: string) {
    const deduplicatesByKey = dedup === 'deduplicates';
    this.setup = await createPlainSetup(this, transport, {deduplicatesByKey});
  },
);

When(
  'the instance has fault {word} on a booking',
  async function (this: PlainWorld, fault: PlainFault) {
    const {service, client, clientClock} = this.setup;
    service.addFaults(fault);
    const observedResult = describe(
      client.send(booking, new AbortController().signal),
    );
    await waitUntil(() => service.arrivalCount === 1);
    if (fault.startsWith('hang')) await clientClock.advance(timeoutMs);
    this.observedResult = await runUntilSettled(clientClock, observedResult);
  },
);

When(
  'the instance is dead when a booking is sent',
  async function (this: PlainWorld) {
    const {service, client} = this.setup;
    service.kill();
    const {signal} = new AbortController();
    this.observedResult = await describe(client.send(booking, signal));
  },
);

When(
  'the caller aborts a booking that hangs',
  async function (this: PlainWorld) {
    const {service, client} = this.setup;
    service.addFaults('hang_before_run');
    const controller = new AbortController();
    const observedResult = describe(client.send(booking, controller.signal));
    await waitUntil(() => service.arrivalCount === 1);
    controller.abort();
    this.observedResult = await observedResult;
  },
);

When(
  'the same booking is sent twice to the instance',
  async function (this: PlainWorld) {
    const {client} = this.setup;
    const {signal} = new AbortController();
    await client.send(booking, signal);
    await client.send(booking, signal);
  },
);

Then(
  /^the booking's client got (.*) and the instance ran it (\d) times$/,
  function (this: PlainWorld, expectedResult: string, runs: string) {
    assert.equal(this.observedResult, expectedResult);
    assertRuns(this, Number(runs));
  },
);

Then(
  'the instance ran it {int} times',
  function (this: PlainWorld, runs: number) {
    assertRuns(this, runs);
  },
);

function assertRuns(world: PlainWorld, runs: number): void {
  const executions = world.setup.service.getExecutions();
  assert.equal(executions.length, runs);
  for (const {key, path, body} of executions) {
    assert.equal(key, 'key-1');
    assert.equal(path, booking.path);
    assert.equal(body, booking.body);
  }
}

async function describe(answer: Promise<PlainResponse>): Promise<string> {
  try {
    return String((await answer).status);
  } catch (error) {
    assert.ok(isErrorOfKind(error), String(error));
    return `${error.kind} ${error.outcome}`;
  }
}
