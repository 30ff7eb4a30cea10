/** Steps for takeovers of a partition by another daemon. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {isErrorOfKind} from '@marigoldpost/common';
import type {
  CallTicket,
  ChatCall,
  PlainCall,
  ProgramManager,
  TurnContext,
} from '@marigoldpost/programs';
import {
  booking,
  createBooking,
  createBookingAnswer,
  createChatCall,
  createProgramManagerFixture,
  createReport,
  createSignal,
  engine,
  getProgram,
  getText,
  idempotent,
  notRepeatable,
  readAll,
  runBooking,
  runChat,
  team,
  type ProgramManagerFixture,
} from '../fixtures/program_manager_fixture.js';

interface TakeoverWorld extends World {
  fixture: ProgramManagerFixture;
  holder: ProgramManager;
  successor: ProgramManager;
  firstCall: ChatCall;
  booking: PlainCall;
  ticket: CallTicket;
  turn: TurnContext;
}

const lazyWaitMs = 2_000;

Given(
  'a holder of a partition whose program had two turns',
  async function (this: TakeoverWorld) {
    this.fixture = createProgramManagerFixture();
    const {settle} = this.fixture;
    this.holder = await this.fixture.openManager();
    const first = this.holder.admitCall(createChatCall(), idempotent);
    await settle(runChat(first, 'one'));
    this.firstCall = {...(first.call as ChatCall), program: first.program};
    const second = createChatCall({program: first.program});
    await settle(runChat(this.holder.admitCall(second, idempotent), 'two'));
  },
);

/** Runs a booking up to and including a step. */
async function runBookingUpTo(
  world: TakeoverWorld,
  step: string,
): Promise<void> {
  world.fixture = createProgramManagerFixture();
  const {settle} = world.fixture;
  world.holder = await world.fixture.openManager();
  world.booking = createBooking('key-1');
  world.ticket = world.holder.admitCall(world.booking, notRepeatable);
  await settle(world.ticket.waitForTurn(createSignal()));
  if (step === 'after the admission') return;
  await settle(world.ticket.commitDispatch(booking));
  if (step === 'after the intent') return;
  if (step === "after the target's answer") return;
  const answer = createBookingAnswer();
  await settle(world.ticket.complete(answer, createReport(booking)));
}

Given(
  /^a holder of a partition that dies (after .*) of a booking$/,
  async function (this: TakeoverWorld, step: string) {
    await runBookingUpTo(this, step);
    this.fixture.store.setOffline('entry-1', true);
  },
);

Given(
  /^a holder of a partition that is paused (after .*) of a booking$/,
  async function (this: TakeoverWorld, step: string) {
    await runBookingUpTo(this, step);
  },
);

Given(
  'a holder of a partition that dies while a long chat streams',
  async function (this: TakeoverWorld) {
    this.fixture = createProgramManagerFixture();
    this.holder = await this.fixture.openManager();
    this.ticket = this.holder.admitCall(createChatCall(), idempotent);
    this.turn = await this.fixture.settle(
      this.ticket.waitForTurn(createSignal()),
    );
    await this.fixture.settle(this.ticket.commitDispatch(engine));
    this.ticket.addToken({index: 0, text: 'a'});
    await this.fixture.clock.advance(lazyWaitMs);
    this.fixture.store.setOffline('entry-1', true);
  },
);

When(
  'another daemon takes the partition over',
  async function (this: TakeoverWorld) {
    this.successor = await this.fixture.openManager('entry-2');
  },
);

Then(
  "the successor has the program's history, and its next turn follows",
  async function (this: TakeoverWorld) {
    const {program} = this.firstCall;
    const {messages} = this.successor.getHistoryOrThrow(team, program!);
    const contents = messages.map(({content}) => content);
    assert.deepEqual(contents, ['plan', 'one', 'plan', 'two']);
    const next = createChatCall({program});
    const ticket = this.successor.admitCall(next, idempotent);
    const turn = await this.fixture.settle(ticket.waitForTurn(createSignal()));
    assert.equal(turn.turnIndex, 2);
    assert.equal(turn.messages.length, 5);
  },
);

Then(
  'a re-sent call gets its first answer from the successor',
  async function (this: TakeoverWorld) {
    const {program} = this.firstCall;
    const keyed = {...createChatCall({program}), ...keyedCall};
    const first = this.successor.admitCall(keyed, idempotent);
    await this.fixture.settle(runChat(first, 'three'));
    const third = await this.fixture.openManager('entry-3');
    const again = third.admitCall({...keyed, callId: otherCallId}, idempotent);
    assert.equal(again.isOwner, false);
    const events = await readAll(again);
    assert.equal(getText(events), 'three');
    assert.equal(getProgram(events), program);
  },
);

