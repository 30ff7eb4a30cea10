/** Steps for the program manager of one partition. */
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
  type ProgramManager,
} from '@marigoldpost/programs';
import {
  booking,
  createBooking,
  createBookingAnswer,
  createChatAnswer,
  createChatCall,
  createProgramManagerFixture,
  createReport,
  createSignal,
  engine,
  idempotent,
  notRepeatable,
  readAll,
  runBooking,
  runChat,
  team,
  largeBudget,
  type ProgramManagerFixture,
} from '../fixtures/program_manager_fixture.js';

interface ProgramManagerWorld extends World {
  fixture: ProgramManagerFixture;
  manager: ProgramManager;
  tickets: CallTicket[];
  program: ProgramId;
  error: unknown;
  programs: ProgramId[];
}

const otherTeam = toId<TeamId>('pitch-bookers');
const deduplicated: CallTraits = {isIdempotent: false, deduplicatesByKey: true};
const recoveryMs = 10_000;
const repeats = 10;

Given('a program manager', async function (this: ProgramManagerWorld) {
  this.fixture = createProgramManagerFixture();
  this.manager = await this.fixture.openManager();
});

/** Adds a program with a budget. */
async function addProgram(
  world: ProgramManagerWorld,
  budget = largeBudget,
  parent?: ProgramId,
): Promise<ProgramId> {
  const adding = world.manager.addProgram({team, budget, parent});
  return (await world.fixture.settle(adding)).program;
}

/** Admits one chat of a program and runs it until it is complete. */
async function addTurn(
  world: ProgramManagerWorld,
  program: ProgramId,
  text = 'ok',
) {
  const ticket = world.manager.admitCall(createChatCall({program}), idempotent);
  await world.fixture.settle(runChat(ticket, text));
  return ticket;
}

When(
  'the same keyed booking is sent to the program manager twice at once',
  async function (this: ProgramManagerWorld) {
    const first = createBooking('key-1');
    const second = createBooking('key-1');
    this.tickets = [first, second].map((call) =>
      this.manager.admitCall(call, notRepeatable),
    );
    await this.fixture.settle(runBooking(this.tickets[0]!));
  },
);

Then(
  'the program manager runs one booking and both senders receive its answer',
  async function (this: ProgramManagerWorld) {
    const owners = this.tickets.map(({isOwner}) => isOwner);
    assert.deepEqual(owners, [true, false]);
    for (const ticket of this.tickets) {
      const last = (await readAll(ticket)).at(-1);
      assert.ok(last?.kind === 'finished');
      assert.deepEqual(last.answer, createBookingAnswer());
    }
  },
);

/** Prepares the reason of a rejection; resolves to the call to reject. */
async function prepareRefusal(world: ProgramManagerWorld, reason: string) {
  const {clock} = world.fixture;
  if (reason === 'program does not exist') {
    return createChatCall({program: toId<ProgramId>('cat-lai.0.nobody')});
  }
  if (reason === 'key was used for another request') {
    const first = world.manager.admitCall(
      createBooking('key-1'),
      notRepeatable,
    );
    await world.fixture.settle(runBooking(first));
    const {request} = createBooking('key-1');
    return createBooking('key-1', {request: {...request, body: 'other'}});
  }
  const maxTokens = reason.startsWith('worst case') ? 50 : 1_000_000;
  const maxCalls = reason.endsWith('all its calls') ? 1 : 1_000;
  const program = await addProgram(world, {
    ...largeBudget,
    maxTokens,
    maxCalls,
  });
  if (reason.endsWith('all its calls')) await addTurn(world, program);
  if (reason.endsWith('ended')) {
    await world.fixture.settle(world.manager.endProgram(team, program));
  }
  if (reason.endsWith('time is over')) {
    await addTurn(world, program);
    clock.skip(largeBudget.maxWallMs + 1);
  }
  if (reason.endsWith('repeats itself')) {
    for (let count = 0; count < repeats; count++) await addTurn(world, program);
  }
  const isOthers = reason.endsWith("another team's");
  return createChatCall({program, team: isOthers ? otherTeam : team});
}

When(
  /^the keeper gets a call whose (.*)$/,
  async function (this: ProgramManagerWorld, reason: string) {
    const call = await prepareRefusal(this, reason);
    try {
      this.manager.admitCall(
        call,
        call.kind === 'chat' ? idempotent : notRepeatable,
      );
    } catch (error) {
      this.error = error;
    }
  },
);

Then(
  'the program manager rejects the call with {word} and outcome not_run',
  function (this: ProgramManagerWorld, kind: string) {
    assert.ok(isErrorOfKind(this.error));
    assert.equal(this.error.kind, kind);
    assert.equal(this.error.outcome, 'not_run');
  },
);

When(
  'a program with a budget for two calls has two sub-agents that call at once',
  async function (this: ProgramManagerWorld) {
    this.program = await addProgram(this, {...largeBudget, maxCalls: 2});
    const children = [
      await addProgram(this, largeBudget, this.program),
      await addProgram(this, largeBudget, this.program),
    ];
    this.tickets = children.map((program) =>
      this.manager.admitCall(createChatCall({program}), idempotent),
    );
  },
);

