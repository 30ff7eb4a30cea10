/** Steps for the limits of the peers' port; its log runs on a virtual clock. */
import assert from 'node:assert/strict';
import net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {create, toBinary} from '@bufbuild/protobuf';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {type DaemonId, toId, VirtualClock} from '@marigoldpost/common';
import {
  MessageTransport,
  PeerFrameSchema,
  RelayOperationSchema,
} from '@marigoldpost/peers';
import {ConnectionEndLog, EventLogger, Metrics} from '@marigoldpost/telemetry';
import {addCleanup} from '../../../common/tests/fixtures/cleanup.js';

interface ServedWorld extends World {
  clock: VirtualClock;
  port: number;
  lines: string[];
}

const host = '127.0.0.1';
const logIntervalMs = 5000;
/** Time in which the port has read what was sent. */
const settleMs = 50;

Given(
  "a peers' port for {int} connections of {int} requests each, that hold {int} bytes together",
  async function (
    this: ServedWorld,
    maxConnections: number,
    maxPipelined: number,
    maxHeldBytes: number,
  ) {
    this.clock = VirtualClock.create();
    this.lines = [];
    const daemon = toId<DaemonId>('archive-0');
    const logger = EventLogger.create({
      level: 'debug',
      daemon,
      destination: {write: (line) => this.lines.push(line)},
    });
    const metrics = Metrics.create();
    const transport = MessageTransport.create({
      daemon,
      host,
      port: 0,
      clock: this.clock,
      limits: {
        connections: {maxConnections, maxPipelined, maxPending: 100},
        maxHeldBytes,
        endLog: ConnectionEndLog.create({port: 'peers', logger, metrics}),
      },
    });
    await transport.start(() => new Promise(() => undefined));
    this.port = Number(new URL(transport.getAddress().address).port);
    addCleanup(this, () => Promise.resolve(transport.stop()));
  },
);

When(
  'peers open {int} connections and send {int} requests of {int} bytes over each',
  async function (
    this: ServedWorld,
    connections: number,
    requests: number,
    bytes: number,
  ) {
    const frames = Buffer.concat(
      Array.from({length: requests}, () => createFrame(bytes)),
    );
    for (let index = 0; index < connections; index++) {
      const socket = net.connect({host, port: this.port});
      socket.on('error', () => undefined);
      // The last byte is missing, so that a single request is held.
      socket.write(requests === 1 ? frames.subarray(0, -1) : frames);
      addCleanup(this, () => Promise.resolve(void socket.destroy()));
    }
    await sleep(settleMs);
  },
);

Then(
  /^the port logs within 5 s that it has ended (\d+) connections, each as (\w+)$/,
  async function (this: ServedWorld, count: string, reason: string) {
    assert.equal(this.lines.length, 0);
    await this.clock.advance(logIntervalMs);
    assert.equal(this.lines.length, 1, 'one line');
    const line = JSON.parse(this.lines[0] ?? '') as Record<string, unknown>;
    assert.equal(line['name'], 'connections_ended');
    assert.equal(line['port'], 'peers');
    const reasons = 'full replaced pipelined stalled buffered costly'.split(
      ' ',
    );
    const ended = reasons.map((name) => [name, line[name]]);
    const expected = reasons.map((name) => [
      name,
      name === reason ? Number(count) : 0,
    ]);
    assert.deepEqual(ended, expected);
  },
);

/** Creates a frame with a request, whose length precedes it. */
function createFrame(bytes: number): Buffer {
  const text = {operationJson: 'x'.repeat(bytes)};
  const value = create(RelayOperationSchema, text);
  const request = {
    sender: 'entry-0',
    body: {case: 'relayOperation', value},
  } as const;
  const frame = create(PeerFrameSchema, {
    exchange: 1n,
    body: {case: 'request', value: request},
  });
  const encoded = toBinary(PeerFrameSchema, frame);
  const length = Buffer.alloc(4);
  length.writeUInt32LE(encoded.byteLength);
  return Buffer.concat([length, encoded]);
}
