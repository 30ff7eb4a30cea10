/** Steps that send callers' requests. */
import assert from 'node:assert/strict';
import {After, Given, When} from '@cucumber/cucumber';
import {
  Deferred,
  type ErrorKind,
  getDigest,
  MarigoldpostError,
} from '@marigoldpost/common';
import type {CallEvent} from '@marigoldpost/programs';
import {request} from 'undici';
import {
  createChatRequest,
  EntryFixture,
  maxBodyBytes,
  type TestRequest,
} from '../fixtures/entry_fixture.js';
import {
  answerTokens,
  type EntryWorld,
  plannersHeaders,
} from '../fixtures/entry_world.js';
import {createAccepted, createChatEnd} from '../fixtures/fake_gateway.js';

const megabyte = 1024 * 1024;

function token(index: number): CallEvent {
  const text = answerTokens[index % answerTokens.length] as string;
  return {kind: 'token', index, text};
}

Given("a callers' server", async function (this: EntryWorld) {
  this.fixture = await EntryFixture.start();
});

Given(
  "a callers' server whose gateway fails with {string}",
  async function (this: EntryWorld, kind: ErrorKind) {
    this.fixture = await EntryFixture.start();
    this.fixture.gateway.script = async function* () {
      throw MarigoldpostError.create(kind, 'service "plan-models" fails');
    };
  },
);

Given(
  "a callers' server whose gateway streams with {string}",
  async function (this: EntryWorld, fault: string) {
    this.fixture = await EntryFixture.start();
    this.fixture.gateway.script = async function* (call) {
      yield createAccepted(call);
      yield token(0);
      if (fault === 'target_failed') {
        throw MarigoldpostError.create('target_failed', 'target "a" died');
      }
      if (fault === 'a token left out') {
        yield token(2);
        yield token(3);
        yield createChatEnd(answerTokens);
      }
      if (fault === 'a plain answer') {
        const response = {status: 200, headers: {}, body: ''};
        const answer = {kind: 'plain', response} as const;
        yield {kind: 'finished', answer, isDurable: true};
      }
    };
  },
);

Given(
  "a callers' server whose gateway streams without end",
  async function (this: EntryWorld) {
    this.fixture = await EntryFixture.start();
    this.fixture.gateway.script = async function* (call, signal) {
      yield createAccepted(call);
      yield token(0);
      const gone = Deferred.create<void>();
      signal.addEventListener('abort', () => gone.resolve());
      await gone.promise;
      throw MarigoldpostError.create('cancelled', 'the caller went away');
    };
  },
);

Given(
  "a callers' server whose gateway streams {int} MB",
  async function (this: EntryWorld, megabytes: number) {
    this.fixture = await EntryFixture.start();
    this.pulled = 0;
    const text = 'x'.repeat(megabyte);
    // Arrow functions cannot be generators, and the count is the world's.
    const addPulled = () => (this.pulled += 1);
    this.fixture.gateway.script = async function* (call) {
      yield createAccepted(call);
      for (let index = 0; index < megabytes; index++) {
        addPulled();
        yield {kind: 'token', index, text};
      }
      yield createChatEnd(Array.from({length: megabytes}, () => text));
    };
  },
);

Given(
  "a callers' server whose gateway waits before its last event",
  async function (this: EntryWorld) {
    this.fixture = await EntryFixture.start();
    const {server} = this.fixture;
    const stopped = Deferred.create<void>();
    const stop = server.stop.bind(server);
    server.stop = () => {
      const result = stop();
      stopped.resolve();
      return result;
    };
    this.fixture.gateway.script = async function* (call) {
      yield createAccepted(call);
      for (let index = 0; index < answerTokens.length; index++) {
        yield token(index);
      }
      await stopped.promise;
      yield createChatEnd(answerTokens);
    };
  },
);

When('a caller asks for a chat completion', async function (this: EntryWorld) {
  this.answer = await this.fixture.send(createChatRequest());
});

When(
  'a caller asks for a chat completion of {string}',
  async function (this: EntryWorld, model: string) {
    this.answer = await this.fixture.send(createChatRequest({model}));
  },
);

When(
  'a caller asks for a streamed chat completion',
  async function (this: EntryWorld) {
    this.answer = await this.fixture.send(createChatRequest({stream: true}));
  },
);

When(
  'a caller resumes the stream of key {string} after event {int}',
  async function (this: EntryWorld, key: string, event: number) {
    const headers = {'idempotency-key': key, 'last-event-id': String(event)};
    const sent = createChatRequest({stream: true}, headers);
    this.answer = await this.fixture.send(sent);
  },
);

