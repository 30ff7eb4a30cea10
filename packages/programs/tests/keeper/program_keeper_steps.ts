/** Steps for the keeper of programs. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {
  isErrorOfKind,
  toId,
  type IdempotencyKey,
  type PartitionId,
  type ProgramId,
  type TeamId,
} from '@marigoldpost/common';
import {
  getProgramForKey,
  type CallTicket,
  type CallTraits,
  type ProgramKeeper,
} from '@marigoldpost/programs';
import {
  booking,
  createBooking,
  createBookingAnswer,
  createChatAnswer,
  createChatCall,
  createKeeperFixture,
  createReport,
  createSignal,
  engine,
  idempotent,
  once,
  readAll,
  runBooking,
  runChat,
  team,
  wideBudget,
  type KeeperFixture,
} from '../fixtures/keeper_fixture.js';

interface KeeperWorld extends World {
  fixture: KeeperFixture;
  keeper: ProgramKeeper;
  tickets: CallTicket[];
  program: ProgramId;
  error: unknown;
  programs: ProgramId[];
}

const otherTeam = toId<TeamId>('pitch-bookers');
const deduplicated: CallTraits = {isIdempotent: false, deduplicatesByKey: true};
const recoveryMs = 10_000;
const repeats = 10;

Given('a keeper of programs', async function (this: KeeperWorld) {
  this.fixture = createKeeperFixture();
  this.keeper = await this.fixture.openKeeper();
});

/** Opens a program with a budget. */
async function addProgram(
  world: KeeperWorld,
  budget = wideBudget,
  parent?: ProgramId,
): Promise<ProgramId> {
  const adding = world.keeper.addProgram({team, budget, parent});
  return (await world.fixture.settle(adding)).program;
}

/** Runs one chat of a program. */
async function chat(world: KeeperWorld, program: ProgramId, text = 'ok') {
  const ticket = world.keeper.admitCall(createChatCall({program}), idempotent);
  await world.fixture.settle(runChat(ticket, text));
  return ticket;
}

When(
  'the same keyed booking is sent to the keeper twice at once',
  async function (this: KeeperWorld) {
    const first = createBooking('key-1');
    const second = createBooking('key-1');
    this.tickets = [first, second].map((call) =>
      this.keeper.admitCall(call, once),
    );
    await this.fixture.settle(runBooking(this.tickets[0]!));
  },
);

Then(
  'the keeper lets one of them run and both get its answer',
  async function (this: KeeperWorld) {
    const owners = this.tickets.map(({isOwner}) => isOwner);
    assert.deepEqual(owners, [true, false]);
    for (const ticket of this.tickets) {
      const last = (await readAll(ticket)).at(-1);
      assert.ok(last?.kind === 'finished');
      assert.deepEqual(last.answer, createBookingAnswer());
    }
  },
);

/** Brings about the reason of a refusal; gives the call to refuse. */
async function prepareRefusal(world: KeeperWorld, reason: string) {
  const {clock} = world.fixture;
  if (reason === 'program does not exist') {
    return createChatCall({program: toId<ProgramId>('cat-lai.0.nobody')});
  }
  if (reason === 'key was used for another request') {
    const first = world.keeper.admitCall(createBooking('key-1'), once);
    await world.fixture.settle(runBooking(first));
    const {request} = createBooking('key-1');
    return createBooking('key-1', {request: {...request, body: 'other'}});
  }
  const maxTokens = reason.startsWith('worst case') ? 50 : 1_000_000;
  const maxCalls = reason.endsWith('all its calls') ? 1 : 1_000;
  const program = await addProgram(world, {...wideBudget, maxTokens, maxCalls});
  if (reason.endsWith('all its calls')) await chat(world, program);
  if (reason.endsWith('ended')) {
    await world.fixture.settle(world.keeper.endProgram(team, program));
  }
  if (reason.endsWith('time is over')) {
    await chat(world, program);
    clock.skip(wideBudget.maxWallMs + 1);
  }
  if (reason.endsWith('repeats itself')) {
    for (let count = 0; count < repeats; count++) await chat(world, program);
  }
  const isOthers = reason.endsWith("another team's");
  return createChatCall({program, team: isOthers ? otherTeam : team});
}

