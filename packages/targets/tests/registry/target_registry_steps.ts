/** Steps for the target registry and its circuit breakers. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {
  type CallId,
  type ErrorKind,
  type Fingerprint,
  MarigoldpostError,
  type Outcome,
  type ProgramId,
  type TargetId,
  toId,
  VirtualClock,
} from '@marigoldpost/common';
import type {MemoryEngine} from '@marigoldpost/standins';
import {
  CircuitBreaker,
  HttpEngineClient,
  type TargetDeath,
  type TargetRegistry,
  type TargetWork,
} from '@marigoldpost/targets';
import {addCleanup} from '../../../common/tests/fixtures/cleanup.js';
import {
  createRegistrySetup,
  createSocketRegistry,
  type RegistrySetup,
} from '../fixtures/registry_fixtures.js';
import {
  createEngineRequest,
  createEngineSetup,
  runUntilSettled,
  type EngineSetup,
  ids,
  readStream,
} from '../fixtures/target_fixtures.js';

interface RegistryWorld extends World {
  setup: RegistrySetup;
  breaker: CircuitBreaker;
  socketRegistry: TargetRegistry;
  socketEngine: EngineSetup;
  socketDeaths: TargetDeath[];
}

const socketFaults: Readonly<Record<string, (engine: MemoryEngine) => void>> = {
  'crashes on the request': ({faults}) => faults.setCrashText('Cai Mep'),
  'truncates the answer': ({faults}) => faults.addTruncations(0),
  'does not know the model': ({model}) => model.setModels([]),
};
const settleMs = 2500;
const truncatedError = MarigoldpostError.create('stream_truncated', 'cut');

Given(
  'a registry in cat-lai with {int} engines there and {int} in cai-mep',
  function (this: RegistryWorld, own: number, others: number) {
    const setup = createRegistrySetup(own, others);
    this.setup = setup;
    addCleanup(this, () => setup.registry.stop());
  },
);

When('the registry has read the VM list', async function (this: RegistryWorld) {
  const {registry, clock} = this.setup;
  await registry.start();
  await clock.advance(settleMs);
});

When(
  'the VM of {word} starts leaving',
  function (this: RegistryWorld, target: string) {
    this.setup.vmList.setState(target, 'leaving');
  },
);

When(
  "the registry's clock advances by {int} ms",
  async function (this: RegistryWorld, elapsedMs: number) {
    await this.setup.clock.advance(elapsedMs);
  },
);

When(
  "the registry's VM list is unavailable for {int} ms",
  async function (this: RegistryWorld, elapsedMs: number) {
    const {vmList, clock} = this.setup;
    vmList.setOutage(true);
    await clock.advance(elapsedMs);
  },
);

When(
  /^(\d) requests run on (\S+) and (the engine dies|one is cut)$/,
  async function (
    this: RegistryWorld,
    count: string,
    target: string,
    fault: string,
  ) {
    const {registry, engines} = this.setup;
    const id = toId<TargetId>(target);
    const work = Array.from({length: Number(count)}, (_unused, index) =>
      createWork(id, index),
    );
    for (const one of work) registry.recordStart(one);
    const hasDied = fault === 'the engine dies';
    if (hasDied) engines.get(id)?.kill();
    const failedWork = hasDied ? work : work.slice(0, 1);
    const deathChecks = await Promise.all(
      failedWork.map((one) => registry.recordFailure(one, truncatedError)),
    );
    assert.ok(deathChecks.every((hasTargetDied) => hasTargetDied === hasDied));
  },
);

When(
  /^4 requests on (\S+) fail with (\w+) (\w+) while it is (alive|dead)$/,
  async function (
    this: RegistryWorld,
    target: string,
    kind: ErrorKind,
    outcome: Outcome,
    alive: string,
  ) {
    const {registry, engines, clock} = this.setup;
    const id = toId<TargetId>(target);
    if (alive === 'dead') engines.get(id)?.kill();
    const error = MarigoldpostError.create(kind, 'failed', {outcome});
    for (let index = 0; index < 4; index++) {
      const work = createWork(id, index);
      registry.recordStart(work);
      assert.equal(await registry.recordFailure(work, error), false);
    }
    await clock.advance(1);
  },
);

When(
  "{word} restarts and the registry's clock advances by {int} ms",
  async function (this: RegistryWorld, target: string, elapsedMs: number) {
    const {engines, clock} = this.setup;
    // Lets the registry poll the dead engine at least once before the restart.
    await clock.advance(600);
    engines.get(toId<TargetId>(target))?.restart();
    await clock.advance(elapsedMs);
  },
);

When(
  '{word} stores {int} blocks one by one and keeps only the last 10 events',
  function (this: RegistryWorld, target: string, count: number) {
    const engine = this.setup.engines.get(toId<TargetId>(target));
    const program = toId<ProgramId>('cat-lai.0.abc');
    for (let block = 1; block <= count; block++) {
      engine?.importProgram(program, [`block-${block}`]);
    }
  },
);

Then(
  'the registry lists the engines {word}',
  function (this: RegistryWorld, listed: string) {
    const targets = this.setup.registry.getTargets();
    assert.equal(targets.map(({id}) => id).join(',') || 'none', listed);
  },
);

Then(
  'the registry has plan-cat-lai-1 as {word} and plan-cat-lai-2 as {word}',
  function (this: RegistryWorld, first: string, second: string) {
    const targets = this.setup.registry.getTargets();
    assert.deepEqual(
      targets.map(({state}) => state),
      [first, second],
    );
    const mayStart = ['open', 'probing'];
    for (const {state, isOpen} of targets) {
      assert.equal(isOpen, mayStart.includes(state));
    }
  },
);

Then(
  'the registry still returns the client of {word}',
  function (this: RegistryWorld, target: string) {
    const {registry, engines} = this.setup;
    const id = toId<TargetId>(target);
    assert.equal(registry.getEngineClientOrThrow(id), engines.get(id));
    assert.ok(!(engines.get(id) instanceof HttpEngineClient));
  },
);

Then(
  /^the registry reports (\d) deaths? with (\d) requests$/,
  function (this: RegistryWorld, deaths: string, requests: string) {
    const reportedDeaths = this.setup.deaths;
    assert.equal(reportedDeaths.length, Number(deaths));
    const interruptedRequests = reportedDeaths.flatMap(
      ({fingerprints}) => fingerprints,
    );
    assert.equal(new Set(interruptedRequests).size, Number(requests));
  },
);

Then(
  'only one request may start on {word} until it succeeds',
  function (this: RegistryWorld, target: string) {
    const {registry} = this.setup;
    const id = toId<TargetId>(target);
    const probe = createWork(id, 9);
    registry.recordStart(probe);
    assert.equal(registry.getTarget(id)?.isOpen, false);
    registry.recordSuccess(probe);
    assert.equal(registry.getTarget(id)?.isOpen, true);
    assert.equal(registry.getTarget(id)?.state, 'open');
  },
);

Then(
  'the registry notified its listeners that the cache of {word} is empty',
  function (this: RegistryWorld, _target: string) {
    const kinds = this.setup.cacheEvents.map(({kind}) => kind);
    assert.deepEqual(kinds, ['cleared']);
  },
);

Then(
  'the registry reported the events {int} to {int} of {word} once each',
  function (this: RegistryWorld, first: number, last: number, _id: string) {
    const reportedSequences = this.setup.cacheEvents.map(
      ({sequence}) => sequence,
    );
    const expected = Array.from(
      {length: last - first + 1},
      (_unused, index) => first + index,
    );
    assert.deepEqual(reportedSequences, expected);
  },
);

Given(
  /^a registry of one engine over a socket that (.*)$/,
  async function (this: RegistryWorld, fault: string) {
    const setup = await createEngineSetup(this, 'socket');
    socketFaults[fault]?.(setup.engine);
    const registry = createSocketRegistry(ids.target, setup.address);
    this.socketEngine = setup;
    this.socketDeaths = [];
    this.socketRegistry = registry;
    registry.addListener({
      onTargetDied: (death) => this.socketDeaths.push(death),
    });
    addCleanup(this, () => registry.stop());
  },
);

When(
  "a request runs on the registry's engine over the socket",
  async function (this: RegistryWorld) {
    const registry = this.socketRegistry;
    const work = createWork(ids.target, 0);
    registry.recordStart(work);
    const client = registry.getEngineClientOrThrow(ids.target);
    const reading = readStream(client, createEngineRequest());
    const {error} = await runUntilSettled(this.socketEngine.clock, reading);
    assert.ok(error !== undefined);
    await registry.recordFailure(work, error);
  },
);

Then(
  'the registry over the socket saw {int} deaths and has the engine as {word}',
  function (this: RegistryWorld, deaths: number, state: string) {
    assert.equal(this.socketDeaths.length, deaths);
    assert.equal(this.socketRegistry.getTarget(ids.target)?.state, state);
  },
);

When(
  /^a circuit breaker goes through (.*)$/,
  function (this: RegistryWorld, script: string) {
    const clock = VirtualClock.create();
    const options = {failuresToOpen: 3, baseOpenMs: 500, maxOpenMs: 10_000};
    const breaker = CircuitBreaker.create(options, clock);
    this.breaker = breaker;
    for (const word of script.split(' ')) {
      if (word === 'ok') breaker.recordSuccess();
      else if (word === 'start') breaker.recordStart();
      else if (word === 'fail') breaker.recordFailure(false);
      else if (word === 'fatal') breaker.recordFailure(true);
      else if (word !== 'nothing') clock.skip(Number(word));
    }
  },
);

Then(
  /^the circuit breaker is (\w+) and (takes|refuses) a request$/,
  function (this: RegistryWorld, state: string, takes: string) {
    assert.equal(this.breaker.getState(), state);
    assert.equal(this.breaker.canStart(), takes === 'takes');
  },
);

function createWork(target: TargetId, index: number): TargetWork {
  return {
    target,
    callId: toId<CallId>(`call-${index}`),
    fingerprint: toId<Fingerprint>(`request-${index}`),
  };
}
