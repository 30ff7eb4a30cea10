/** Steps for servers whose input is paced. */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import http from 'node:http';
import net, {type AddressInfo} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {InputPacer} from '@marigoldpost/common';
import {addCleanup} from '../fixtures/cleanup.js';

interface PacerWorld extends World {
  port: number;
  readRequests: number;
  sentBodies: string[];
  receivedBodies: string[];
}

const stepTimeoutMs = 20_000;
const host = '127.0.0.1';
const settleMs = 300;
const head = 'POST / HTTP/1.1\r\nHost: site.example\r\n';

Given(
  'a server that ends a connection at its {int}rd request',
  async function (this: PacerWorld, count: number) {
    this.readRequests = 0;
    await listen(this, (request) => {
      this.readRequests += 1;
      if (this.readRequests === count) request.socket.resetAndDestroy();
    });
  },
);

Given('a server that echoes bodies', async function (this: PacerWorld) {
  await listen(this, (request, response) => {
    const parts: Buffer[] = [];
    request.on('data', (part: Buffer) => parts.push(part));
    request.once('end', () => response.end(Buffer.concat(parts)));
  });
});

When(
  'a client sends {int} requests at once',
  async function (this: PacerWorld, count: number) {
    const socket = net.connect({host, port: this.port});
    socket.on('error', () => undefined);
    socket.write(`${head}Content-Length: 0\r\n\r\n`.repeat(count));
    await pause(settleMs);
  },
);

When(
  /^(\d+) clients send bodies of (\d+) bytes in (chunks of \d+ byte|one piece)$/,
  {timeout: stepTimeoutMs},
  async function (
    this: PacerWorld,
    clients: string,
    bytes: string,
    parts: string,
  ) {
    const partBytes = Number(/\d+/.exec(parts)?.[0] ?? bytes);
    this.sentBodies = Array.from({length: Number(clients)}, (_none, index) =>
      createBody(index, Number(bytes)),
    );
    this.receivedBodies = await Promise.all(
      this.sentBodies.map((body) => sendChunks(this.port, body, partBytes)),
    );
  },
);

When(
  'a client sends {int} requests with bodies of {int} bytes ahead and then reads',
  {timeout: stepTimeoutMs},
  async function (this: PacerWorld, count: number, bytes: number) {
    this.sentBodies = Array.from({length: count}, (_none, index) =>
      createBody(index, bytes),
    );
    const socket = net.connect({host, port: this.port});
    socket.pause();
    for (const body of this.sentBodies) {
      socket.write(`${head}Content-Length: ${body.length}\r\n\r\n${body}`);
    }
    await pause(settleMs);
    let received = '';
    socket.setEncoding('latin1');
    for await (const part of socket) {
      received += String(part);
      if (received.endsWith(this.sentBodies.at(-1) ?? '')) break;
    }
    this.receivedBodies = received
      .split(/HTTP\/1\.1 200 OK\r\n[^]*?\r\n\r\n/)
      .slice(1);
  },
);

Then(
  'the server has read fewer than {int} requests',
  function (this: PacerWorld, most: number) {
    assert.ok(this.readRequests < most, `${this.readRequests} requests`);
  },
);

Then(
  /^(?:each client gets its own body back|the client gets its \d+ bodies in order)$/,
  function (this: PacerWorld) {
    assert.deepEqual(this.receivedBodies, this.sentBodies);
  },
);

async function listen(
  world: PacerWorld,
  handler: http.RequestListener,
): Promise<void> {
  const server = http.createServer(handler);
  InputPacer.attach(server, (socket) => socket.resetAndDestroy());
  server.listen(0, host);
  await once(server, 'listening');
  world.port = (server.address() as AddressInfo).port;
  addCleanup(world, () => {
    server.close();
    server.closeAllConnections();
    return Promise.resolve();
  });
}

/** Creates a body that differs from others and in each of its places. */
function createBody(index: number, bytes: number): string {
  let body = '';
  for (let place = 0; body.length < bytes; place++) {
    body += `${index}.${place};`;
  }
  return body.slice(0, bytes);
}

async function sendChunks(
  port: number,
  body: string,
  partBytes: number,
): Promise<string> {
  const socket = net.connect({host, port});
  socket.write(
    `${head}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n`,
  );
  let chunks = '';
  for (let start = 0; start < body.length; start += partBytes) {
    const part = body.slice(start, start + partBytes);
    chunks += `${part.length.toString(16)}\r\n${part}\r\n`;
  }
  socket.write(`${chunks}0\r\n\r\n`);
  let received = '';
  for await (const part of socket) received += String(part);
  return received.slice(received.indexOf('\r\n\r\n') + 4);
}
