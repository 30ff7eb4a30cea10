/** Steps for requests to a target that their entry VM does not reach. */
import assert from 'node:assert/strict';
import http, {type IncomingMessage} from 'node:http';
import {type AddressInfo, Socket} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
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
  encodeRelayFailure,
  encodeRelayFraming,
  type ExchangeOutcome,
  LinkMonitor,
  LinkProber,
  type RelayMember,
  RelayPeers,
  TargetAgents,
  TargetSender,
} from '@marigoldpost/gateway';
import type {CallCodec, TargetEntry} from '@marigoldpost/sites';
import {EventLogger} from '@marigoldpost/telemetry';
import {addCleanup} from '../../../common/tests/fixtures/cleanup.js';

interface SenderWorld extends World {
  entryVms: RelayMember[];
  /** Requests that the other entry VMs were asked to relay. */
  asked: number;
  sender: TargetSender | undefined;
  outcomes: ExchangeOutcome[];
}

const host = '127.0.0.1';
const dataCentre = toId<DataCentreId>('north');
const daemon = toId<DaemonId>('entry-0');
const headTimeoutMs = 1000;
const badGatewayStatus = 502;
const resetDelayMs = 20;

Given(
  /^(\d+) other entry VMs, of which (\d+) reach(?:es)? the target$/,
  async function (this: SenderWorld, count: string, reaching: string) {
    this.entryVms = [];
    this.outcomes = [];
    this.asked = 0;
    for (let index = 1; index <= Number(count); index++) {
      const reaches = index <= Number(reaching);
      const port = await startPeer(this, reaches);
      this.entryVms.push(createMember(index, port));
    }
  },
);

Given(
  /^(\d+) other entry VMs that reset connections once (they have opened|the request has arrived)$/,
  async function (this: SenderWorld, count: string, when: string) {
    this.outcomes = [];
    this.asked = 0;
    const event = when === 'they have opened' ? 'connection' : 'request';
    this.entryVms = [];
    for (let index = 1; index <= Number(count); index++) {
      const server = http.createServer();
      server.on(event, (source: Socket | IncomingMessage) => {
        this.asked += 1;
        const socket = source instanceof Socket ? source : source.socket;
        // A connection that is reset at once does not open at its sender.
        setTimeout(() => socket.resetAndDestroy(), resetDelayMs);
      });
      this.entryVms.push(createMember(index, await listen(this, server)));
    }
  },
);

When(
  'a request is sent to a target that accepts no connection, with each of {int} seeds',
  async function (this: SenderWorld, seeds: number) {
    for (let seed = 1; seed <= seeds; seed++) {
      this.outcomes.push(await send(createSender(this, seed)));
    }
  },
);

When(
  '{int} requests in a row are sent to a target that accepts no connection',
  async function (this: SenderWorld, count: number) {
    this.sender ??= createSender(this, 1);
    for (let index = 0; index < count; index++) {
      this.outcomes.push(await send(this.sender));
    }
  },
);

When(
  'the entry VMs may be asked again after {int} ms',
  async function (durationMs: number) {
    await pause(durationMs);
  },
);

Then(
  'each of the requests is relayed to the target',
  function (this: SenderWorld) {
    const kinds = this.outcomes.map(({kind}) => kind);
    assert.deepEqual(new Set(kinds), new Set(['answer']), kinds.join(' '));
  },
);

Then(
  'the entry VMs were asked {int} times in all',
  function (this: SenderWorld, times: number) {
    assert.equal(this.asked, times);
  },
);

Then('each of the requests counts as sent', function (this: SenderWorld) {
  for (const outcome of this.outcomes) {
    assert.ok(outcome.kind === 'failed');
    assert.equal(outcome.isSent, true, outcome.message);
  }
});

function createMember(index: number, port: number): RelayMember {
  return {
    daemon: toId<DaemonId>(`entry-${index}`),
    dataCentre,
    relayAddress: `http://${host}:${port}`,
  };
}

async function startPeer(
  world: SenderWorld,
  reaches: boolean,
): Promise<number> {
  const server = http.createServer((request, response) => {
    world.asked += 1;
    request.resume();
    if (reaches) {
      const framing = encodeRelayFraming('length');
      response.writeHead(200, [...framing, 'Content-Length', '2']).end('ok');
      return;
    }
    const failure = encodeRelayFailure({
      reason: 'unreachable',
      isSent: false,
      isPeerFault: false,
      isLeaving: false,
    });
    const headers = [...failure, 'Content-Length', '0'];
    response.writeHead(badGatewayStatus, headers).end();
  });
  return listen(world, server);
}

async function listen(
  world: SenderWorld,
  server: http.Server,
): Promise<number> {
  await new Promise<void>((resolve) => {
    server.listen(0, host, resolve);
  });
  addCleanup(world, () => {
    server.close();
    return Promise.resolve();
  });
  return (server.address() as AddressInfo).port;
}

function createSender({entryVms}: SenderWorld, seed: number): TargetSender {
  const clock = SystemClock.create();
  const logger = EventLogger.createSilent();
  const agents = TargetAgents.create();
  const links = LinkMonitor.create({clock, logger});
  return TargetSender.create({
    daemon,
    clock,
    codec: {
      decodeResponse: () => ({isNotRun: false}),
    } as unknown as CallCodec,
    agents,
    links,
    prober: LinkProber.create({clock, links, agents}),
    peers: RelayPeers.create({
      daemon,
      dataCentre,
      clock,
      random: SeededRandom.create(seed),
      getMembers: () => entryVms,
    }),
  });
}

async function send(sender: TargetSender): Promise<ExchangeOutcome> {
  const {outcome} = await sender.send({
    target: createEntry(),
    createRequest: () => ({
      method: 'GET',
      path: '/',
      headers: ['Host', 'site.example'],
      body: undefined,
      requestId: 'r1',
    }),
    getHeadTimeoutMs: () => headTimeoutMs,
    signal: new AbortController().signal,
    onRelay: () => undefined,
  });
  if (outcome.kind === 'answer') outcome.body.discard();
  return outcome;
}

function createEntry(): TargetEntry {
  return {
    id: toId<TargetId>('target'),
    service: toId<ServiceId>('service'),
    // Nothing listens on this port.
    address: {host, port: 1},
    dataCentre,
    slots: 1,
    isDraining: false,
    startedAtMs: 1,
  };
}
