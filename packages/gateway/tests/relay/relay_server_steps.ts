/** Steps for a relay that has no room. */
import assert from 'node:assert/strict';
import http, {type IncomingMessage} from 'node:http';
import net from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {
  type DaemonId,
  getConnectionLimits,
  relayPortShare,
  SystemClock,
  type TargetId,
  toId,
} from '@marigoldpost/common';
import {
  decodeRelayFailure,
  encodeRelayParameters,
  RelayServer,
  type RelayServerOptions,
  TargetAgent,
} from '@marigoldpost/gateway';
import type {NetworkAddress} from '@marigoldpost/sites';
import {EventLogger, Metrics} from '@marigoldpost/telemetry';
import {addCleanup} from '../../../common/tests/fixtures/cleanup.js';
import {findFreePort} from '@marigoldpost/standins';

interface RelayWorld extends World {
  relay: RelayServer;
  relayPort: number;
  /** Open connections of a target that never responds. */
  targetSockets: Set<net.Socket>;
}

const host = '127.0.0.1';
const readMs = 200;
const memoryMb = 178;
const clock = SystemClock.create();
const parameters = encodeRelayParameters({
  sender: toId<DaemonId>('entry-0'),
  target: toId<TargetId>('target-0'),
  headTimeoutMs: 1000,
});

Given(
  'a relay with {int} connections',
  async function (this: RelayWorld, maxConnections: number) {
    const share = getConnectionLimits({memoryMb}, relayPortShare);
    const target = await startSilentTarget(this);
    const relay = RelayServer.create({
      clock,
      limits: {...share, maxConnections},
      logger: EventLogger.create({
        level: 'debug',
        daemon: toId<DaemonId>('entry-1'),
        destination: {write: () => undefined},
      }),
      metrics: Metrics.create(),
      codec: {decodeCall: () => ({requestId: 'r1'})},
      agents: {get: () => TargetAgent.create()},
      links: {isCut: () => false},
      targetLimits: {get: () => undefined},
      findTarget: () => ({id: 'target-0', address: target}),
    } as unknown as RelayServerOptions);
    this.relay = relay;
    this.relayPort = await findFreePort();
    await relay.listen({host, port: this.relayPort});
    addCleanup(this, () => Promise.resolve(relay.close()));
  },
);

Given(
  '{int} relayed requests whose bodies of {int} bytes do not end',
  async function (this: RelayWorld, count: number, bytes: number) {
    for (let index = 0; index < count; index++) {
      const socket = net.connect({host, port: this.relayPort});
      socket.on('error', () => undefined);
      socket.write(createRequest(bytes, 'x'));
    }
    await pause(readMs);
  },
);

When(
  '{int} clients leave that have each sent {int} requests in one packet',
  async function (this: RelayWorld, clients: number, requests: number) {
    const sockets = Array.from({length: clients}, () => {
      const socket = net.connect({host, port: this.relayPort});
      socket.on('error', () => undefined);
      socket.write(createRequest(1, 'x').repeat(requests));
      return socket;
    });
    await pause(readMs);
    for (const socket of sockets) socket.destroy();
    await pause(readMs);
  },
);

Then('nothing is relayed for them any more', function (this: RelayWorld) {
  const {relay, targetSockets} = this;
  const {inFlight} = relay;
  const counts = {inFlight, atTarget: targetSockets.size};
  assert.deepEqual(counts, {inFlight: 0, atTarget: 0});
});

Then(
  'a relayed request with a body of {int} bytes is refused as not sent',
  async function (this: RelayWorld, bytes: number) {
    const response = await send(this.relayPort, Buffer.alloc(bytes));
    const failure = decodeRelayFailure(response.headers);
    assert.equal(failure?.isSent, false);
    assert.equal(failure.isPeerFault, true);
  },
);

/** Starts a target that never responds; gets its address. */
async function startSilentTarget(world: RelayWorld): Promise<NetworkAddress> {
  const sockets = new Set<net.Socket>();
  world.targetSockets = sockets;
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('close', () => sockets.delete(socket));
    socket.resume();
  });
  const port = await findFreePort();
  await new Promise<void>((resolve) => {
    server.listen(port, host, resolve);
  });
  addCleanup(world, () => {
    for (const socket of sockets) socket.destroy();
    server.close();
    return Promise.resolve();
  });
  return {host, port};
}

function createRequest(bytes: number, body: string): string {
  const lines = ['POST / HTTP/1.1', 'Host: site.example'];
  for (let at = 0; at < parameters.length; at += 2) {
    lines.push(`${parameters[at]}: ${parameters[at + 1]}`);
  }
  lines.push(`Content-Length: ${bytes}`, '', body);
  return lines.join('\r\n');
}

function send(port: number, body: Buffer): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    const headers = ['Host', 'site.example', ...parameters];
    headers.push('Content-Length', String(body.byteLength));
    const options = {host, port, method: 'POST', headers, agent: false};
    const request = http.request(options, resolve);
    request.once('error', reject);
    request.end(body);
  });
}
