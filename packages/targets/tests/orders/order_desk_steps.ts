/** Steps for orders to engines. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {
  type DataCentreId,
  isErrorOfKind,
  type MarigoldpostError,
  SeededRandom,
  toId,
  VirtualClock,
} from '@marigoldpost/common';
import {MemoryObjectStore} from '@marigoldpost/standins';
import {type EngineOrder, OrderDesk} from '@marigoldpost/targets';
import {
  createEngineSetup,
  type EngineSetup,
  getRejection,
  ids,
} from '../fixtures/target_fixtures.js';

interface OrderWorld extends World {
  clock: VirtualClock;
  store: MemoryObjectStore;
  random: SeededRandom;
  setup: EngineSetup;
  desk: OrderDesk;
  given: EngineOrder[];
  errors: MarigoldpostError[];
  checksFencing: boolean;
}

function createDesk({store, clock, random}: OrderWorld): OrderDesk {
  const dataCentre = toId<DataCentreId>('cat-lai');
  const loadsPerMinute = 3;
  return OrderDesk.create({store, clock, random, dataCentre, loadsPerMinute});
}

async function giveOrder(
  world: OrderWorld,
  desk: OrderDesk,
  kind: EngineOrder['kind'],
  checksFencing: boolean,
): Promise<void> {
  const {target, model} = ids;
  const engine = world.setup.client;
  const subject = model;
  const order = {target, engine, kind, subject, checksFencing};
  const error = await getRejection(
    desk.giveOrder(order).then((given) => world.given.push(given)),
  );
  if (isErrorOfKind(error)) world.errors.push(error);
}

Given('a desk for orders with an epoch', async function (this: OrderWorld) {
  this.clock = VirtualClock.create();
  this.store = MemoryObjectStore.create({clock: this.clock});
  this.random = SeededRandom.create(1);
  this.setup = await createEngineSetup(this, 'memory', {checksFencing: true});
  this.given = [];
  this.errors = [];
  this.desk = createDesk(this);
  await this.desk.acquireEpoch();
});

When(
  'the desk gives 3 orders, restarts and gives 2 more',
  async function (this: OrderWorld) {
    for (let i = 0; i < 3; i++) {
      await giveOrder(this, this.desk, 'set_role', true);
    }
    const restarted = createDesk(this);
    await restarted.acquireEpoch();
    for (let i = 0; i < 2; i++) {
      await giveOrder(this, restarted, 'set_role', true);
    }
  },
);

Then(
  "the fencing numbers of the desk's orders grow",
  function (this: OrderWorld) {
    const numbers = this.given.map(({fencingNumber}) => fencingNumber);
    assert.equal(numbers.length, 5);
    assert.deepEqual(
      [...new Set(numbers)].sort((a, b) => a - b),
      numbers,
    );
    assert.equal(this.setup.engine.getOrders().length, 5);
  },
);

When(
  'another desk draws an epoch and the engine that {word} numbers has its order',
  async function (this: OrderWorld, checks: string) {
    const checksFencing = checks === 'checks';
    this.setup = await createEngineSetup(this, 'memory', {checksFencing});
    this.checksFencing = checksFencing;
    const newer = createDesk(this);
    await newer.acquireEpoch();
    await giveOrder(this, newer, 'set_role', checksFencing);
  },
);

When('the older desk gives an order', async function (this: OrderWorld) {
  const numbers = this.given.length;
  const {checksFencing} = this;
  await giveOrder(this, this.desk, 'set_role', checksFencing);
  assert.equal(this.given.length, numbers);
});

Then(
  "the older desk's order is fenced and the engine carried out {int} order",
  function (this: OrderWorld, orders: number) {
    assert.deepEqual(
      this.errors.map(({kind}) => kind),
      ['fenced'],
    );
    assert.equal(this.setup.engine.getOrders().length, orders);
  },
);

When(
  'the desk draws again and the platform loses the answer',
  async function (this: OrderWorld) {
    await giveOrder(this, this.desk, 'set_role', true);
    this.store.loseNextAnswers(1);
    await this.desk.acquireEpoch();
  },
);

Then(
  "the desk's order is carried out with a greater number",
  async function (this: OrderWorld) {
    await giveOrder(this, this.desk, 'set_role', false);
    const [first, second] = this.setup.engine.getOrders();
    assert.ok(first !== undefined && second !== undefined);
    assert.ok(second.fencingNumber > first.fencingNumber);
    const object = await this.store.getObject('orders/cat-lai');
    assert.match(object?.value ?? '', /"number":2/);
  },
);

When(
  'the desk orders 5 loads at once with 3 a minute allowed',
  async function (this: OrderWorld) {
    for (let i = 0; i < 5; i++) {
      await giveOrder(this, this.desk, 'load_model', true);
    }
  },
);

Then(
  "the engine carried out {int} loads and the desk's other loads wait {int} s",
  function (this: OrderWorld, loads: number, waitSeconds: number) {
    assert.equal(this.setup.engine.getOrders().length, loads);
    assert.deepEqual(
      this.errors.map(({kind, retryAfterMs}) => `${kind} ${retryAfterMs}`),
      Array.from({length: 2}, () => `limit_reached ${waitSeconds * 1000}`),
    );
  },
);
