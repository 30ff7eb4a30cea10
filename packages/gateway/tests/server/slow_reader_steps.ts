/** Steps for clients that read slowly; the server's checks run on a virtual clock. */
import assert from 'node:assert/strict';
import type {IncomingMessage, ServerResponse} from 'node:http';
import net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {toId, type DaemonId, VirtualClock} from '@marigoldpost/common';
import {type CallHandler, GatewayServer} from '@marigoldpost/gateway';
import {findFreePort} from '@marigoldpost/standins';
import {ConnectionLog, EventLogger, Metrics} from '@marigoldpost/telemetry';
import {addCleanup} from '../../../common/tests/fixtures/cleanup.js';

interface ReaderWorld extends World {
  clock: VirtualClock;
  port: number;
  lines: string[];
}

const host = '127.0.0.1';
const intervalMs = 5000;
const pauseMs = 10;
const stepTimeoutMs = 30_000;

Given(
  'a server with room for {int} connections that answers with {int} bytes in one write',
  async function (this: ReaderWorld, maxConnections: number, size: number) {
    this.clock = VirtualClock.create();
    this.lines = [];
    const handler = {
      handle: (_request: IncomingMessage, response: ServerResponse) => {
        response.writeHead(200, {'content-length': size});
        response.end(Buffer.alloc(size));
      },
    };
    const server = GatewayServer.create(handler as unknown as CallHandler, {
      limits: {maxConnections, maxPipelined: 16, maxPending: 100},
      clock: this.clock,
      observer: ConnectionLog.create({
        port: 'clients',
        logger: EventLogger.create({
          level: 'debug',
          daemon: toId<DaemonId>('entry-0'),
          destination: {write: (line) => this.lines.push(line)},
        }),
        metrics: Metrics.create(),
      }),
    });
    this.port = await findFreePort();
    await server.listen({host, port: this.port});
    addCleanup(this, () => Promise.resolve(server.close()));
  },
);

When(
  'a client reads {int} bytes every 5 s for {int} s',
  {timeout: stepTimeoutMs},
  async function (this: ReaderWorld, bytes: number, durationS: number) {
    const socket = net.connect({host, port: this.port});
    addCleanup(this, async () => {
      socket.destroy();
      await Promise.resolve();
    });
    socket.on('error', () => undefined);
    socket.pause();
    socket.write('GET / HTTP/1.1\r\nHost: reader\r\n\r\n');
    await sleep(pauseMs * 10);
    const endMs = this.clock.nowMs() + durationS * 1000;
    while (this.clock.nowMs() < endMs && !socket.destroyed) {
      let left = bytes;
      while (left > 0 && !socket.destroyed) {
        const size = Math.min(left, socket.readableLength);
        const chunk = socket.read(size) as Buffer | null;
        left -= chunk?.length ?? 0;
        await sleep(pauseMs);
      }
      await sleep(pauseMs);
      await this.clock.advance(intervalMs);
    }
  },
);

Then(
  'the connection of the client has been ended {int} times',
  function (this: ReaderWorld, times: number) {
    const lines = this.lines.filter((line) => line.includes('"stalled":1'));
    assert.equal(lines.length, times, this.lines.join('\n'));
  },
);