When(
  /^the keeper gets a call whose (.*)$/,
  async function (this: KeeperWorld, reason: string) {
    const call = await prepareRefusal(this, reason);
    try {
      this.keeper.admitCall(call, call.kind === 'chat' ? idempotent : once);
    } catch (error) {
      this.error = error;
    }
  },
);

Then(
  'the keeper refuses the call as {word} and not run',
  function (this: KeeperWorld, kind: string) {
    assert.ok(isErrorOfKind(this.error));
    assert.equal(this.error.kind, kind);
    assert.equal(this.error.outcome, 'not_run');
  },
);

When(
  'a program with a budget for two calls has two sub-agents that call at once',
  async function (this: KeeperWorld) {
    this.program = await addProgram(this, {...wideBudget, maxCalls: 2});
    const children = [
      await addProgram(this, wideBudget, this.program),
      await addProgram(this, wideBudget, this.program),
    ];
    this.tickets = children.map((program) =>
      this.keeper.admitCall(createChatCall({program}), idempotent),
    );
  },
);

Then(
  'the keeper runs the calls of both sub-agents side by side',
  async function (this: KeeperWorld) {
    const {settle} = this.fixture;
    for (const ticket of this.tickets) {
      const turn = await settle(ticket.waitForTurn(createSignal()));
      assert.equal(turn.rootProgram, this.program);
      await settle(ticket.commitDispatch(engine));
    }
    const report = createReport(engine);
    for (const ticket of this.tickets) {
      await settle(ticket.complete(createChatAnswer('ok'), report));
    }
  },
);

Then(
  "the keeper refuses the parent's next call as budget_exceeded",
  function (this: KeeperWorld) {
    const call = createChatCall({program: this.program});
    assert.throws(
      () => this.keeper.admitCall(call, idempotent),
      (error) => isErrorOfKind(error, 'budget_exceeded'),
    );
  },
);

When(
  'a program that ran on a target ends at the keeper',
  async function (this: KeeperWorld) {
    this.program = await addProgram(this);
    await chat(this, this.program);
    await this.fixture.settle(this.keeper.endProgram(team, this.program));
  },
);

Then(
  'the keeper names the target for release, and so does its successor',
  async function (this: KeeperWorld) {
    const expected = [{program: this.program, target: engine}];
    assert.deepEqual(this.keeper.getPendingReleases(), expected);
    this.keeper = await this.fixture.openKeeper('entry-2');
    assert.deepEqual(this.keeper.getPendingReleases(), expected);
  },
);

Then(
  'after the acknowledgement neither the keeper nor a successor names it',
  async function (this: KeeperWorld) {
    this.keeper.noteReleased(this.program, engine);
    assert.deepEqual(this.keeper.getPendingReleases(), []);
    await this.fixture.settle(this.keeper.flush());
    const successor = await this.fixture.openKeeper('entry-3');
    assert.deepEqual(successor.getPendingReleases(), []);
  },
);

When(
  'a program ends at the keeper while its call runs',
  async function (this: KeeperWorld) {
    const {settle} = this.fixture;
    this.program = await addProgram(this);
    await chat(this, this.program);
    const call = createChatCall({program: this.program});
    const ticket = this.keeper.admitCall(call, idempotent);
    this.tickets = [ticket];
    await settle(ticket.waitForTurn(createSignal()));
    await settle(ticket.commitDispatch(engine));
    await settle(this.keeper.endProgram(team, this.program));
  },
);

Then(
  "the keeper's call is told to stop and the history is empty",
  async function (this: KeeperWorld) {
    const [ticket] = this.tickets;
    assert.ok(isErrorOfKind(ticket!.signal.reason, 'program_ended'));
    assert.deepEqual(this.keeper.getPendingReleases(), []);
    await ticket!.fail(ticket!.signal.reason as Error);
    const {messages} = this.keeper.getHistoryOrThrow(team, this.program);
    assert.deepEqual(messages, []);
    assert.equal(this.keeper.getPendingReleases().length, 1);
  },
);

