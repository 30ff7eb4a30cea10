/** Steps for calls whose handling fails unexpectedly. */
import assert from 'node:assert/strict';
import http, {type ServerResponse} from 'node:http';
import net, {type AddressInfo} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {
  clientPortShare,
  type DaemonId,
  getConnectionLimits,
  SystemClock,
  toId,
} from '@marigoldpost/common';
import {
  CallHandler,
  type CallServices,
  GatewayServer,
  getConnectionHeaders,
  writeResponse,
} from '@marigoldpost/gateway';
import {EventLogger, Metrics} from '@marigoldpost/telemetry';
import {addCleanup} from '../../../common/tests/fixtures/cleanup.js';

interface HandlerWorld extends World {
  server: GatewayServer;
  port: number;
  ends: string[];
  failures: number;
  /** Number of requests that the handler was given. */
  handled: number;
  isReset: boolean;
}

const host = '127.0.0.1';
const memoryMb = 178;
const idHeader = 'x-request-id';
/** Time in which the server reads what a client has sent. */
const sendPauseMs = 100;

Given(
  'a server whose codec fails at call {string}',
  async function (this: HandlerWorld, failing: string) {
    this.failures = 0;
    const services = {
      clock: SystemClock.create(),
      codec: {
        decodeCall: (headers: http.IncomingHttpHeaders) => {
          if (headers[idHeader] === failing) throw new RangeError('no codec');
          return {requestId: headers[idHeader]};
        },
      },
      // Without a configuration, each call is rejected with 503.
      site: {currentConfig: undefined, getRoute: () => undefined},
      metrics: Metrics.create(),
      logger: EventLogger.create({
        level: 'error',
        daemon: toId<DaemonId>('entry-0'),
        destination: {
          write: (line) => {
            if (line.includes('"task":"call"')) this.failures += 1;
          },
        },
      }),
    };
    this.server = GatewayServer.create(
      CallHandler.create(services as unknown as CallServices),
    );
    this.port = await findFreePort();
    await this.server.listen({host, port: this.port});
    addCleanup(this, () => Promise.resolve(this.server.close()));
  },
);

Given('the server drains', function (this: HandlerWorld) {
  this.server.drain(0);
});

When(
  'a client sends {int} calls in one packet',
  async function (this: HandlerWorld, count: number) {
    const lines = ['GET / HTTP/1.1', 'Host: calls', `${idHeader}: call`];
    const request = [...lines, '', ''].join('\r\n');
    const socket = net.connect({host, port: this.port});
    let text = '';
    socket.on('data', (chunk: Buffer) => {
      text += chunk.toString('latin1');
    });
    socket.write(request.repeat(count));
    await new Promise((resolve) => {
      socket.once('close', resolve);
    });
    this.ends = text.split('HTTP/1.1 ').slice(1);
  },
);

Then(
  'the client gets {int} responses with status {int}, of which the last closes the connection',
  function (this: HandlerWorld, count: number, status: number) {
    assert.equal(this.ends.length, count);
    for (const [index, response] of this.ends.entries()) {
      assert.ok(response.startsWith(`${status} `), response);
      const isClosing = /\r\nconnection: close\r\n/i.test(response);
      assert.equal(isClosing, index === count - 1, response);
    }
  },
);

When(
  'a client sends the calls {string}',
  async function (this: HandlerWorld, ids: string) {
    this.ends = [];
    for (const id of ids.split(', ')) {
      this.ends.push(await send(this.port, id));
    }
  },
);

Then(
  'the calls end with {string}',
  function (this: HandlerWorld, expected: string) {
    assert.equal(this.ends.join(', '), expected);
  },
);

Then(
  'the failure of {int} calls is logged',
  function (this: HandlerWorld, count: number) {
    assert.equal(this.failures, count);
  },
);

Then('no call is in flight', function (this: HandlerWorld) {
  assert.equal(this.server.inFlight, 0);
});

Given(
  'a server that tells clients to close their connections',
  async function (this: HandlerWorld) {
    this.handled = 0;
    const handler = {
      handle: (_request: http.IncomingMessage, response: ServerResponse) => {
        this.handled += 1;
        const answer = {status: 200, headers: [], body: Buffer.alloc(0)};
        writeResponse(response, {...answer, isUndelimited: false}, true);
      },
    };
    this.server = GatewayServer.create(handler as unknown as CallHandler);
    this.port = await findFreePort();
    await this.server.listen({host, port: this.port});
    addCleanup(this, () => Promise.resolve(this.server.close()));
  },
);

When(
  'a client sends a second call while the response to the first is sent',
  async function (this: HandlerWorld) {
    const socket = net.connect({host, port: this.port});
    let text = '';
    socket.on('data', (chunk: Buffer) => {
      text += chunk.toString('latin1');
    });
    const head = 'POST / HTTP/1.1\r\nHost: calls\r\nContent-Length: 4\r\n\r\n';
    // The response waits for the rest of the body, which comes with the next call.
    socket.write(`${head}bo`);
    await pause(sendPauseMs);
    socket.write(`dy${head}body`);
    await new Promise((resolve) => {
      socket.once('close', resolve);
    });
    this.ends = text.split('HTTP/1.1 ').slice(1);
  },
);

Given(
  'a server whose responses close their connections and do not end',
  async function (this: HandlerWorld) {
    const handler = {
      handle: (_request: http.IncomingMessage, response: ServerResponse) => {
        response.writeHead(200, getConnectionHeaders(response, true));
        response.flushHeaders();
      },
    };
    this.server = GatewayServer.create(handler as unknown as CallHandler, {
      port: 'clients',
      limits: getConnectionLimits({memoryMb}, clientPortShare),
      clock: SystemClock.create(),
      logger: EventLogger.create({
        level: 'error',
        daemon: toId<DaemonId>('entry-0'),
        destination: {write: () => undefined},
      }),
      metrics: Metrics.create(),
    });
    this.port = await findFreePort();
    await this.server.listen({host, port: this.port});
    addCleanup(this, () => Promise.resolve(this.server.close()));
  },
);

When(
  'a client sends {int} calls, the others once the response to the first has begun',
  async function (this: HandlerWorld, count: number) {
    const call = 'GET / HTTP/1.1\r\nHost: calls\r\n\r\n';
    const socket = net.connect({host, port: this.port});
    this.isReset = false;
    socket.once('error', () => {
      this.isReset = true;
    });
    socket.write(call);
    await new Promise((resolve) => {
      socket.once('data', resolve);
    });
    addCleanup(this, () => Promise.resolve(void socket.destroy()));
    socket.write(call.repeat(count - 1));
    await new Promise((resolve) => {
      socket.once('close', resolve);
    });
  },
);

Then('its connection is reset', function (this: HandlerWorld) {
  assert.ok(this.isReset);
});

Then(
  'the server has handled {int} call',
  function (this: HandlerWorld, count: number) {
    assert.equal(this.handled, count);
  },
);

Then('the client gets one whole response', function (this: HandlerWorld) {
  assert.equal(this.ends.length, 1);
  assert.match(this.ends[0] ?? '', /^200 .*connection: close/is);
});

async function findFreePort(): Promise<number> {
  const server = net.createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, host, resolve);
  });
  const {port} = server.address() as AddressInfo;
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}

function send(port: number, id: string): Promise<string> {
  return new Promise((resolve) => {
    const headers = {[idHeader]: id};
    const sent = http.get({host, port, path: '/', headers, agent: false});
    sent.once('error', () => resolve('reset'));
    sent.once('response', (response) => {
      response.resume();
      resolve(String(response.statusCode));
    });
  });
}
