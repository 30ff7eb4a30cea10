/** Steps for the limits of the peers' port; its log runs on a virtual clock. */
import assert from 'node:assert/strict';
import net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {create, toBinary} from '@bufbuild/protobuf';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {
  type DaemonId,
  SystemClock,
  toId,
  VirtualClock,
} from '@marigoldpost/common';
import {
  ConfigTextSchema,
  type MessageHandler,
  MessageTransport,
  PeerFrameSchema,
  type PeerPortLimits,
  RelayOperationSchema,
} from '@marigoldpost/peers';
import {ConnectionEndLog, EventLogger, Metrics} from '@marigoldpost/telemetry';
import {addCleanup} from '../../../common/tests/fixtures/cleanup.js';

interface ServedWorld extends World {
  clock: VirtualClock;
  port: number;
  lines: string[];
  metrics: Metrics;
  results: Array<PromiseSettledResult<unknown>>;
}

const host = '127.0.0.1';
const logIntervalMs = 5000;
/** Time in which the port has read what was sent. */
const settleMs = 200;
/** Time in which a reply is read from a disk. */
const readMs = 2;
const replyTimeoutMs = 10_000;

Given(
  "a peers' port for {int} connections of {int} requests each, that hold {int} bytes together",
  async function (
    this: ServedWorld,
    maxConnections: number,
    maxPipelined: number,
    maxHeldBytes: number,
  ) {
    const connections = {maxConnections, maxPipelined, maxPending: 100};
    const limits = {connections, maxHeldBytes};
    await listen(this, limits, () => new Promise(() => undefined));
  },
);

Given(
  "a peers' port that holds {int} bytes together and has replies of {int} bytes",
  async function (this: ServedWorld, maxHeldBytes: number, bytes: number) {
    const connections = {
      maxConnections: 100,
      maxPipelined: 1000,
      maxPending: 10_000,
    };
    const getReplyBytes = () => bytes;
    const limits = {connections, maxHeldBytes, getReplyBytes};
    await listen(this, limits, async () => {
      await sleep(readMs);
      const text = {objectJson: 'x'.repeat(bytes)};
      return {case: 'config', value: create(ConfigTextSchema, text)};
    });
  },
);

When(
  'a peer asks for {int} replies and reads nothing',
  async function (this: ServedWorld, requests: number) {
    const socket = connect(this);
    socket.pause();
    const frames = Array.from({length: requests}, () => createFrame(1));
    socket.write(Buffer.concat(frames));
    await sleep(settleMs);
  },
);

When(
  '{int} peers ask for {int} replies each at once',
  async function (this: ServedWorld, peers: number, requests: number) {
    const archive = toId<DaemonId>('archive-0');
    const peer = {daemon: archive, address: `http://${host}:${this.port}`};
    const clock = SystemClock.create();
    const asked = Array.from({length: peers}, (_none, index) => {
      const daemon = toId<DaemonId>(`entry-${index}`);
      const client = MessageTransport.create({daemon, host, port: 0, clock});
      addCleanup(this, () => Promise.resolve(client.stop()));
      const value = create(RelayOperationSchema, {operationJson: ''});
      return Array.from({length: requests}, () =>
        client.ask(peer, {case: 'relayOperation', value}, replyTimeoutMs),
      );
    });
    this.results = await Promise.allSettled(asked.flat());
  },
);

Then('each peer has its replies', function (this: ServedWorld) {
  const lost = this.results.filter(({status}) => status === 'rejected');
  assert.equal(lost.length, 0, `${lost.length} of ${this.results.length}`);
});

Then('the port has ended no connection', async function (this: ServedWorld) {
  await this.clock.advance(logIntervalMs);
  assert.deepEqual(this.lines, []);
});

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
      const socket = connect(this);
      // The last byte is missing, so that a single request is held.
      socket.write(requests === 1 ? frames.subarray(0, -1) : frames);
    }
  },
);

Then(
  /^the port logs within 5 s that it has ended (\d+) connections, each as (\w+)$/,
  async function (this: ServedWorld, count: string, reason: string) {
    const counter = `connections_ended_total{port="peers",reason="${reason}"} ${count}`;
    while (!this.metrics.renderExposition().includes(counter)) await sleep(1);
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

async function listen(
  world: ServedWorld,
  limits: Omit<PeerPortLimits, 'endLog'>,
  handler: MessageHandler,
): Promise<void> {
  world.clock = VirtualClock.create();
  world.lines = [];
  const daemon = toId<DaemonId>('archive-0');
  const logger = EventLogger.create({
    level: 'debug',
    daemon,
    destination: {write: (line) => world.lines.push(line)},
  });
  const metrics = Metrics.create();
  world.metrics = metrics;
  const endLog = ConnectionEndLog.create({port: 'peers', logger, metrics});
  const transport = MessageTransport.create({
    daemon,
    host,
    port: 0,
    clock: world.clock,
    limits: {...limits, endLog},
  });
  await transport.start(handler);
  world.port = Number(new URL(transport.getAddress().address).port);
  addCleanup(world, () => Promise.resolve(transport.stop()));
}

function connect(world: ServedWorld): net.Socket {
  const socket = net.connect({host, port: world.port});
  socket.on('error', () => undefined);
  addCleanup(world, () => Promise.resolve(void socket.destroy()));
  return socket;
}

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