function createFaultyRequest(fault: string): TestRequest {
  const chat = createChatRequest();
  const {path} = chat;
  const withKey = (authorization: string) =>
    createChatRequest({}, {authorization});
  const service = (name: string): TestRequest => ({
    method: 'POST',
    path: `/v1/services/${name}/book`,
    headers: plannersHeaders,
    body: '{}',
  });
  const hash = getDigest('planners-example-key');
  const requests: Record<string, TestRequest> = {
    'no key': {...chat, headers: {}},
    'another scheme': withKey('Basic planners-example-key'),
    'an unknown key': withKey('Bearer unknown-example-key'),
    "a key's hash as the key": withKey(`Bearer ${hash}`),
    'a team not approved': createChatRequest({}, {}, 'night-planners'),
    'an engine as plain service': service('plan-models'),
    'an unknown model': createChatRequest({model: 'berth-planner-7b'}),
    "another service's model": createChatRequest({
      model: 'quay-ops/berth-planner-70b',
    }),
    'an unknown service': service('key-ops'),
    'no JSON': {...chat, body: '{"model":'},
    'no messages': createChatRequest({messages: []}),
    'several choices': createChatRequest({n: 2}),
    'a body too large': {...chat, body: 'x'.repeat(maxBodyBytes + 1)},
    'headers too large': createChatRequest({}, {'x-note': 'x'.repeat(20_000)}),
    'an empty Idempotency-Key': createChatRequest({}, {'idempotency-key': ''}),
    'Last-Event-ID without key': createChatRequest(
      {stream: true},
      {'last-event-id': '3'},
    ),
    'a malformed program': createChatRequest({}, {'marigoldpost-program': '7'}),
    'a malformed timeout': createChatRequest(
      {},
      {'marigoldpost-timeout-ms': '-1'},
    ),
    'an unknown path': {...chat, path: '/v1/chat'},
    'a wrong method': {method: 'GET', path, headers: plannersHeaders},
    'a booking without key': service('quay-ops'),
    "a budget above the team's": {
      method: 'POST',
      path: '/v1/programs',
      headers: plannersHeaders,
      body: JSON.stringify({budget: {max_calls: 401}}),
    },
  };
  const found = requests[fault];
  assert.ok(found, fault);
  return found;
}

When(
  'a caller sends a request with {string}',
  async function (this: EntryWorld, fault: string) {
    if (fault !== 'a body not UTF-8') {
      this.answer = await this.fixture.send(createFaultyRequest(fault));
      return;
    }
    const {path, headers} = createChatRequest();
    const answer = await request(`${this.fixture.origin}${path}`, {
      method: 'POST',
      headers,
      body: Buffer.from([0x22, 0xff, 0xfe, 0x22]),
    });
    const text = await answer.body.text();
    this.answer = {status: answer.statusCode, headers: answer.headers, text};
  },
);

When(
  'team {string} books a crane with key {string}',
  async function (this: EntryWorld, team: string, key: string) {
    this.answer = await this.fixture.send({
      method: 'POST',
      path: '/v1/services/quay-ops/book?crane=4',
      headers: {
        authorization: `Bearer ${team}-example-key`,
        'idempotency-key': key,
        'x-shift': 'night',
      },
      body: 'crane 4',
    });
  },
);

async function openStream(fixture: EntryFixture) {
  const {path, headers, body} = createChatRequest({stream: true});
  const url = `${fixture.origin}${path}`;
  return request(url, {method: 'POST', headers, body, reset: true});
}

When(
  'a caller leaves its stream after the first token',
  async function (this: EntryWorld) {
    this.open = await openStream(this.fixture);
    for await (const chunk of this.open.body) {
      if (String(chunk).includes('Crane')) break;
    }
  },
);

When('a caller does not read its stream', async function (this: EntryWorld) {
  this.open = await openStream(this.fixture);
  let last = -1;
  while (this.pulled !== last) {
    last = this.pulled;
    for (let turn = 0; turn < 200; turn++) {
      await new Promise((resolve) => setImmediate(resolve));
    }
  }
});

When(
  "the callers' server is stopped during a stream",
  async function (this: EntryWorld) {
    const open = await openStream(this.fixture);
    const stopped = this.fixture.server.stop();
    const text = await open.body.text();
    this.answer = {status: open.statusCode, headers: open.headers, text};
    await stopped;
  },
);

After(async function (this: EntryWorld) {
  if (this.fixture instanceof EntryFixture) await this.fixture.server.stop();
});
