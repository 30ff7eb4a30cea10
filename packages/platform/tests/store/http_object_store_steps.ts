/** Steps for the contract of object API clients. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {isErrorOfKind, VirtualClock} from '@marigoldpost/common';
import {
  HttpObjectStore,
  type ObjectChanges,
  type ObjectStore,
} from '@marigoldpost/platform';
import {MemoryObjectStore, ObjectApiServer} from '@marigoldpost/standins';
import {addCleanup} from '../../../common/tests/fixtures/cleanup.js';

interface ObjectApiWorld extends World {
  memory: MemoryObjectStore;
  store: ObjectStore;
  server?: ObjectApiServer;
  client?: HttpObjectStore;
  clock: VirtualClock;
  changes: ObjectChanges[];
  error: unknown;
}

const timeoutMs = 1000;
const callDurationMs = 3_600_000;
const maxTurns = 200_000;

Given(
  'an object API over {word}',
  async function (this: ObjectApiWorld, transport: string) {
    this.clock = VirtualClock.create();
    // The server's clock does not advance, so that slow calls never end.
    this.memory = MemoryObjectStore.create({clock: VirtualClock.create()});
    this.store = this.memory;
    if (transport === 'socket') await startServer(this);
  },
);

When(
  'a client creates the objects a\\/1, a\\/2 and b\\/1 at the object API',
  async function (this: ObjectApiWorld) {
    for (const key of ['a/1', 'a/2', 'b/1']) {
      await this.store.createObject(key, `"${key}"`);
    }
  },
);

Then(
  'the object API gets a\\/1 and lists a\\/1 and a\\/2 under a\\/',
  async function (this: ObjectApiWorld) {
    const object = await this.store.getObject('a/1');
    assert.deepEqual(object, {key: 'a/1', value: '"a/1"', version: 1});
    const listed = await this.store.listObjects('a/');
    assert.deepEqual(
      listed.map(({key}) => key),
      ['a/1', 'a/2'],
    );
  },
);

Then(
  'the object API lists only a\\/2 after a\\/1',
  async function (this: ObjectApiWorld) {
    const options = {afterKey: 'a/1', limit: 1};
    const listed = await this.store.listObjects('a/', options);
    assert.deepEqual(
      listed.map(({key}) => key),
      ['a/2'],
    );
  },
);

Then(
  'the object API does not return a removed object',
  async function (this: ObjectApiWorld) {
    await this.store.removeObject('a/1', 1);
    await this.store.removeObject('a/1');
    assert.equal(await this.store.getObject('a/1'), undefined);
  },
);

Then(
  /^the object API answers (.*) with (\w+)$/,
  async function (this: ObjectApiWorld, write: string, kind: string) {
    const error = await getRejection(getWrite(this.store, write));
    assert.ok(isErrorOfKind(error), String(error));
    assert.equal(error.kind, kind);
    assert.equal((await this.memory.getObject('a/1'))?.version, 1);
  },
);

When(
  'a client waits for changes under a\\/ while a\\/1 is created and removed',
  async function (this: ObjectApiWorld) {
    const {signal} = new AbortController();
    const first = this.store.waitForChanges('a/', 0, signal);
    const {version} = await this.store.createObject('a/1', '1');
    const created = await first;
    const second = this.store.waitForChanges('a/', created.version, signal);
    await this.store.removeObject('a/1', version);
    this.changes = [created, await second];
  },
);

Then(
  'the watch of the object API reported the creation and the removal',
  function (this: ObjectApiWorld) {
    const [created, removed] = this.changes.map(({changes}) => changes[0]);
    assert.deepEqual(created?.object, {key: 'a/1', value: '1', version: 1});
    assert.equal(removed?.key, 'a/1');
    assert.equal(removed?.object, undefined);
    assert.ok((removed?.version ?? 0) > 1);
  },
);

When(
  /^a client (creates|reads) the object a\/1 while the object API has (.*)$/,
  async function (this: ObjectApiWorld, verb: string, fault: string) {
    await setFault(this, fault);
    const call =
      verb === 'creates'
        ? this.store.createObject('a/1', '1')
        : this.store.getObject('a/1');
    const rejection = getRejection(call);
    if (fault === 'a silence') await timeOut(this);
    this.error = await rejection;
  },
);

Then(
  /^the object API's client got (\w+) and the object (exists|is missing)$/,
  async function (this: ObjectApiWorld, kind: string, exists: string) {
    assert.ok(isErrorOfKind(this.error), String(this.error));
    assert.equal(this.error.kind, kind);
    this.memory.setOutage(false);
    this.memory.setCallDurationMs(0);
    const object = await this.memory.getObject('a/1');
    assert.equal(object !== undefined, exists === 'exists');
  },
);

async function startServer(
  world: ObjectApiWorld,
  writesPerSecond?: number,
): Promise<void> {
  const server = ObjectApiServer.create({store: world.memory, writesPerSecond});
  world.server = server;
  const address = await server.start();
  const {clock} = world;
  world.client = HttpObjectStore.create({address, timeoutMs, clock});
  world.store = world.client;
  const {client} = world;
  addCleanup(world, async () => {
    await server.kill();
    await client.close();
  });
}

async function setFault(world: ObjectApiWorld, fault: string): Promise<void> {
  switch (fault) {
    case 'an outage':
      return world.memory.setOutage(true);
    case 'a lost answer':
      return world.memory.loseNextWriteResponses(1);
    case 'a silence':
      return world.memory.setCallDurationMs(callDurationMs);
    case 'a dead process':
      return world.server?.kill();
    default:
      await world.server?.kill();
      return startServer(world, 0);
  }
}

/** Expires the client's timeout once the call has reached the server. */
async function timeOut(world: ObjectApiWorld): Promise<void> {
  const {memory, clock} = world;
  const countCalls = () => {
    const {reads, writes} = memory.getCallCounts();
    return reads + writes;
  };
  for (let turn = 0; turn < maxTurns && countCalls() === 0; turn++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  assert.equal(countCalls(), 1);
  await clock.advance(timeoutMs);
}

function getWrite(store: ObjectStore, write: string): Promise<unknown> {
  switch (write) {
    case 'a second create':
      return store.createObject('a/1', '2');
    case 'an update of an old one':
      return store.updateObject('a/1', '2', 7);
    case 'an update of none':
      return store.updateObject('a/9', '2', 1);
    case 'a removal of an old one':
      return store.removeObject('a/1', 7);
    default:
      return store.createObject('a/9', 'x'.repeat(1024 * 1024 + 1));
  }
}

function getRejection(promise: Promise<unknown>): Promise<unknown> {
  return promise.then(
    () => undefined,
    (error: unknown) => error,
  );
}
