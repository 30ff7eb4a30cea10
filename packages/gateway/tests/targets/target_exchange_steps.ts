/** Steps for a request to a target. */
import assert from 'node:assert/strict';
import net, {type AddressInfo} from 'node:net';
import {setImmediate} from 'node:timers/promises';
import {Then, When, type World} from '@cucumber/cucumber';
import {
  type DataCentreId,
  type ServiceId,
  SystemClock,
  type TargetId,
  toId,
} from '@marigoldpost/common';
import {
  type ExchangeOutcome,
  TargetAgent,
  TargetExchange,
  waitForConnect,
} from '@marigoldpost/gateway';
import type {CallCodec, TargetEntry} from '@marigoldpost/sites';

interface ExchangeWorld extends World {
  outcome: ExchangeOutcome;
  elapsedMs: number;
  isConnected: boolean;
}

const longTimeoutMs = 5000;
/** Ticks of Node.js until the connect timeout of a request has started. */
const ticksToConnectTimer = 10;

When(
  'a request is sent to a target that never accepts the connection',
  async function (this: ExchangeWorld) {
    const agent = TargetAgent.create();
    const hanging = net.connect({
      host: 'target.example',
      port: 1,
      // A lookup that never calls back keeps the socket in connecting state.
      lookup: () => undefined,
    });
    Object.assign(agent, {createConnection: () => hanging});
    const startMs = Date.now();
    this.outcome = await TargetExchange.send({
      target: createEntry(),
      agent,
      // The codec decodes responses only, and none arrives.
      codec: {} as CallCodec,
      request: {
        method: 'GET',
        path: '/',
        headers: ['Host', 'target.example'],
        body: undefined,
        requestId: 'r1',
      },
      headTimeoutMs: longTimeoutMs,
      signal: new AbortController().signal,
    });
    this.elapsedMs = Date.now() - startMs;
    hanging.destroy();
  },
);

When(
  'a request is sent to a target and the event loop is blocked for {int} ms',
  async function (this: ExchangeWorld, blockedMs: number) {
    const server = await listen();
    const agent = TargetAgent.create((options) => {
      const socket = net.connect(options);
      blockAfterTicks(ticksToConnectTimer, blockedMs);
      return socket;
    });
    // After this phase of the event loop, timers precede connections.
    await setImmediate();
    this.outcome = await TargetExchange.send({
      target: {...createEntry(), address: getAddress(server)},
      agent,
      codec: {} as CallCodec,
      request: {
        method: 'GET',
        path: '/',
        headers: ['Host', 'target.example'],
        body: undefined,
        requestId: 'r1',
      },
      headTimeoutMs: longTimeoutMs,
      signal: new AbortController().signal,
    });
    server.close();
  },
);

When(
  'a target is probed and the event loop is blocked for {int} ms',
  async function (this: ExchangeWorld, blockedMs: number) {
    const server = await listen();
    // After this phase of the event loop, timers precede connections.
    await setImmediate();
    const socket = net.connect(getAddress(server));
    const connected = waitForConnect(socket, SystemClock.create());
    block(blockedMs);
    this.isConnected = await connected;
    server.close();
  },
);

Then('the request is sent', function (this: ExchangeWorld) {
  assert.ok('isSent' in this.outcome);
  assert.equal(this.outcome.isSent, true, this.outcome.message);
});

Then('the probe has connected', function (this: ExchangeWorld) {
  assert.equal(this.isConnected, true);
});

Then(
  'within {int} ms it fails as unreachable and not sent',
  function (this: ExchangeWorld, withinMs: number) {
    assert.equal(this.outcome.kind, 'failed');
    assert.ok('reason' in this.outcome);
    assert.equal(this.outcome.reason, 'unreachable');
    assert.equal(this.outcome.isSent, false);
    assert.ok(this.elapsedMs < withinMs, `took ${this.elapsedMs} ms`);
  },
);

/** Starts a server that closes each connection once it has sent bytes. */
async function listen(): Promise<net.Server> {
  const server = net.createServer((socket) => {
    socket.once('data', () => socket.end());
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return server;
}

function getAddress(server: net.Server): {host: string; port: number} {
  const {address: host, port} = server.address() as AddressInfo;
  return {host, port};
}

/** Blocks the event loop before it polls for the events of connections. */
function blockAfterTicks(ticks: number, durationMs: number): void {
  if (ticks === 0) block(durationMs);
  else process.nextTick(() => blockAfterTicks(ticks - 1, durationMs));
}

function block(durationMs: number): void {
  const endMs = Date.now() + durationMs;
  while (Date.now() < endMs);
}

function createEntry(): TargetEntry {
  return {
    id: toId<TargetId>('target'),
    service: toId<ServiceId>('service'),
    address: {host: 'target.example', port: 1},
    dataCentre: toId<DataCentreId>('north'),
    slots: 1,
    isDraining: false,
    startedAtMs: 1,
  };
}
