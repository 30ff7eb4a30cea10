/** Steps for a daemon of the command line that a crowd of clients comes to. */
import assert from 'node:assert/strict';
import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm} from 'node:fs/promises';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {create} from '@bufbuild/protobuf';
import {After, Given, Then, When, type World} from '@cucumber/cucumber';
import {
  type DaemonId,
  type DataCentreId,
  getDigest,
  isErrorOfKind,
  SeededRandom,
  SystemClock,
  toId,
} from '@marigoldpost/common';
import {ConfigStore} from '@marigoldpost/operations';
import {ConnectPeerTransport, FetchConfigSchema} from '@marigoldpost/peers';
import {parseOperatorsText} from '@marigoldpost/settings';
import {findFreePort, StandinSite} from '@marigoldpost/standins';
import {
  ClientCrowd,
  type CrowdRequests,
  type CrowdShape,
} from '../../../../platform/tests/fixtures/client_crowd.js';
import {readDeployedArguments} from '../../../../platform/tests/fixtures/deployed_arguments.js';
import {waitUntil} from '../../../../platform/tests/fixtures/wait_until.js';
import {checkUse} from '../../../../platform/tests/process/client_crowd_steps.js';
import {ProcessUse} from '../../../../platform/tests/process/process_use.js';
import {endWithParent} from '../../../../platform/tests/soak/child_processes.js';
import {PeerCrowd, type PeerCrowdShape} from './peer_crowd.js';
import {ServeProcess} from './serve_process.js';

interface ServeWorld extends World {
  daemonSite: StandinSite | undefined;
  daemonTargets: http.Server[];
  daemonFolder: string;
  daemonPorts: {callers: number; peers: number};
  daemonProcess: ServeProcess;
  daemonUse: ProcessUse;
  daemonCrowd: {leave(): Promise<void>} | undefined;
  daemonCrowdProcess: ChildProcess | undefined;
}

const host = '127.0.0.1';
const stepTimeoutMs = 90_000;
const startTimeoutMs = 20_000;
const answerTimeoutMs = 20_000;
/** Time in which a process gives back what a crowd cost. */
const recoveryMs = 60_000;
const requestTimeoutMs = 1000;
const drainMs = 2000;
const dataCentre = toId<DataCentreId>('north');
const key = 'agents-example-key';
const okStatus = 200;
/** Size of a large response. */
const fileBytes = 200_000;
const clock = SystemClock.create();
const crowdProgram = new URL(
  '../../../../platform/tests/fixtures/crowd_process.js',
  import.meta.url,
);
/** Paths, key and sizes below the limits of the daemon. */
const requests: CrowdRequests = {
  headers: [`Authorization: Bearer ${key}`],
  statusPath: '/v1/services/tools/status/x',
  bookingPath: '/v1/services/files/book/x',
  headBytes: 15_000,
  bodyBytes: 1_000_000,
};
const peerShapes: readonly string[] = [
  'messages that do not end',
  'streams without requests',
  'requests whose replies they do not read',
] satisfies PeerCrowdShape[];

After(async function (this: ServeWorld) {
  if (this.daemonSite === undefined) return;
  (this.daemonUse as ProcessUse | undefined)?.stop();
  this.daemonCrowdProcess?.kill('SIGKILL');
  await this.daemonCrowd?.leave();
  await (this.daemonProcess as ServeProcess | undefined)?.stop();
  for (const target of this.daemonTargets) {
    target.close();
    target.closeAllConnections();
  }
  await this.daemonSite.stop();
  await rm(this.daemonFolder, {recursive: true, force: true});
});

