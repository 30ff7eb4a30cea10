/** Steps for the HTTP channel. */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {createServer as createTcpServer, type AddressInfo} from 'node:net';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {VirtualClock} from '@marigoldpost/common';
import {
  HttpChannel,
  type HttpFailure,
  type HttpOutcome,
} from '@marigoldpost/platform';
import {addCleanup} from '../../../common/tests/fixtures/cleanup.js';

interface ChannelWorld extends World {
  channel: HttpChannel;
  sentChunks: number;
  receivedBytes: number;
  failure: HttpFailure | undefined;
  outcome: HttpOutcome;
}

const chunk = Buffer.alloc(1024 * 1024, 'x');
const stableTurns = 500;
const request = {method: 'GET', path: '/'};

Given(
  'an HTTP server that streams {int} megabytes',
  async function (this: ChannelWorld, megabytes: number) {
    this.sentChunks = 0;
    const send = async (response: ServerResponse) => {
      for (let i = 0; i < megabytes; i++) {
        const hasRoom = response.write(chunk);
        this.sentChunks += 1;
        if (!hasRoom) await once(response, 'drain');
      }
      response.end();
    };
    const server = createServer((_incoming, response) => void send(response));
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const {port} = server.address() as AddressInfo;
    this.channel = HttpChannel.create({
      address: `http://127.0.0.1:${port}`,
      timeoutMs: 1000,
      clock: VirtualClock.create(),
    });
    addCleanup(this, async () => {
      server.close();
      server.closeAllConnections();
      await this.channel.destroy();
    });
  },
);

Given(
  /^an HTTP server whose responses without a length end with a (close|reset) after (\d+) ms$/,
  async function (this: ChannelWorld, end: string, delay: string) {
    const server = createTcpServer((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        const finish = () => {
          if (end === 'reset') socket.resetAndDestroy();
          else socket.end();
        };
        socket.write('HTTP/1.1 200 OK\r\n\r\nbody', () => {
          if (delay === '0') finish();
          else setTimeout(finish, Number(delay));
        });
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const {port} = server.address() as AddressInfo;
    const address = `http://127.0.0.1:${port}`;
    this.channel = HttpChannel.create({address, timeoutMs: 1000});
    addCleanup(this, async () => {
      server.close();
      await this.channel.destroy();
    });
  },
);

Then(
  'the outcome of the HTTP channel is {string}',
  function (this: ChannelWorld, expected: string) {
    const {outcome} = this;
    const actual = outcome.kind === 'failure' ? outcome.reason : outcome.kind;
    assert.equal(actual, expected);
    if (outcome.kind === 'answer') assert.equal(outcome.isDelimited, false);
  },
);

When(
  "the HTTP channel's reader begins once the server can send no more",
  async function (this: ChannelWorld) {
    const stream = await this.channel.open(request);
    assert.ok(stream.kind === 'stream');
    await waitUntilStable(() => this.sentChunks);
    this.receivedBytes = 0;
    for (;;) {
      const next = await stream.chunks.next();
      if (!Buffer.isBuffer(next)) {
        this.failure = next;
        return;
      }
      this.receivedBytes += next.byteLength;
    }
  },
);

Then(
  "the HTTP channel's reader gets all {int} megabytes",
  function (this: ChannelWorld, megabytes: number) {
    assert.equal(this.failure, undefined);
    assert.equal(this.receivedBytes, megabytes * chunk.byteLength);
  },
);

When(
  'the HTTP channel is destroyed while its reader waits',
  async function (this: ChannelWorld) {
    const stream = await this.channel.open(request);
    assert.ok(stream.kind === 'stream');
    await waitUntilStable(() => this.sentChunks);
    await this.channel.destroy();
    for (;;) {
      const next = await stream.chunks.next();
      if (Buffer.isBuffer(next)) continue;
      this.failure = next;
      return;
    }
  },
);

Then(
  "the HTTP channel's reader gets a failure that the stream was cut",
  function (this: ChannelWorld) {
    assert.equal(this.failure?.reason, 'cut');
    assert.equal(this.failure?.isSent, true);
  },
);

When(
  'the HTTP channel reads the complete response',
  async function (this: ChannelWorld) {
    this.outcome = await this.channel.send(request);
  },
);

When(
  'a request on the HTTP channel is aborted before it starts',
  async function (this: ChannelWorld) {
    const controller = new AbortController();
    const outcome = this.channel.send(request, controller.signal);
    controller.abort();
    this.outcome = await outcome;
  },
);

Then(
  'the HTTP channel reports that the response was cut',
  function (this: ChannelWorld) {
    assert.ok(this.outcome.kind === 'failure');
    assert.equal(this.outcome.reason, 'cut');
    assert.equal(this.outcome.isSent, true);
  },
);

Then(
  'the HTTP channel reports that the request was aborted and never sent',
  function (this: ChannelWorld) {
    assert.ok(this.outcome.kind === 'failure');
    assert.equal(this.outcome.reason, 'aborted');
    assert.equal(this.outcome.isSent, false);
    assert.equal(this.sentChunks, 0);
  },
);

/** Waits until a count is unchanged for 500 iterations of the event loop. */
async function waitUntilStable(getCount: () => number): Promise<void> {
  let last = getCount();
  for (let turn = 0; turn < stableTurns; turn++) {
    await new Promise((resolve) => setImmediate(resolve));
    if (getCount() === last) continue;
    last = getCount();
    turn = 0;
  }
}
