/** Steps for the contract of `PeerTransport`, run on each implementation. */
import assert from 'node:assert/strict';
import {After, Given, Then, When, type World} from '@cucumber/cucumber';
import {Deferred, isErrorOfKind, MarigoldpostError} from '@marigoldpost/common';
import {isConnectionRefused, type PeerReplyBody} from '@marigoldpost/peers';
import {
  createLargeReply,
  createLargeRequest,
  createMalformedReply,
  createMalformedRequest,
  createNumberReply,
  createNumberRequest,
  createTransportFixture,
  getReplyNumber,
  getRequestNumber,
  type TransportFixture,
} from './transport_fixture.js';

interface TransportWorld extends World {
  transports: TransportFixture;
  replyNumbers: number[];
  failure: unknown;
  producedReplies: number;
  replies: AsyncIterator<PeerReplyBody>;
  aborted: Deferred<void>;
  inProgress: Promise<PeerReplyBody>;
  released: Deferred<void>;
}

const options = {timeoutMs: 10_000};
const pingRequest = 1_000_000;

After(async function (this: TransportWorld) {
  await this.transports?.stop();
});

Given(
  'two daemons joined by {word} transport',
  async function (this: TransportWorld, kind: string) {
    this.transports = await createTransportFixture(kind);
  },
);

Given(
  'the peer handler sends {int} numbered replies',
  function (this: TransportWorld, count: number) {
    this.producedReplies = 0;
    this.transports.server.setHandler((_sender, request) =>
      getRequestNumber(request) === pingRequest
        ? replyOnce(pingRequest)
        : produce(this, count),
    );
  },
);

Given(
  'the peer handler answers in reverse order of arrival',
  function (this: TransportWorld) {
    const expected = 200;
    const held: Array<Deferred<void>> = [];
    this.transports.server.setHandler(async function* (_sender, request) {
      const released = Deferred.create<void>();
      held.push(released);
      if (held.length === expected) held.at(-1)?.resolve();
      const index = held.length - 1;
      await released.promise;
      yield createNumberReply(getRequestNumber(request));
      held[index - 1]?.resolve();
    });
  },
);

When(
  'the requester reads all replies of an exchange',
  async function (this: TransportWorld) {
    this.replyNumbers = [];
    for await (const reply of send(this.transports)) {
      this.replyNumbers.push(getReplyNumber(reply));
    }
  },
);

When(
  '{int} exchanges are made at once',
  async function (this: TransportWorld, count: number) {
    const {client, serverAddress} = this.transports;
    const numbers = Array.from({length: count}, (_value, index) => index);
    const replies = await Promise.all(
      numbers.map((number) =>
        client.ask(serverAddress, createNumberRequest(number), options),
      ),
    );
    this.replyNumbers = replies.map(getReplyNumber);
  },
);

Then(
  'each exchange has the reply to its own request',
  function (this: TransportWorld) {
    const expected = this.replyNumbers.map((_value, index) => index);
    assert.deepEqual(this.replyNumbers, expected);
  },
);

Then(
  'the requester has {int} numbered replies in order',
  function (this: TransportWorld, count: number) {
    const expected = Array.from({length: count}, (_value, index) => index);
    assert.deepEqual(this.replyNumbers, expected);
  },
);

Given('an exchange is in progress', async function (this: TransportWorld) {
  const reached = Deferred.create<void>();
  this.released = Deferred.create<void>();
  const {promise} = this.released;
  this.transports.server.setHandler(async function* () {
    reached.resolve();
    await promise;
    yield createNumberReply(1);
  });
  this.inProgress = ask(this.transports);
  await reached.promise;
});

Then(
  'the exchange in progress gets its reply',
  async function (this: TransportWorld) {
    this.released.resolve();
    assert.equal(getReplyNumber(await this.inProgress), 1);
  },
);

When(
  'an exchange is made with fault {string}',
  async function (this: TransportWorld, fault: string) {
    const runWithFault = faults[fault];
    assert.ok(runWithFault, `unknown fault "${fault}"`);
    this.failure = await runWithFault(this.transports).then(
      () => undefined,
      (error: unknown) => error,
    );
  },
);

Then(
  'the exchange fails as {string} with outcome {string}',
  function (this: TransportWorld, kind: string, outcome: string) {
    assert.ok(isErrorOfKind(this.failure), String(this.failure));
    assert.equal(this.failure.kind, kind);
    assert.equal(this.failure.outcome, outcome);
  },
);

Then(
  'the exchange error is a refused connection',
  function (this: TransportWorld) {
    assert.equal(isConnectionRefused(this.failure), true);
  },
);

Then(
  'the exchange error is not a refused connection',
  function (this: TransportWorld) {
    assert.equal(isConnectionRefused(this.failure), false);
  },
);

When(
  'the requester stops an endless exchange by {string}',
  async function (this: TransportWorld, end: string) {
    const controller = new AbortController();
    this.aborted = Deferred.create<void>();
    const {aborted} = this;
    this.transports.server.setHandler(async function* (_from, _request, stop) {
      stop.addEventListener('abort', () => aborted.resolve(), {once: true});
      yield createNumberReply(0);
      await waitForAbort(stop);
    });
    const replies = send(this.transports, controller.signal);
    const iterator = replies[Symbol.asyncIterator]();
    await iterator.next();
    if (end === 'early return') {
      await iterator.return?.();
      return;
    }
    controller.abort();
    await assert.rejects(iterator.next());
  },
);