Given(
  'a daemon of "marigoldpost serve" with {int} MB and {int} descriptors',
  {timeout: stepTimeoutMs},
  async function (this: ServeWorld, memoryMb: number, maxDescriptors: number) {
    this.daemonTargets = [];
    const site = StandinSite.create({
      dataCentres: [dataCentre],
      services: [],
      seed: 1,
    });
    this.daemonSite = site;
    this.daemonFolder = await mkdtemp(
      path.join(tmpdir(), 'marigoldpost-serve-'),
    );
    const addresses = await site.start();
    const tools = await startTarget(this, 'ok');
    const files = await startTarget(this, 'x'.repeat(fileBytes));
    await applyConfig(site, createConfig(tools, files));
    const [callers, peers] = [await findFreePort(), await findFreePort()];
    this.daemonPorts = {callers, peers};
    const settings = `
[daemon]
name = entry-1
data_centre = ${dataCentre}
drain_ms = ${drainMs}
[callers]
host = ${host}
port = ${callers}
max_body_bytes = 1048576
[peers]
host = ${host}
port = ${peers}
[platform]
address = ${addresses.platformAddress}
vm_list_address = ${addresses.vmListAddress}
[limits]
memory_mb = ${memoryMb}
max_descriptors = ${maxDescriptors}
[log]
level = warn
`;
    const execArgs = await readDeployedArguments();
    const folder = this.daemonFolder;
    this.daemonProcess = await ServeProcess.start({folder, settings, execArgs});
    this.daemonUse = ProcessUse.watch(this.daemonProcess);
    await waitUntil(() => {
      assert.ok(this.daemonProcess.isRunning, 'the process has ended');
      return isCallAnswered(callers);
    }, startTimeoutMs);
  },
);

When(
  /^(\d+) clients come to the (callers|metrics|peers) port of the daemon with (.+)$/,
  {timeout: stepTimeoutMs},
  async function (
    this: ServeWorld,
    clients: string,
    portName: string,
    shape: string,
  ) {
    const {callers, peers} = this.daemonPorts;
    const port = portName === 'peers' ? peers : callers;
    const address = {host, port};
    const count = Number(clients);
    this.daemonCrowd = peerShapes.includes(shape)
      ? await PeerCrowd.come(address, count, shape as PeerCrowdShape)
      : await ClientCrowd.come(address, count, shape as CrowdShape, {
          ...requests,
          ...(portName === 'metrics' ? {statusPath: '/metrics'} : {}),
        });
  },
);

