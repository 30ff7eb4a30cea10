/** Steps for responses that are sent before their request has arrived. */
import assert from 'node:assert/strict';
import http from 'node:http';
import net, {type AddressInfo} from 'node:net';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {writeResponse} from '@marigoldpost/gateway';
import {addCleanup} from '../../../common/tests/fixtures/cleanup.js';

interface RejectingWorld extends World {
  port: number;
  received: string;
  answeredMs: number;
  closedMs: number;
}

const host = '127.0.0.1';
const body = 'too large';
const sendIntervalMs = 20;

Given(
  'a server that rejects each request before its body has arrived',
  async function (this: RejectingWorld) {
    const server = http.createServer((_request, response) => {
      const rejection = {status: 413, headers: [], body: Buffer.from(body)};
      writeResponse(response, rejection, true);
    });
    await new Promise<void>((resolve) => {
      server.listen(0, host, resolve);
    });
    addCleanup(this, () => {
      server.closeAllConnections();
      server.close();
      return Promise.resolve();
    });
    this.port = (server.address() as AddressInfo).port;
  },
);

When(
  'a client sends its body without end',
  async function (this: RejectingWorld) {
    const startMs = performance.now();
    const socket = net.connect({host, port: this.port});
    socket.write(
      'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n',
    );
    const timer = setInterval(() => socket.write('x'), sendIntervalMs);
    const limit = setTimeout(() => socket.destroy(), 3000);
    this.received = '';
    socket.on('data', (chunk) => {
      this.received += chunk.toString();
      this.answeredMs = performance.now() - startMs;
    });
    socket.on('error', () => undefined);
    await new Promise<void>((resolve) => {
      socket.once('close', () => resolve());
    });
    clearInterval(timer);
    clearTimeout(limit);
    this.closedMs = performance.now() - startMs;
  },
);

Then(
  'the client gets the whole error within {int} ms',
  function (this: RejectingWorld, mostMs: number) {
    assert.ok(this.received.startsWith('HTTP/1.1 413'), this.received);
    assert.ok(this.received.endsWith(body), this.received);
    assert.ok(this.answeredMs <= mostMs, `${this.answeredMs} ms`);
  },
);

Then(
  'its connection closes after {int} to {int} ms',
  function (this: RejectingWorld, leastMs: number, mostMs: number) {
    const {closedMs} = this;
    assert.ok(closedMs >= leastMs && closedMs <= mostMs, `${closedMs} ms`);
  },
);