Then('the peer handler is aborted', async function (this: TransportWorld) {
  await this.aborted.promise;
});

When(
  'the requester reads {int} replies and pauses while {int} other exchanges run',
  async function (this: TransportWorld, count: number, others: number) {
    const {client, serverAddress} = this.transports;
    this.replies = send(this.transports)[Symbol.asyncIterator]();
    this.replyNumbers = [];
    for (let index = 0; index < count; index++) {
      const {value} = (await this.replies.next()) as {value: PeerReplyBody};
      this.replyNumbers.push(getReplyNumber(value));
    }
    for (let index = 0; index < others; index++) {
      const ping = createNumberRequest(pingRequest);
      await client.ask(serverAddress, ping, options);
    }
  },
);

Then(
  'the peer handler has produced at most {int} replies',
  function (this: TransportWorld, maxReplies: number) {
    assert.ok(this.producedReplies > 0);
    assert.ok(
      this.producedReplies <= maxReplies,
      `${this.producedReplies} replies`,
    );
  },
);

Then(
  'the requester reads the rest of the {int} replies in order',
  async function (this: TransportWorld, count: number) {
    for (;;) {
      const result = await this.replies.next();
      if (result.done) break;
      this.replyNumbers.push(getReplyNumber(result.value));
    }
    const expected = Array.from({length: count}, (_value, index) => index);
    assert.deepEqual(this.replyNumbers, expected);
  },
);

When(
  'the peer dies and another process starts at its address',
  async function (this: TransportWorld) {
    this.transports.server.setHandler(() => replyOnce(1));
    await this.transports.client.ask(
      this.transports.serverAddress,
      createNumberRequest(0),
      options,
    );
    await this.transports.server.stop();
    await assert.rejects(ask(this.transports));
    const restarted = await this.transports.restartServer();
    restarted.setHandler(() => replyOnce(2));
    const longestBackoffMs = 1000;
    await this.transports.clock.advance(longestBackoffMs);
  },
);

Then(
  'an exchange reaches the new process',
  async function (this: TransportWorld) {
    assert.equal(getReplyNumber(await ask(this.transports)), 2);
  },
);

const faults: Record<string, (fixture: TransportFixture) => Promise<unknown>> =
  {
    'handler refuses': (fixture) => {
      fixture.server.setHandler(() => {
        throw MarigoldpostError.create('limit_reached', 'limit "x" is reached');
      });
      return ask(fixture);
    },
    'handler throws foreign error': (fixture) => {
      fixture.server.setHandler(() => {
        throw new RangeError('unexpected');
      });
      return ask(fixture);
    },
    'nothing listens': async (fixture) => {
      await fixture.server.stop();
      return ask(fixture);
    },
    'peer dies with it': async (fixture) => {
      const reached = holdRequests(fixture);
      const asked = ask(fixture);
      await reached;
      await fixture.server.stop();
      return asked;
    },
    'no reply in time': async (fixture) => {
      const reached = holdRequests(fixture);
      const asked = ask(fixture);
      await reached;
      await fixture.clock.advance(options.timeoutMs);
      return asked;
    },
    'requester cancels': async (fixture) => {
      const controller = new AbortController();
      const reached = holdRequests(fixture);
      const asked = ask(fixture, controller.signal);
      await reached;
      controller.abort();
      return asked;
    },
    'cancelled before it is sent': (fixture) =>
      ask(fixture, AbortSignal.abort()),
    'request is too large': (fixture) =>
      ask(fixture, undefined, createLargeRequest()),
    'request cannot be encoded': (fixture) =>
      ask(fixture, undefined, createMalformedRequest()),
    'reply is too large': (fixture) => {
      fixture.server.setHandler(() => reply(createLargeReply()));
      return ask(fixture);
    },
    'reply cannot be encoded': (fixture) => {
      fixture.server.setHandler(() => reply(createMalformedReply()));
      return ask(fixture);
    },
  };

function ask(
  fixture: TransportFixture,
  signal?: AbortSignal,
  request = createNumberRequest(0),
) {
  const {client, serverAddress} = fixture;
  const asked = client.ask(serverAddress, request, {...options, signal});
  // Avoids an unhandled rejection: the steps await the promise later.
  asked.catch(() => undefined);
  return asked;
}

function send(fixture: TransportFixture, signal?: AbortSignal) {
  const {client, serverAddress} = fixture;
  const request = createNumberRequest(0);
  return client.exchange(serverAddress, request, {...options, signal});
}

/**
 * Makes the handler wait until it is aborted; the promise is fulfilled when a
 * request has arrived.
 */
function holdRequests(fixture: TransportFixture): Promise<void> {
  const reached = Deferred.create<void>();
  fixture.server.setHandler(async function* (_sender, _request, signal) {
    reached.resolve();
    await waitForAbort(signal);
    yield createNumberReply(0);
  });
  return reached.promise;
}

async function* produce(
  world: TransportWorld,
  count: number,
): AsyncIterable<PeerReplyBody> {
  for (let index = 0; index < count; index++) {
    world.producedReplies += 1;
    yield createNumberReply(index);
  }
}

function replyOnce(value: number): AsyncIterable<PeerReplyBody> {
  return reply(createNumberReply(value));
}

async function* reply(body: PeerReplyBody): AsyncIterable<PeerReplyBody> {
  yield body;
}

function waitForAbort(signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    signal.addEventListener('abort', () => resolve(), {once: true});
  });
}