const keyedCall = {
  idempotencyKey: createBooking('turn-3').idempotencyKey,
  messages: createChatCall().messages,
};
const otherCallId = createChatCall().callId;

async function assertFails(
  action: () => unknown,
  ...kinds: Parameters<typeof isErrorOfKind> extends [unknown, ...infer Kinds]
    ? Kinds
    : never
): Promise<void> {
  await assert.rejects(
    async () => action(),
    (error) => isErrorOfKind(error, ...kinds),
  );
}

Then(
  /^the re-sent booking (runs at|is refused|gets its).*$/,
  async function (this: TakeoverWorld, result: string) {
    const again = {...this.booking, callId: createChatCall().callId};
    if (result === 'is refused') {
      await assertFails(
        () => this.successor.admitCall(again, notRepeatable),
        'outcome_unknown',
      );
      return;
    }
    const ticket = this.successor.admitCall(again, notRepeatable);
    assert.equal(ticket.isOwner, result === 'runs at');
    if (ticket.isOwner) await this.fixture.settle(runBooking(ticket));
    const last = (await readAll(ticket)).at(-1);
    assert.ok(last?.kind === 'finished');
    assert.deepEqual(last.answer, createBookingAnswer());
  },
);

Then(
  "the resumed holder's next step fails with fenced",
  async function (this: TakeoverWorld) {
    const {settle} = this.fixture;
    const isSent = this.ticket.stream.isEnded;
    assert.equal(isSent, false);
    const answer = createBookingAnswer();
    const status = this.holder.getProgramViewOrThrow(team, this.ticket.program);
    const nextStep =
      status.calls.at(-1)?.state === 'running'
        ? () => this.ticket.complete(answer, createReport(booking))
        : () => this.ticket.commitDispatch(booking);
    await assertFails(() => settle(nextStep()), 'fenced');
  },
);

Then(
  'the successor recovers the chat, its target and its stream',
  async function (this: TakeoverWorld) {
    const [recovered] = this.successor.getRecoveredCalls();
    assert.equal(recovered?.target, engine);
    const ticket = this.successor.admitCall(recovered.call, recovered.traits);
    const turn = await this.fixture.settle(ticket.waitForTurn(createSignal()));
    assert.equal(turn.streamId, this.turn.streamId);
    assert.equal(turn.previousTarget, engine);
    assert.equal(turn.attempt, 2);
  },
);

Then(
  "the successor counts at least the chat's worst case",
  function (this: TakeoverWorld) {
    const view = this.successor.getProgramViewOrThrow(
      team,
      this.ticket.program,
    );
    const counted = view.usedTokens + view.reservedTokens;
    assert.ok(counted >= this.turn.reservedTokens);
    assert.equal(view.usedCalls, 1);
  },
);

Given(
  /^a holder of a partition where (a chat|a booking) runs$/,
  async function (this: TakeoverWorld, kind: string) {
    if (kind === 'a booking') {
      await runBookingUpTo(this, 'after the intent');
      return;
    }
    this.fixture = createProgramManagerFixture();
    this.holder = await this.fixture.openManager();
    this.ticket = this.holder.admitCall(createChatCall(), idempotent);
    const {settle} = this.fixture;
    this.turn = await settle(this.ticket.waitForTurn(createSignal()));
    await settle(this.ticket.commitDispatch(engine));
  },
);

When(
  'the holder closes the partition for its next holder',
  async function (this: TakeoverWorld) {
    const {clock, settle} = this.fixture;
    const closing = this.holder.close(lazyWaitMs);
    if (this.booking !== undefined) {
      await clock.advance(lazyWaitMs / 2);
      const answer = createBookingAnswer();
      await settle(this.ticket.complete(answer, createReport(booking)));
    }
    await settle(closing);
    this.successor = await this.fixture.openManager('entry-2');
  },
);

Then(
  'the next holder picks the chat up with nothing counted as lost',
  async function (this: TakeoverWorld) {
    await assertFails(() => readAll(this.ticket), 'not_holder');
    const [recovered] = this.successor.getRecoveredCalls();
    assert.equal(recovered?.call.callId, this.ticket.call.callId);
    const {program} = this.ticket;
    const view = this.successor.getProgramViewOrThrow(team, program);
    assert.equal(view.usedTokens, 0);
    assert.equal(view.reservedTokens, this.turn.reservedTokens);
  },
);

Then(
  'the next holder finds the booking answered, since the close waited',
  async function (this: TakeoverWorld) {
    const again = {...this.booking, callId: createChatCall().callId};
    const ticket = this.successor.admitCall(again, notRepeatable);
    assert.equal(ticket.isOwner, false);
    const last = (await readAll(ticket)).at(-1);
    assert.ok(last?.kind === 'finished');
    assert.deepEqual(last.answer, createBookingAnswer());
  },
);