Then(
  'the program manager runs the calls of both sub-agents concurrently',
  async function (this: ProgramManagerWorld) {
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
  "the program manager rejects the parent's next call with budget_exceeded",
  function (this: ProgramManagerWorld) {
    const call = createChatCall({program: this.program});
    assert.throws(
      () => this.manager.admitCall(call, idempotent),
      (error) => isErrorOfKind(error, 'budget_exceeded'),
    );
  },
);

When(
  'a program that ran on a target ends at the program manager',
  async function (this: ProgramManagerWorld) {
    this.program = await addProgram(this);
    await addTurn(this, this.program);
    await this.fixture.settle(this.manager.endProgram(team, this.program));
  },
);

Then(
  'the cache release is pending at the program manager and at its successor',
  async function (this: ProgramManagerWorld) {
    const expected = [{program: this.program, target: engine}];
    assert.deepEqual(this.manager.getPendingReleases(), expected);
    this.manager = await this.fixture.openManager('entry-2');
    assert.deepEqual(this.manager.getPendingReleases(), expected);
  },
);

Then(
  'after the acknowledgement it is pending at neither of them',
  async function (this: ProgramManagerWorld) {
    this.manager.recordCacheReleased(this.program, engine);
    assert.deepEqual(this.manager.getPendingReleases(), []);
    await this.fixture.settle(this.manager.flush());
    const successor = await this.fixture.openManager('entry-3');
    assert.deepEqual(successor.getPendingReleases(), []);
  },
);

When(
  'a program ends at the program manager while its call runs',
  async function (this: ProgramManagerWorld) {
    const {settle} = this.fixture;
    this.program = await addProgram(this);
    await addTurn(this, this.program);
    const call = createChatCall({program: this.program});
    const ticket = this.manager.admitCall(call, idempotent);
    this.tickets = [ticket];
    await settle(ticket.waitForTurn(createSignal()));
    await settle(ticket.commitDispatch(engine));
    await settle(this.manager.endProgram(team, this.program));
  },
);

Then(
  'the program manager aborts the call and the history is empty',
  async function (this: ProgramManagerWorld) {
    const [ticket] = this.tickets;
    assert.ok(isErrorOfKind(ticket!.signal.reason, 'program_ended'));
    assert.deepEqual(this.manager.getPendingReleases(), []);
    await ticket!.fail(ticket!.signal.reason as Error);
    const {messages} = this.manager.getHistoryOrThrow(team, this.program);
    assert.deepEqual(messages, []);
    assert.equal(this.manager.getPendingReleases().length, 1);
  },
);

When(
  "the program manager's platform goes down",
  function (this: ProgramManagerWorld) {
    this.fixture.store.setOutage(true);
  },
);

Then(
  /^the keeper runs, not durable a (chat|booking deduplicated by key)$/,
  async function (this: ProgramManagerWorld, kind: string) {
    const {settle} = this.fixture;
    const isChat = kind === 'chat';
    const call = isChat ? createChatCall() : createBooking('key-1');
    const traits = isChat ? idempotent : deduplicated;
    const ticket = this.manager.admitCall(call, traits);
    await settle(isChat ? runChat(ticket, 'ok') : runBooking(ticket));
    const last = (await readAll(ticket)).at(-1);
    assert.ok(last?.kind === 'finished');
    assert.equal(last.isDurable, false);
  },
);

Then(
  'the keeper refuses a booking',
  async function (this: ProgramManagerWorld) {
    const {settle} = this.fixture;
    const ticket = this.manager.admitCall(
      createBooking('key-1'),
      notRepeatable,
    );
    await settle(ticket.waitForTurn(createSignal()));
    const dispatching = settle(ticket.commitDispatch(booking));
    const error: unknown = await dispatching.catch((caught: unknown) => caught);
    assert.ok(isErrorOfKind(error, 'platform_unavailable'));
    assert.equal(error.outcome, 'not_run');
    await ticket.fail(error);
    assert.throws(
      () => this.manager.admitCall(createBooking('key-2'), notRepeatable),
      (caught) => isErrorOfKind(caught, 'platform_unavailable'),
    );
    // Once the platform has recovered, a call with the rejected key may run.
    this.fixture.store.setOutage(false);
    await this.fixture.clock.advance(recoveryMs);
    const again = this.manager.admitCall(createBooking('key-1'), notRepeatable);
    await settle(runBooking(again));
  },
);

When(
  "three turns of a program run while the program manager's platform is down",
  async function (this: ProgramManagerWorld) {
    this.program = await addProgram(this);
    this.fixture.store.setOutage(true);
    for (const text of ['one', 'two', 'three']) {
      await addTurn(this, this.program, text);
    }
  },
);

When(
  "the program manager's platform recovers",
  async function (this: ProgramManagerWorld) {
    this.fixture.store.setOutage(false);
    await this.fixture.clock.advance(recoveryMs);
    assert.equal(this.manager.getStatus().uncommittedBytes, 0);
  },
);

When(
  "the holder dies and the program manager's platform recovers",
  function (this: ProgramManagerWorld) {
    this.fixture.store.setOffline('entry-1', true);
    this.manager.stop();
    this.fixture.store.setOutage(false);
  },
);

Then(
  /^the keeper's successor has the three turns(, and the keeper had no uncommitted bytes)?$/,
  async function (this: ProgramManagerWorld, _rest: string | null) {
    const successor = await this.fixture.openManager('entry-2');
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
  function (this: ProgramManagerWorld) {
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
  'the key gives the same program in every order, and a different one for each team',
  function (this: ProgramManagerWorld) {
    const [first, again, other, otherAgain] = this.programs;
    assert.equal(first, again);
    assert.equal(other, otherAgain);
    assert.notEqual(first, other);
  },
);
