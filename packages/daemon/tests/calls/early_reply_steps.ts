/** Steps for callers of a daemon whose targets send no whole response. */
import assert from 'node:assert/strict';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {
  type DaemonId,
  type DataCentreId,
  SeededRandom,
  SystemClock,
  type TargetId,
  toId,
} from '@marigoldpost/common';
import {Daemon} from '@marigoldpost/daemon';
import {ConfigStore} from '@marigoldpost/operations';
import {defaultProcessLimits, parseOperatorsText} from '@marigoldpost/settings';
import {
  MemoryObjectStore,
  MemoryPeerNetwork,
  MemoryVmList,
} from '@marigoldpost/standins';
import {EventLogger, Metrics} from '@marigoldpost/telemetry';
import {addCleanup} from '../../../common/tests/fixtures/cleanup.js';
import {createHistoryConfig} from '../fixtures/history_config.js';

interface EarlyReplyWorld extends World {
  daemon: Daemon;
  /** Status line of each response that the target sends. */
  statusLine: string;
  /** Time between an early response and the reset; none if `undefined`. */
  resetAfterMs: number | undefined;
  answers: {status: number; body: string}[];
}

const dataCentre = toId<DataCentreId>('cat-lai');
const name = toId<DaemonId>('entry-1');
const target = toId<TargetId>('quay-ops-1');
const partitions = 4;
const startMs = 20_000;
const pollMs = 50;
const part = 'crane 4 is';

Given(
  'a daemon that serves a plain service of one target',
  {timeout: startMs},
  async function (this: EarlyReplyWorld) {
    const server = await startTarget(this);
    const {port} = server.address() as AddressInfo;
    const clock = SystemClock.create();
    const random = SeededRandom.create(1);
    const store = MemoryObjectStore.create({clock}).createClient(name);
    const network = MemoryPeerNetwork.create({clock, delayMs: 1});
    const vmList = MemoryVmList.create({clock, lagMs: 0});
    const address = `http://127.0.0.1:${port}`;
    vmList.setVm({name: target, dataCentre, address, state: 'live'});
    this.daemon = Daemon.createWith({
      settings: {
        name,
        dataCentre,
        callerHost: '127.0.0.1',
        callerPort: 0,
        peerHost: '127.0.0.1',
        peerPort: 0,
        platformAddress: 'memory://platform',
        vmListAddress: 'memory://vms',
        logLevel: 'error',
        maxBodyBytes: 1_048_576,
        ...defaultProcessLimits,
        drainMs: 1000,
      },
      clock,
      random,
      store,
      vmList,
      transport: network.createTransport(name, clock),
      peerAddress: `memory://${name}`,
      logger: EventLogger.createSilent(),
      metrics: Metrics.create(),
    });
    const {daemon} = this;
    addCleanup(this, () => daemon.kill());
    const parse = parseOperatorsText;
    const configs = ConfigStore.create({store, clock, random, parse});
    const text = createHistoryConfig(0);
    const change = {text, baseVersion: 0, author: 'ngoc', why: 'first text'};
    await configs.applyChange(change);
    await daemon.start();
    const {manager} = daemon.core;
    while (manager.getPartitions().length < partitions) await sleep(pollMs);
  },
);

When(
  /^a caller sends a booking of (\d+) bytes that its target responds to without a length before it resets the connection (?:at once|after (\d+) ms)$/,
  async function (
    this: EarlyReplyWorld,
    bytes: string,
    delayMs: string | null,
  ) {
    this.statusLine = 'HTTP/1.1 200 OK';
    this.resetAfterMs = delayMs === null ? undefined : Number(delayMs);
    this.answers = [];
    this.answers.push(await book(this, Number(bytes)));
  },
);

When(
  'callers send bookings to which its target responds with the statuses {string}',
  {timeout: startMs},
  async function (this: EarlyReplyWorld, statuses: string) {
    this.answers = [];
    for (const status of statuses.split(', ')) {
      this.statusLine = `HTTP/1.1 ${status} Odd`;
      this.answers.push(await book(this, 1));
    }
  },
);

Then(
  'each caller gets {int} {string}',
  function (this: EarlyReplyWorld, status: number, kind: string) {
    assert.ok(this.answers.length > 0);
    for (const answer of this.answers) {
      assert.equal(answer.status, status, answer.body);
      const {error} = JSON.parse(answer.body) as {error: {kind: string}};
      assert.equal(error.kind, kind);
    }
  },
);

/** Starts a target that responds at once, and resets unless it states a status. */
async function startTarget(world: EarlyReplyWorld): Promise<Server> {
  const server = createServer(({socket}) => {
    const isEarly = world.statusLine.includes(' 200 ');
    const length = isEarly ? '' : `Content-Length: ${part.length}\r\n`;
    socket.write(`${world.statusLine}\r\n${length}\r\n${part}`);
    if (!isEarly) return;
    const {resetAfterMs} = world;
    if (resetAfterMs === undefined) socket.resetAndDestroy();
    else setTimeout(() => socket.resetAndDestroy(), resetAfterMs);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  addCleanup(world, () => {
    server.close();
    server.closeAllConnections();
    return Promise.resolve();
  });
  return server;
}

async function book(
  {daemon, answers}: EarlyReplyWorld,
  bytes: number,
): Promise<{status: number; body: string}> {
  const url = `http://127.0.0.1:${daemon.callerPort}/v1/services/quay-ops/book`;
  const response = await fetch(url, {
    method: 'POST',
    headers: {
      authorization: 'Bearer planners-key',
      'idempotency-key': `booking-${answers.length}`,
    },
    body: 'u'.repeat(bytes),
  });
  return {status: response.status, body: await response.text()};
}
