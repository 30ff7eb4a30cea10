/** Steps for calls that are in flight when the drain time ends. */
import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {Deferred, MarigoldpostError} from '@marigoldpost/common';
import {Agent, type Dispatcher, request} from 'undici';
import {
  createChatRequest,
  EntryFixture,
  type TestRequest,
} from '../fixtures/entry_fixture.js';
import {type EntryWorld, plannersHeaders} from '../fixtures/entry_world.js';
import {
  type CallScript,
  createAcceptedEvent,
  createResponseScript,
  knownProgram,
} from '../fixtures/fake_gateway.js';

interface StoppedWorld extends EntryWorld {
  readError: Error | undefined;
  hasStopped: boolean;
  text: string;
}

const drainMs = 5000;
/** Time that a server may take to close its connections after the drain time. */
const closeMs = 2000;
const stopTimeoutMs = 3000;
const bytesPerMb = 1_000_000;

function waitForever(): Promise<never> {
  return new Promise<never>(() => undefined);
}

async function waitForAbort(signal: AbortSignal): Promise<never> {
  const aborted = Deferred.create<void>();
  signal.addEventListener('abort', () => aborted.resolve());
  await aborted.promise;
  throw MarigoldpostError.create('cancelled', 'the call was cancelled');
}

/** Creates a script that yields some events and never ends by itself. */
function createEndlessScript(what: string): CallScript {
  return async function* (call, signal) {
    if (!what.includes('not accepted')) yield createAcceptedEvent(call);
    if (
      what.startsWith('stream with') ||
      what === 'stream that is not cancelled'
    ) {
      yield {kind: 'token', index: 0, text: 'Crane'};
    }
    if (what.endsWith('not cancelled')) await waitForever();
    await waitForAbort(signal);
  };
}

function createRequest(what: string): TestRequest {
  if (what.startsWith('stream')) return createChatRequest({stream: true});
  if (what === 'call of a plain service') {
    return {
      method: 'POST',
      path: '/v1/services/quay-ops/book?crane=4',
      headers: {...plannersHeaders, 'idempotency-key': 'berth-7'},
      body: 'crane 4',
    };
  }
  if (what === 'request for a program') {
    const path = `/v1/programs/${knownProgram}`;
    return {method: 'GET', path, headers: plannersHeaders};
  }
  return createChatRequest();
}

/** Sends a request and reads the response, or notes the error of the read. */
async function readAnswer(world: StoppedWorld, sent: TestRequest) {
  const {path, headers: sentHeaders, body} = sent;
  const open = await request(`${world.fixture.origin}${path}`, {
    method: sent.method as Dispatcher.HttpMethod,
    headers: sentHeaders,
    body,
  });
  const {statusCode: status, headers} = open;
  world.answer = {status, headers, text: ''};
  try {
    world.answer = {...world.answer, text: await open.body.text()};
  } catch (error) {
    world.readError = error as Error;
  }
}

async function waitUntilInFlight(world: StoppedWorld): Promise<void> {
  while (world.fixture.server.inFlight === 0) await sleep(1);
  // Lets the handler read the request and send what it can.
  await sleep(100);
}

Given(
  'a caller server whose gateway never answers',
  async function (this: StoppedWorld) {
    this.fixture = await EntryFixture.start({drainMs});
    this.fixture.gateway.getProgram = waitForever;
  },
);

Given(
  'a caller server whose gateway answers with {int} MB of text',
  async function (this: StoppedWorld, textMb: number) {
    this.fixture = await EntryFixture.start({drainMs});
    this.text = 'x'.repeat(textMb * bytesPerMb);
    this.fixture.gateway.script = createResponseScript([this.text]);
  },
);

When(
  'the drain time ends during a {string}',
  async function (this: StoppedWorld, what: string) {
    const {fixture} = this;
    fixture.gateway.script = createEndlessScript(what);
    const read = readAnswer(this, createRequest(what));
    read.catch(() => undefined);
    await waitUntilInFlight(this);
    const stopped = fixture.server.stop();
    await fixture.clock.advance(drainMs);
    await sleep(100);
    await fixture.clock.advance(closeMs);
    await read;
    await stopped;
  },
);

When(
  'the caller server is stopped during a stream on a connection that is kept alive',
  async function (this: StoppedWorld) {
    const {server, origin} = this.fixture;
    const {path, headers, body} = createChatRequest({stream: true});
    const dispatcher = new Agent();
    const url = `${origin}${path}`;
    const sent = {method: 'POST', headers, body, dispatcher} as const;
    const open = await request(url, sent);
    const stopped = server.stop();
    await open.body.text();
    const hasStopped = stopped.then(() => true);
    const timeout = sleep(stopTimeoutMs, false, {ref: false});
    this.hasStopped = await Promise.race([hasStopped, timeout]);
    await dispatcher.destroy();
  },
);

When(
  'the caller server is stopped before the caller reads the response',
  async function (this: StoppedWorld) {
    const {server, origin} = this.fixture;
    const {path, headers, body} = createChatRequest();
    const dispatcher = new Agent();
    const sent = {method: 'POST', headers, body, dispatcher} as const;
    const open = await request(`${origin}${path}`, sent);
    await sleep(200);
    const stopped = server.stop();
    await sleep(200);
    const text = await open.body.text().catch((error: Error) => error.message);
    this.answer = {status: open.statusCode, headers: open.headers, text};
    await stopped;
    await dispatcher.destroy();
  },
);

Then('the caller gets the whole text', function (this: StoppedWorld) {
  const {text} = this.answer;
  const isWhole = text.endsWith('}') && text.includes(this.text);
  assert.ok(isWhole, `${text.length} bytes: ${text.slice(0, 100)}`);
});

Then("the caller's stream is broken off", function (this: StoppedWorld) {
  assert.equal(this.answer.status, 200);
  assert.ok(this.readError !== undefined, 'the stream ended normally');
});

Then(
  'the caller server has stopped before its drain time',
  function (this: StoppedWorld) {
    assert.equal(this.hasStopped, true);
  },
);
