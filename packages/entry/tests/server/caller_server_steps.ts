/** Steps that start a server and send requests to it. */
import assert from 'node:assert/strict';
import net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
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
import {
  createAcceptedEvent,
  createChatFinishedEvent,
} from '../fixtures/fake_gateway.js';

const megabyte = 1024 * 1024;
/** Time in which the server has handled what it has received. */
const settleMs = 100;

function createTokenEvent(index: number): CallEvent {
  const text = answerTokens[index % answerTokens.length] as string;
  return {kind: 'token', index, text};
}

Given('a caller server', async function (this: EntryWorld) {
  this.fixture = await EntryFixture.start();
});

Given(
  'a caller server whose gateway fails with {string}',
  async function (this: EntryWorld, kind: ErrorKind) {
    this.fixture = await EntryFixture.start();
    this.fixture.gateway.script = async function* () {
      throw MarigoldpostError.create(kind, 'service "plan-models" fails');
    };
  },
);

Given(
  'a caller server whose gateway streams with the fault {string}',
  async function (this: EntryWorld, fault: string) {
    this.fixture = await EntryFixture.start();
    this.fixture.gateway.script = async function* (call) {
      yield createAcceptedEvent(call);
      yield createTokenEvent(0);
      if (fault === 'target_failed') {
        throw MarigoldpostError.create('target_failed', 'target "a" died');
      }
      if (fault === 'a missing token') {
        yield createTokenEvent(2);
        yield createTokenEvent(3);
        yield createChatFinishedEvent(answerTokens);
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
  'a caller server whose services respond without a length',
  async function (this: EntryWorld) {
    this.fixture = await EntryFixture.start();
    this.fixture.gateway.script = async function* (call) {
      yield createAcceptedEvent(call);
      const headers = {'content-type': 'text/plain'};
      const body = 'did crane 4';
      const isUndelimited = true as const;
      const response = {status: 201, headers, body, isUndelimited};
      const answer = {kind: 'plain', response} as const;
      yield {kind: 'finished', answer, isDurable: true};
    };
  },
);

Given(
  'a caller server whose gateway never finishes the stream',
  async function (this: EntryWorld) {
    this.fixture = await EntryFixture.start();
    this.fixture.gateway.script = async function* (call, signal) {
      yield createAcceptedEvent(call);
      yield createTokenEvent(0);
      const aborted = Deferred.create<void>();
      signal.addEventListener('abort', () => aborted.resolve());
      await aborted.promise;
      throw MarigoldpostError.create('cancelled', 'caller disconnected');
    };
  },
);

Given(
  'a caller server whose gateway streams {int} MB',
  async function (this: EntryWorld, megabytes: number) {
    this.fixture = await EntryFixture.start();
    this.pulledTokens = 0;
    const text = 'x'.repeat(megabyte);
    // A generator cannot be an arrow function, so its `this` is not the world.
    const countPulledToken = () => (this.pulledTokens += 1);
    this.fixture.gateway.script = async function* (call) {
      yield createAcceptedEvent(call);
      for (let index = 0; index < megabytes; index++) {
        countPulledToken();
        yield {kind: 'token', index, text};
      }
      yield createChatFinishedEvent(
        Array.from({length: megabytes}, () => text),
      );
    };
  },
);

Given(
  'a caller server whose gateway delays the last event until shutdown',
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
      yield createAcceptedEvent(call);
      for (let index = 0; index < answerTokens.length; index++) {
        yield createTokenEvent(index);
      }
      await stopped.promise;
      yield createChatFinishedEvent(answerTokens);
    };
  },
);

When('a caller requests a chat completion', async function (this: EntryWorld) {
  this.answer = await this.fixture.send(createChatRequest());
});

When(
  'a caller requests a chat completion from model {string}',
  async function (this: EntryWorld, model: string) {
    this.answer = await this.fixture.send(createChatRequest({model}));
  },
);

When(
  'a caller requests a streamed chat completion',
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

function createInvalidRequest(fault: string): TestRequest {
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
    'no API key': {...chat, headers: {}},
    'another authentication scheme': withKey('Basic planners-example-key'),
    'an unknown API key': withKey('Bearer unknown-example-key'),
    "a key's hash as the API key": withKey(`Bearer ${hash}`),
    'an unapproved team': createChatRequest({}, {}, 'night-planners'),
    'an engine as a plain service': service('plan-models'),
    'an unknown model': createChatRequest({model: 'berth-planner-7b'}),
    "another service's model": createChatRequest({
      model: 'quay-ops/berth-planner-70b',
    }),
    'an unknown service': service('key-ops'),
    'a body not JSON': {...chat, body: '{"model":'},
    'no messages': createChatRequest({messages: []}),
    'several choices': createChatRequest({n: 2}),
    'a body too large': {...chat, body: 'x'.repeat(maxBodyBytes + 1)},
    'headers too large': createChatRequest({}, {'x-note': 'x'.repeat(20_000)}),
    'an empty Idempotency-Key': createChatRequest({}, {'idempotency-key': ''}),
    'Last-Event-ID without Idempotency-Key': createChatRequest(
      {stream: true},
      {'last-event-id': '3'},
    ),
    'a malformed program id': createChatRequest(
      {},
      {'marigoldpost-program': '7'},
    ),
    'a malformed timeout': createChatRequest(
      {},
      {'marigoldpost-timeout-ms': '-1'},
    ),
    'an unknown path': {...chat, path: '/v1/chat'},
    'a wrong method': {method: 'GET', path, headers: plannersHeaders},
    'a booking without idempotency key': service('quay-ops'),
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
      this.answer = await this.fixture.send(createInvalidRequest(fault));
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

function toText({method, path, headers = {}, body = ''}: TestRequest): string {
  const lines = Object.entries(headers).map(
    ([name, text]) => `${name}: ${text}`,
  );
  const length = `Content-Length: ${Buffer.byteLength(body)}`;
  const head = [`${method} ${path} HTTP/1.1`, 'Host: entry', ...lines, length];
  return `${head.join('\r\n')}\r\n\r\n${body}`;
}

async function openStream(fixture: EntryFixture) {
  const {path, headers, body} = createChatRequest({stream: true});
  const url = `${fixture.origin}${path}`;
  return request(url, {method: 'POST', headers, body, reset: true});
}

When(
  'a caller disconnects after the first token',
  async function (this: EntryWorld) {
    this.open = await openStream(this.fixture);
    for await (const chunk of this.open.body) {
      if (String(chunk).includes('Crane')) break;
    }
  },
);

When(
  /^a caller disconnects that has sent a stream and a (call|stream) in one packet$/,
  async function (this: EntryWorld, second: string) {
    const {origin, gateway} = this.fixture;
    const requests = ['stream', second].map((kind) =>
      toText(createChatRequest({stream: kind === 'stream'})),
    );
    const {hostname, port} = new URL(origin);
    const socket = net.connect(Number(port), hostname);
    socket.write(requests.join(''));
    while (gateway.calls.length < requests.length) await sleep(1);
    await sleep(settleMs);
    socket.destroy();
  },
);

When('a caller does not read its stream', async function (this: EntryWorld) {
  this.open = await openStream(this.fixture);
  let last = -1;
  while (this.pulledTokens !== last) {
    last = this.pulledTokens;
    for (let tick = 0; tick < 200; tick++) {
      await new Promise((resolve) => setImmediate(resolve));
    }
  }
});

When(
  'the caller server is stopped during a stream',
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