When(
  /^another process has (\d+) clients come to the daemon with (.+)$/,
  {timeout: stepTimeoutMs},
  async function (this: ServeWorld, clients: string, shape: string) {
    const program = fileURLToPath(crowdProgram);
    const port = String(this.daemonPorts.callers);
    const args = [program, host, port, clients, shape];
    const child = spawn(process.execPath, [...args, JSON.stringify(requests)], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    this.daemonCrowdProcess = child;
    endWithParent(child);
    await once(child.stdout, 'data');
  },
);

When(
  "the daemon's other process has been killed",
  async function (this: ServeWorld) {
    const child = this.daemonCrowdProcess;
    assert.ok(child);
    const ended = once(child, 'exit');
    child.kill('SIGKILL');
    await ended;
  },
);

When(
  "the clients of the daemon's crowd have left",
  function (this: ServeWorld) {
    return this.daemonCrowd?.leave();
  },
);

When('the daemon drains', function (this: ServeWorld) {
  this.daemonProcess.signal('SIGTERM');
});

Then(
  /^the daemon answers an ordinary request at its (callers|metrics|peers) port$/,
  {timeout: stepTimeoutMs},
  async function (this: ServeWorld, portName: string) {
    const {callers, peers} = this.daemonPorts;
    await waitUntil(() => {
      assert.ok(this.daemonProcess.isRunning, 'the process has ended');
      if (portName === 'peers') return isPeerAnswered(peers);
      if (portName === 'metrics') return isPageAnswered(callers, '/metrics');
      return isCallAnswered(callers);
    }, answerTimeoutMs);
  },
);

Then(
  'the daemon has used {int} MB and {int} descriptors at most',
  async function (this: ServeWorld, maxMb: number, maxDescriptors: number) {
    await this.daemonUse.measure();
    checkUse(this, this.daemonUse, maxMb, maxDescriptors);
  },
);

Then(
  'the daemon uses less than {int} MB and {int} descriptors again',
  {timeout: stepTimeoutMs},
  async function (this: ServeWorld, mb: number, descriptors: number) {
    let seen = {memoryMb: 0, descriptors: 0};
    const isBelow = async () => {
      // Garbage is collected only while the process serves.
      await isCallAnswered(this.daemonPorts.callers);
      seen = await this.daemonUse.getCurrent();
      return seen.memoryMb < mb && seen.descriptors < descriptors;
    };
    try {
      await waitUntil(isBelow, recoveryMs);
    } finally {
      const shownMb = Math.round(seen.memoryMb);
      this.log(`in the end ${shownMb} MB, ${seen.descriptors} descriptors`);
    }
  },
);

Then(
  'the daemon ends by itself',
  {timeout: stepTimeoutMs},
  async function (this: ServeWorld) {
    const {daemonProcess} = this;
    await waitUntil(() => !daemonProcess.isRunning, answerTimeoutMs);
    assert.equal(daemonProcess.exitCode, 0, 'the process did not end cleanly');
  },
);

async function startTarget(world: ServeWorld, body: string): Promise<string> {
  const server = http.createServer((request, response) => {
    request.resume();
    request.once('end', () => response.end(body));
  });
  world.daemonTargets.push(server);
  server.listen(0, host);
  await once(server, 'listening');
  return `http://${host}:${(server.address() as AddressInfo).port}`;
}

function createConfig(tools: string, files: string): string {
  return `
[fleet]
partitions_per_data_centre = 4
[data_centre ${dataCentre}]
region = north
[service tools]
kind = plain
is_idempotent = yes
timeout_ms = 5000
[service files]
kind = plain
is_idempotent = yes
timeout_ms = 5000
[target tools-1]
service = tools
data_centre = ${dataCentre}
address = ${tools}
[target files-1]
service = files
data_centre = ${dataCentre}
address = ${files}
[team agents]
approved = yes
key_hashes = ${getDigest(key)}
services = tools, files
[operator ops]
key_hashes = ${getDigest('ops-example-key')}
`;
}

async function applyConfig(site: StandinSite, text: string): Promise<void> {
  const random = SeededRandom.create(1);
  const {store} = site;
  const parse = parseOperatorsText;
  const configs = ConfigStore.create({store, clock, random, parse});
  const change = {text, baseVersion: 0, author: 'test', why: 'first text'};
  await configs.applyChange(change);
}

function isCallAnswered(port: number): Promise<boolean> {
  return isPageAnswered(port, '/v1/services/tools/status/x');
}

/** Whether a request is answered over a new connection. */
function isPageAnswered(port: number, pagePath: string): Promise<boolean> {
  return new Promise((resolve) => {
    const request = http.get({
      host,
      port,
      path: pagePath,
      headers: {Authorization: `Bearer ${key}`},
      agent: false,
      timeout: requestTimeoutMs,
    });
    request.on('error', () => resolve(false));
    request.once('timeout', () => request.destroy());
    request.once('response', (response) => {
      response.resume();
      response.once('close', () =>
        resolve(response.statusCode === okStatus && response.complete),
      );
    });
  });
}

/** Whether the daemon answers a peer over a new connection. */
async function isPeerAnswered(port: number): Promise<boolean> {
  const daemon = toId<DaemonId>('client');
  const transport = ConnectPeerTransport.create({daemon, host, port: 0, clock});
  const peer = {
    daemon: toId<DaemonId>('entry-1'),
    address: `http://${host}:${port}`,
  };
  const value = create(FetchConfigSchema);
  try {
    const options = {timeoutMs: requestTimeoutMs};
    const reply = await transport.ask(
      peer,
      {case: 'fetchConfig', value},
      options,
    );
    return reply.case === 'config';
  } catch (error) {
    if (isErrorOfKind(error, 'peer_unavailable')) return false;
    if (isErrorOfKind(error, 'peer_lost')) return false;
    throw error;
  } finally {
    await transport.stop();
  }
}
