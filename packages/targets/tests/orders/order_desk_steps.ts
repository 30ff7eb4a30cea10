/** Steps for the order sender and its fencing epochs. */
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
import {type EngineOrder, OrderSender} from '@marigoldpost/targets';
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
  sender: OrderSender;
  sentOrders: EngineOrder[];
  errors: MarigoldpostError[];
  checksFencing: boolean;
}

function createSender({store, clock, random}: OrderWorld): OrderSender {
  const dataCentre = toId<DataCentreId>('cat-lai');
  const loadsPerMinute = 3;
  return OrderSender.create({store, clock, random, dataCentre, loadsPerMinute});
}

async function sendOrder(
  world: OrderWorld,
  sender: OrderSender,
  kind: EngineOrder['kind'],
  checksFencing: boolean,
): Promise<void> {
  const {target, model} = ids;
  const engine = world.setup.client;
  const subject = model;
  const order = {target, engine, kind, subject, checksFencing};
  const error = await getRejection(
    sender
      .sendOrder(order)
      .then((sentOrder) => world.sentOrders.push(sentOrder)),
  );
  if (isErrorOfKind(error)) world.errors.push(error);
}

Given('an order sender with an epoch', async function (this: OrderWorld) {
  this.clock = VirtualClock.create();
  this.store = MemoryObjectStore.create({clock: this.clock});
  this.random = SeededRandom.create(1);
  this.setup = await createEngineSetup(this, 'memory', {checksFencing: true});
  this.sentOrders = [];
  this.errors = [];
  this.sender = createSender(this);
  await this.sender.acquireEpoch();
});

When(
  'the order sender sends 3 orders, restarts and sends 2 more',
  async function (this: OrderWorld) {
    for (let i = 0; i < 3; i++) {
      await sendOrder(this, this.sender, 'set_role', true);
    }
    const restartedSender = createSender(this);
    await restartedSender.acquireEpoch();
    for (let i = 0; i < 2; i++) {
      await sendOrder(this, restartedSender, 'set_role', true);
    }
  },
);

Then(
  'the fencing numbers of the sent orders increase',
  function (this: OrderWorld) {
    const numbers = this.sentOrders.map(({fencingNumber}) => fencingNumber);
    assert.equal(numbers.length, 5);
    assert.deepEqual(
      [...new Set(numbers)].sort((a, b) => a - b),
      numbers,
    );
    assert.equal(this.setup.engine.getOrders().length, 5);
  },
);

When(
  'another order sender acquires an epoch and the engine that {word} numbers has its order',
  async function (this: OrderWorld, checks: string) {
    const checksFencing = checks === 'checks';
    this.setup = await createEngineSetup(this, 'memory', {checksFencing});
    this.checksFencing = checksFencing;
    const newerSender = createSender(this);
    await newerSender.acquireEpoch();
    await sendOrder(this, newerSender, 'set_role', checksFencing);
  },
);

When(
  'the outdated order sender sends an order',
  async function (this: OrderWorld) {
    const numbers = this.sentOrders.length;
    const {checksFencing} = this;
    await sendOrder(this, this.sender, 'set_role', checksFencing);
    assert.equal(this.sentOrders.length, numbers);
  },
);

Then(
  "the outdated sender's order is fenced and the engine executed {int} order",
  function (this: OrderWorld, orders: number) {
    assert.deepEqual(
      this.errors.map(({kind}) => kind),
      ['fenced'],
    );
    assert.equal(this.setup.engine.getOrders().length, orders);
  },
);

When(
  'the order sender acquires an epoch again and the platform loses the answer',
  async function (this: OrderWorld) {
    await sendOrder(this, this.sender, 'set_role', true);
    this.store.loseNextWriteResponses(1);
    await this.sender.acquireEpoch();
  },
);

Then(
  'the sent order is executed with a greater number',
  async function (this: OrderWorld) {
    await sendOrder(this, this.sender, 'set_role', false);
    const [first, second] = this.setup.engine.getOrders();
    assert.ok(first !== undefined && second !== undefined);
    assert.ok(second.fencingNumber > first.fencingNumber);
    const object = await this.store.getObject('orders/cat-lai');
    assert.match(object?.value ?? '', /"number":2/);
  },
);

When(
  'the order sender orders 5 loads at once with 3 per minute allowed',
  async function (this: OrderWorld) {
    for (let i = 0; i < 5; i++) {
      await sendOrder(this, this.sender, 'load_model', true);
    }
  },
);

Then(
  'the engine executed {int} loads and the other loads wait {int} s',
  function (this: OrderWorld, loads: number, waitSeconds: number) {
    assert.equal(this.setup.engine.getOrders().length, loads);
    assert.deepEqual(
      this.errors.map(({kind, retryAfterMs}) => `${kind} ${retryAfterMs}`),
      Array.from({length: 2}, () => `limit_reached ${waitSeconds * 1000}`),
    );
  },
);
