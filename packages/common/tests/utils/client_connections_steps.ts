/** Steps for closing the connections of clients. */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import http from 'node:http';
import net, {type AddressInfo, type Socket} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {ClientConnections} from '@marigoldpost/common';
import {addCleanup} from '../fixtures/cleanup.js';

interface ConnectionWorld extends World {
  server: http.Server;
  connections: ClientConnections;
  client: Socket;
  request: http.IncomingMessage;
  answer: (response: http.ServerResponse) => void;
  /** Requests that are in memory, of those that arrived one behind another. */
  kept: WeakRef<http.IncomingMessage>[];
  received: string;
  isClosed: boolean;
}

const request = 'GET / HTTP/1.1\r\nHost: site.example\r\n\r\n';
const postBody = 'body';
const postHead = `POST / HTTP/1.1\r\nHost: site.example\r\nContent-Length: ${postBody.length}\r\n\r\n`;
/** Time in which a request is answered or its connection closed. */
const settledMs = 200;
/** Time for which the process does not run. */
const stoppedMs = 100;

Given(
  /^a connection whose first request was answered( before its body arrived|)$/,
  async function (this: ConnectionWorld, time: string) {
    await startServer(this);
    await connect(this);
    this.client.write(time === '' ? request : postHead);
    while (countAnswers(this) === 0) await once(this.client, 'data');
    await pause(settledMs);
  },
);

When(
  'idle connections close, and then the body and a second request arrive',
  async function (this: ConnectionWorld) {
    this.connections.closeIdle();
    await pause(settledMs);
    this.client.write(postBody + request);
  },
);

When(
  /^(a second|no) request arrives, and the process does not run for 100 ms while (its idle time ends|idle connections close)$/,
  function (this: ConnectionWorld, arriving: string, event: string) {
    if (event.startsWith('its')) this.connections.keepIdle(stoppedMs / 2);
    else setTimeout(() => this.connections.closeIdle());
    if (arriving !== 'no') this.client.write(request);
    const endMs = Date.now() + stoppedMs;
    while (Date.now() < endMs);
  },
);

When(
  'it closes, and it is asked later whether its request was the last that was read',
  async function (this: ConnectionWorld) {
    this.client.destroy();
    await pause(settledMs);
    this.connections.isLastRead(this.request);
  },
);

When(
  '{int} requests arrive on it, each before the one before is answered',
  async function (this: ConnectionWorld, count: number) {
    this.kept = [];
    let waiting: http.ServerResponse | undefined;
    this.answer = (response) => {
      this.kept.push(new WeakRef(response.req));
      waiting?.end('answer');
      waiting = response;
    };
    for (let sent = 1; sent <= count; sent++) {
      this.client.write(request);
      while (this.kept.length < sent) await pause(1);
    }
  },
);

Then(
  'only requests that have not been answered are kept',
  async function (this: ConnectionWorld) {
    setFlagsFromString('--expose-gc');
    const collectGarbage = runInNewContext('gc') as () => void;
    await pause(settledMs);
    collectGarbage();
    const kept = this.kept.filter((one) => one.deref() !== undefined);
    // The last has not been answered; Node.js keeps the one before for a while.
    assert.ok(
      kept.length <= 2,
      `${kept.length} of ${this.kept.length} requests`,
    );
  },
);

Then('no connection is open', function (this: ConnectionWorld) {
  assert.equal(this.connections.count, 0);
});

Then('both requests are answered', async function (this: ConnectionWorld) {
  await pause(settledMs);
  assert.equal(countAnswers(this), 2);
});

Then(
  'the first request is answered and the connection is closed',
  async function (this: ConnectionWorld) {
    await pause(settledMs);
    assert.equal(countAnswers(this), 1);
    assert.ok(this.isClosed);
  },
);

async function startServer(world: ConnectionWorld): Promise<void> {
  const server = http.createServer((incoming, response) => {
    world.request = incoming;
    world.answer(response);
  });
  world.answer = (response) => response.end('answer');
  world.server = server;
  world.connections = ClientConnections.create(server);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  addCleanup(world, async () => {
    server.close();
    server.closeAllConnections();
    await once(server, 'close');
  });
}

async function connect(world: ConnectionWorld): Promise<void> {
  const {port} = world.server.address() as AddressInfo;
  world.received = '';
  world.isClosed = false;
  world.client = net.connect({host: '127.0.0.1', port});
  world.client.setEncoding('latin1');
  world.client.on('data', (text: string) => {
    world.received += text;
  });
  world.client.on('error', () => undefined);
  world.client.once('close', () => {
    world.isClosed = true;
  });
  await once(world.client, 'connect');
}

function countAnswers({received}: ConnectionWorld): number {
  return received.split('HTTP/1.1 200 OK').length - 1;
}
