/** Steps for servers that respond before they have read a request's body. */
import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {
  HttpChannel,
  type HttpOutcome,
  type HttpRequest,
} from '@marigoldpost/platform';
import {addCleanup} from '../../../common/tests/fixtures/cleanup.js';

interface EarlyReplyWorld extends World {
  /** Address of the server. */
  address: string;
  /** Time between each response and the reset; none if `undefined`. */
  resetAfterMs: number | undefined;
  /** Status line of each response that is no early one. */
  statusLine: string;
  /** Number of early responses on connections that had served a request. */
  reusedCount: number;
  outcomes: HttpOutcome[];
}

const timeoutMs = 500;
const resetDelaysMs = [undefined, 0, 1, 3, 10, 30];
const rounds = 3;
/** Time in which the channel makes a connection available again. */
const settleMs = 10;
const uploadPath = '/upload';
const wholeBody = 'whole';

Given(
  'an HTTP server that responds to uploads without a length before it reads them and resets the connection',
  async function (this: EarlyReplyWorld) {
    this.statusLine = 'HTTP/1.1 200 OK';
    this.reusedCount = 0;
    await startServer(this);
  },
);

Given(
  'an HTTP server whose responses have the status {string}',
  async function (this: EarlyReplyWorld, status: string) {
    this.statusLine = `HTTP/1.1 ${status} Odd`;
    await startServer(this);
  },
);

When(
  /^the HTTP channel (sends|opens) uploads of (\d+) bytes ?(on connections that have served a request|)$/,
  async function (
    this: EarlyReplyWorld,
    how: string,
    bytes: string,
    connection: string,
  ) {
    const body = 'u'.repeat(Number(bytes));
    const upload = {method: 'POST', path: uploadPath, headers: {}, body};
    this.outcomes = [];
    for (let sent = 0; sent < rounds * resetDelaysMs.length; sent++) {
      this.resetAfterMs = resetDelaysMs[sent % resetDelaysMs.length];
      const channel = createChannel(this);
      if (connection !== '') {
        const before = await channel.send({method: 'GET', path: '/'});
        assert.equal(before.kind, 'answer');
        await pause(settleMs);
      }
      const outcome = await exchange(channel, how, upload);
      await channel.destroy();
      this.outcomes.push(outcome);
    }
    if (connection !== '') assert.equal(this.reusedCount, this.outcomes.length);
  },
);

When(
  /^the HTTP channel (sends|opens) a request to it$/,
  async function (this: EarlyReplyWorld, how: string) {
    const channel = createChannel(this);
    addCleanup(this, () => channel.destroy());
    const request = {method: 'GET', path: '/'};
    this.outcomes = [await exchange(channel, how, request)];
  },
);

Then('no upload has a whole response', function (this: EarlyReplyWorld) {
  for (const [index, outcome] of this.outcomes.entries()) {
    assert.ok(outcome.kind === 'failure', `upload ${index} was answered`);
    assert.equal(outcome.reason, 'cut');
    assert.equal(outcome.isSent, true);
  }
});

Then('the request has failed', function (this: EarlyReplyWorld) {
  for (const outcome of this.outcomes) {
    assert.ok(outcome.kind === 'failure', JSON.stringify(outcome));
    assert.equal(outcome.reason, 'cut');
    assert.equal(outcome.isSent, true);
  }
});

async function startServer(world: EarlyReplyWorld): Promise<void> {
  const served = new WeakSet<Socket>();
  const server = createServer(({url, socket}) => {
    if (url !== uploadPath) {
      served.add(socket);
      const length = `Content-Length: ${wholeBody.length}`;
      socket.write([world.statusLine, length, '', wholeBody].join('\r\n'));
      return;
    }
    if (served.has(socket)) world.reusedCount += 1;
    socket.write('HTTP/1.1 200 OK\r\n\r\npart');
    const {resetAfterMs} = world;
    if (resetAfterMs === undefined) socket.resetAndDestroy();
    else setTimeout(() => socket.resetAndDestroy(), resetAfterMs);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  world.address = `http://127.0.0.1:${port}`;
  addCleanup(world, async () => {
    server.close();
    server.closeAllConnections();
    await Promise.resolve();
  });
}

function createChannel({address}: EarlyReplyWorld): HttpChannel {
  return HttpChannel.create({address, timeoutMs});
}

function exchange(
  channel: HttpChannel,
  how: string,
  request: HttpRequest,
): Promise<HttpOutcome> {
  return how === 'sends' ? channel.send(request) : readStream(channel, request);
}

/** Reads a streamed response to its end. */
async function readStream(
  channel: HttpChannel,
  request: HttpRequest,
): Promise<HttpOutcome> {
  const stream = await channel.open(request);
  if (stream.kind === 'failure') return stream;
  let body = '';
  for (;;) {
    const next = await stream.chunks.next();
    if (Buffer.isBuffer(next)) {
      body += next.toString('latin1');
      continue;
    }
    const {status} = stream;
    if (next !== undefined) return next;
    return {kind: 'answer', status, headers: {}, body, isDelimited: false};
  }
}
