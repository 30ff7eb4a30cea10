/** Steps for a request to a target. */
import assert from 'node:assert/strict';
import net, {type AddressInfo} from 'node:net';
import {setImmediate} from 'node:timers/promises';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {
  type DaemonId,
  type DataCentreId,
  SeededRandom,
  type ServiceId,
  SystemClock,
  type TargetId,
  toId,
} from '@marigoldpost/common';
import {
  type ExchangeOutcome,
  LinkMonitor,
  LinkProber,
  PeerExchange,
  RelayPeers,
  TargetAgent,
  TargetAgents,
  TargetExchange,
  TargetSender,
  waitForConnect,
} from '@marigoldpost/gateway';
import type {CallCodec, TargetEntry} from '@marigoldpost/sites';
import {EventLogger} from '@marigoldpost/telemetry';

interface ExchangeWorld extends World {
  target: TargetEntry;
  links: LinkMonitor;
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

When(
  /^the (request|relayed request) of an exchange goes (to .+|with .+)$/,
  async function (this: ExchangeWorld, kind: string, problem: string) {
    const startMs = Date.now();
    const port = Number(/^to port (.+)$/.exec(problem)?.[1] ?? 1);
    const common = {
      codec: {} as CallCodec,
      request: {
        method: 'GET',
        path: problem.includes('its path') ? '/\u20ac' : '/',
        headers: ['X-Id', problem.includes('line break') ? 'a\r\nb' : 'a'],
        body: undefined,
        requestId: 'r1',
      },
      headTimeoutMs: longTimeoutMs,
      signal: new AbortController().signal,
    };
    const {id} = createEntry();
    const relayAddress = problem.includes('that is none')
      ? 'nowhere'
      : `http://127.0.0.1:${port}`;
    this.outcome =
      kind === 'request'
        ? await TargetExchange.send({
            ...common,
            target: {...createEntry(), address: {host: '127.0.0.1', port}},
            agent: TargetAgent.create(
              problem.includes('throws') ? throwError : undefined,
            ),
          })
        : await PeerExchange.send({
            ...common,
            sender: toId<DaemonId>('entry-0'),
            peer: {daemon: toId<DaemonId>('entry-1'), relayAddress},
            target: id,
          });
    this.elapsedMs = Date.now() - startMs;
  },
);

Given('a target at port {int}', function (this: ExchangeWorld, port: number) {
  const address = {host: '127.0.0.1', port};
  this.target = {...createEntry(), address};
});

When('it is probed in each way', async function (this: ExchangeWorld) {
  const clock = SystemClock.create();
  const logger = EventLogger.createSilent();
  this.links = LinkMonitor.create({clock, logger});
  const {links, target} = this;
  const agents = TargetAgents.create();
  const prober = LinkProber.create({clock, links, agents});
  prober.setTargets([target]);
  await prober.confirm(target);
  await prober.check(target);
});

Then(
  'each probe ends, and the link counts as failing',
  function (this: ExchangeWorld) {
    assert.equal(this.links.getState(this.target), 'failing');
  },
);

Then(
  /^an entry VM with a relay address (at port 99999|that is none) does not run$/,
  async function (problem: string) {
    const daemon = toId<DaemonId>('entry-1');
    const relayAddress =
      problem === 'that is none' ? 'nowhere' : 'http://127.0.0.1:99999';
    const member = {daemon, relayAddress, dataCentre: createEntry().dataCentre};
    const clock = SystemClock.create();
    const links = LinkMonitor.create({
      clock,
      logger: EventLogger.createSilent(),
    });
    const agents = TargetAgents.create();
    const sender = TargetSender.create({
      daemon: toId<DaemonId>('entry-0'),
      clock,
      codec: {} as CallCodec,
      agents,
      links,
      prober: LinkProber.create({clock, links, agents}),
      peers: RelayPeers.create({
        daemon: toId<DaemonId>('entry-0'),
        dataCentre: member.dataCentre,
        clock,
        random: SeededRandom.create(1),
        getMembers: () => [member],
      }),
    });
    assert.equal(await sender.isPeerRunning(daemon), false);
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

function throwError(): never {
  throw new Error('the connector failed');
}
