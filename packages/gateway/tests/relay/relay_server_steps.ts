/** Steps for a relay that has no room. */
import assert from 'node:assert/strict';
import http, {type IncomingMessage} from 'node:http';
import net from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {Given, Then, type World} from '@cucumber/cucumber';
import {
  type DaemonId,
  SystemClock,
  type TargetId,
  toId,
} from '@marigoldpost/common';
import {
  decodeRelayFailure,
  encodeRelayParameters,
  RelayServer,
  type RelayServerOptions,
} from '@marigoldpost/gateway';
import {EventLogger, Metrics} from '@marigoldpost/telemetry';
import {addCleanup} from '../../../common/tests/fixtures/cleanup.js';
import {findFreePort} from '@marigoldpost/standins';

interface RelayWorld extends World {
  relayPort: number;
}

const host = '127.0.0.1';
const readMs = 200;
const clock = SystemClock.create();
const parameters = encodeRelayParameters({
  sender: toId<DaemonId>('entry-0'),
  target: toId<TargetId>('target-0'),
  headTimeoutMs: 1000,
});

Given(
  'a relay with {int} connections',
  async function (this: RelayWorld, maxConnections: number) {
    const relay = RelayServer.create({
      clock,
      limits: {maxConnections, maxPipelined: 16, maxPending: 1000},
      logger: EventLogger.create({
        level: 'debug',
        daemon: toId<DaemonId>('entry-1'),
        destination: {write: () => undefined},
      }),
      metrics: Metrics.create(),
      codec: {decodeCall: () => ({requestId: 'r1'})},
      links: {isCut: () => false},
      targetLimits: {get: () => undefined},
      findTarget: () => ({id: 'target-0'}),
    } as unknown as RelayServerOptions);
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
      const lines = ['POST / HTTP/1.1', 'Host: site.example'];
      for (let at = 0; at < parameters.length; at += 2) {
        lines.push(`${parameters[at]}: ${parameters[at + 1]}`);
      }
      lines.push(`Content-Length: ${bytes}`, '', 'x');
      socket.write(lines.join('\r\n'));
    }
    await pause(readMs);
  },
);

Then(
  'a relayed request with a body of {int} bytes is refused as not sent',
  async function (this: RelayWorld, bytes: number) {
    const response = await send(this.relayPort, Buffer.alloc(bytes));
    const failure = decodeRelayFailure(response.headers);
    assert.equal(failure?.isSent, false);
    assert.equal(failure.isPeerFault, true);
  },
);

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
