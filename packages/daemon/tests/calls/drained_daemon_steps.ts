/** Steps for a daemon whose calls outlast its drain time. */
import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {
  type DaemonId,
  type DataCentreId,
  type ModelId,
  SeededRandom,
  type TargetId,
  toId,
  VirtualClock,
} from '@marigoldpost/common';
import {Daemon} from '@marigoldpost/daemon';
import {ConfigStore} from '@marigoldpost/operations';
import {defaultProcessLimits, parseOperatorsText} from '@marigoldpost/settings';
import {
  MemoryEngine,
  MemoryObjectStore,
  MemoryPeerNetwork,
  MemoryTargetClientFactory,
  MemoryVmList,
} from '@marigoldpost/standins';
import {EventLogger, Metrics} from '@marigoldpost/telemetry';
import {createHistoryConfig} from '../fixtures/history_config.js';
import {longCallTokens} from '../fixtures/long_call.js';

interface DrainedDaemonWorld extends World {
  clock: VirtualClock;
  daemon: Daemon;
  status: number;
  body: string;
  drainedMs: number;
}

const dataCentre = toId<DataCentreId>('cat-lai');
const name = toId<DaemonId>('entry-1');
const target = toId<TargetId>('plan-models-1');
const stepMs = 250;
const startMs = 10_000;
const msPerSecond = 1000;

/** Lets virtual time pass, and real time for the sockets, until a deadline. */
async function advanceUntil(
  clock: VirtualClock,
  isMet: () => boolean,
  timeoutMs: number,
): Promise<void> {
  const endMs = clock.nowMs() + timeoutMs;
  while (!isMet() && clock.nowMs() < endMs) {
    await clock.advance(stepMs);
    await sleep(2);
  }
}

function createEngine(clock: VirtualClock): MemoryEngine {
  return MemoryEngine.create({
    target,
    clock,
    random: SeededRandom.create(1),
    models: [toId<ModelId>('planner')],
    timeoutMs: 20_000,
    model: {reportsEachToken: true, stepBaseMs: msPerSecond},
    getOutputTokens: () => longCallTokens,
  });
}

Given(
  'a daemon alone in its fleet, with a drain time of {int} s',
  async function (this: DrainedDaemonWorld, drainSeconds: number) {
    const clock = VirtualClock.create();
    const random = SeededRandom.create(1);
    const store = MemoryObjectStore.create({clock}).createClient(name);
    const network = MemoryPeerNetwork.create({clock, delayMs: 1});
    const vmList = MemoryVmList.create({clock, lagMs: 0});
    const targetClients = MemoryTargetClientFactory.create();
    targetClients.addEngine(target, createEngine(clock));
    const address = `memory://${target}`;
    vmList.setVm({name: target, dataCentre, address, state: 'live'});
    this.clock = clock;
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
        drainMs: drainSeconds * msPerSecond,
      },
      clock,
      random,
      store,
      vmList,
      transport: network.createTransport(name, clock),
      peerAddress: `memory://${name}`,
      logger: EventLogger.createSilent(),
      metrics: Metrics.create(),
      targetClients,
    });
    const parse = parseOperatorsText;
    const configs = ConfigStore.create({store, clock, random, parse});
    const text = createHistoryConfig(0);
    const change = {text, baseVersion: 0, author: 'ngoc', why: 'first text'};
    const started = configs.applyChange(change).then(() => this.daemon.start());
    const {core} = this.daemon;
    const isHeld = () => core.manager.getPartitions().length === 4;
    await advanceUntil(clock, isHeld, startMs);
    await started;
  },
);

When(
  'it drains during a call of {int} s',
  async function (this: DrainedDaemonWorld, callSeconds: number) {
    const {clock, daemon} = this;
    const url = `http://127.0.0.1:${daemon.callerPort}/v1/chat/completions`;
    const messages = [{role: 'user', content: 'plan the whole week'}];
    const reading = fetch(url, {
      method: 'POST',
      headers: {authorization: 'Bearer planners-key'},
      body: JSON.stringify({
        model: 'planner',
        messages,
        max_tokens: longCallTokens,
      }),
    }).then(async (response) => {
      this.status = response.status;
      this.body = await response.text();
    });
    reading.catch(() => undefined);
    const hasWork = () =>
      daemon.core.runner.countCalls(() => true).inFlight > 0;
    await advanceUntil(clock, hasWork, startMs);
    assert.ok(hasWork(), 'the call is not in flight');
    const drainStartMs = clock.nowMs();
    let isDrained = false;
    const drained = daemon.drain().then(() => {
      isDrained = true;
    });
    await advanceUntil(clock, () => isDrained, callSeconds * 2 * msPerSecond);
    await drained;
    this.drainedMs = clock.nowMs() - drainStartMs;
    await reading;
  },
);

Then(
  'the caller of the drained daemon receives {int} {string}',
  function (this: DrainedDaemonWorld, status: number, kind: string) {
    assert.equal(this.status, status);
    const {error} = JSON.parse(this.body) as {error: {kind: string}};
    assert.equal(error.kind, kind);
  },
);

Then(
  'the daemon has stopped within {int} s',
  function (this: DrainedDaemonWorld, seconds: number) {
    assert.ok(this.drainedMs <= seconds * msPerSecond, `${this.drainedMs} ms`);
  },
);