When('the platform of the keeper goes down', function (this: KeeperWorld) {
  this.fixture.store.setOutage(true);
});

Then(
  /^the keeper runs, not durable a (chat|booking deduplicated by key)$/,
  async function (this: KeeperWorld, kind: string) {
    const {settle} = this.fixture;
    const isChat = kind === 'chat';
    const call = isChat ? createChatCall() : createBooking('key-1');
    const traits = isChat ? idempotent : deduplicated;
    const ticket = this.keeper.admitCall(call, traits);
    await settle(isChat ? runChat(ticket, 'ok') : runBooking(ticket));
    const last = (await readAll(ticket)).at(-1);
    assert.ok(last?.kind === 'finished');
    assert.equal(last.isDurable, false);
  },
);

Then('the keeper refuses a booking', async function (this: KeeperWorld) {
  const {settle} = this.fixture;
  const ticket = this.keeper.admitCall(createBooking('key-1'), once);
  await settle(ticket.waitForTurn(createSignal()));
  const dispatching = settle(ticket.commitDispatch(booking));
  const error: unknown = await dispatching.catch((caught: unknown) => caught);
  assert.ok(isErrorOfKind(error, 'platform_unavailable'));
  assert.equal(error.outcome, 'not_run');
  await ticket.fail(error);
  assert.throws(
    () => this.keeper.admitCall(createBooking('key-2'), once),
    (caught) => isErrorOfKind(caught, 'platform_unavailable'),
  );
  // Once the platform is back, the refused key may run after all.
  this.fixture.store.setOutage(false);
  await this.fixture.clock.advance(recoveryMs);
  const again = this.keeper.admitCall(createBooking('key-1'), once);
  await settle(runBooking(again));
});

When(
  'three turns of a program run while the platform of the keeper is down',
  async function (this: KeeperWorld) {
    this.program = await addProgram(this);
    this.fixture.store.setOutage(true);
    for (const text of ['one', 'two', 'three']) {
      await chat(this, this.program, text);
    }
  },
);

When(
  'the platform of the keeper comes back',
  async function (this: KeeperWorld) {
    this.fixture.store.setOutage(false);
    await this.fixture.clock.advance(recoveryMs);
    assert.equal(this.keeper.getStatus().uncommittedBytes, 0);
  },
);

When(
  'the holder dies and the platform of the keeper comes back',
  function (this: KeeperWorld) {
    this.fixture.store.setCutOff('entry-1', true);
    this.keeper.stop();
    this.fixture.store.setOutage(false);
  },
);

Then(
  /^the keeper's successor has the three turns(, and the keeper had no uncommitted bytes)?$/,
  async function (this: KeeperWorld, _rest: string | null) {
    const successor = await this.fixture.openKeeper('entry-2');
    const {messages} = successor.getHistoryOrThrow(team, this.program);
    const answers = messages.filter(({role}) => role === 'assistant');
    assert.deepEqual(
      answers.map(({content}) => content),
      ['one', 'two', 'three'],
    );
  },
);

Given(
  'two teams, a key and partitions in any order',
  function (this: KeeperWorld) {
    const key = toId<IdempotencyKey>('key-1');
    const names = ['a.0', 'a.1', 'b.0', 'b.1', 'c.0'];
    const partitions = names.map((name) => toId<PartitionId>(name));
    const orders = [partitions, partitions.toReversed()];
    this.programs = [team, otherTeam].flatMap((caller) =>
      orders.map((order) => getProgramForKey(caller, key, order)),
    );
  },
);

Then(
  'every order gives the same program of the key, and each team its own',
  function (this: KeeperWorld) {
    const [first, again, other, otherAgain] = this.programs;
    assert.equal(first, again);
    assert.equal(other, otherAgain);
    assert.notEqual(first, other);
  },
);
