/** Steps for appends, faults and takeovers of a journal. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {isErrorOfKind} from '@marigoldpost/common';
import {segmentSlots} from '@marigoldpost/journal';
import fc from 'fast-check';
import {
  createJournalFixture,
  getReplayed,
  type JournalFixture,
  type JournalWriter,
} from '../fixtures/journal_fixture.js';

interface JournalWorld extends World {
  fixture: JournalFixture;
  writer: JournalWriter;
  property: fc.IAsyncProperty<unknown>;
}

type Action =
  | {readonly kind: 'append'; readonly isOldWriter: boolean}
  | {readonly kind: 'advance'; readonly elapsedMs: number}
  | {readonly kind: 'outage'; readonly isOut: boolean}
  | {readonly kind: 'cutOff'; readonly isCutOff: boolean}
  | {readonly kind: 'loseAnswers'; readonly count: number}
  | {readonly kind: 'failCalls'; readonly count: number}
  | {readonly kind: 'slowness'; readonly slownessMs: number}
  | {readonly kind: 'takeOver'};

const seed = 20261203;
const numRuns = 150;
const outageMs = 3_000;
const longMs = 20_000;

const actions: fc.Arbitrary<Action[]> = fc.array(
  fc.oneof(
    {
      weight: 6,
      arbitrary: fc.record({
        kind: fc.constant('append' as const),
        isOldWriter: fc.boolean(),
      }),
    },
    {
      weight: 4,
      arbitrary: fc.record({
        kind: fc.constant('advance' as const),
        elapsedMs: fc.integer({min: 0, max: 200}),
      }),
    },
    fc.record({kind: fc.constant('outage' as const), isOut: fc.boolean()}),
    fc.record({kind: fc.constant('cutOff' as const), isCutOff: fc.boolean()}),
    fc.record({
      kind: fc.constant('loseAnswers' as const),
      count: fc.integer({min: 1, max: 6}),
    }),
    fc.record({
      kind: fc.constant('failCalls' as const),
      count: fc.integer({min: 1, max: 6}),
    }),
    fc.record({
      kind: fc.constant('slowness' as const),
      slownessMs: fc.constantFrom(0, 5, 40),
    }),
    fc.record({kind: fc.constant('takeOver' as const)}),
  ),
  {maxLength: 60},
);

/**
 * Runs actions. Checks that each replay extends the previous one, and that the
 * last contains each durable record once and in order.
 */
async function runActions(list: readonly Action[]): Promise<void> {
  const fixture = createJournalFixture(seed);
  const {store, clock} = fixture;
  const writers = [(await fixture.takeOver())!];
  let replayed: string[] = [];
  let nextRecord = 0;
  const takeOver = async () => {
    const writer = await fixture.takeOver();
    if (writer === undefined) return;
    const longer = getReplayed(writer.replay);
    assert.deepEqual(longer.slice(0, replayed.length), replayed);
    replayed = longer;
    writers.push(writer);
  };
  for (const action of list) {
    const newest = writers.at(-1)!;
    if (action.kind === 'append') {
      const writer = action.isOldWriter ? writers.at(-2) : newest;
      if (writer) fixture.append(writer, `record-${nextRecord++}`);
    } else if (action.kind === 'advance') {
      await clock.advance(action.elapsedMs);
    } else if (action.kind === 'outage') {
      store.setOutage(action.isOut);
    } else if (action.kind === 'cutOff') {
      store.setOffline(newest.name, action.isCutOff);
    } else if (action.kind === 'loseAnswers') {
      store.loseNextWriteResponses(action.count);
    } else if (action.kind === 'failCalls') {
      store.failNextCalls(action.count);
    } else if (action.kind === 'slowness') {
      store.setCallDurationMs(action.slownessMs);
    } else {
      await takeOver();
    }
  }
  store.setOutage(false);
  store.loseNextWriteResponses(0);
  store.failNextCalls(0);
  for (const {name} of writers) store.setOffline(name, false);
  await clock.advance(longMs);
  await takeOver();
  assert.equal(new Set(replayed).size, replayed.length);
  const kept = replayed.filter((record) => fixture.durable.includes(record));
  assert.deepEqual(kept, fixture.durable);
}

Given(
  'any sequence of appends, faults and takeovers on a journal',
  function (this: JournalWorld) {
    this.property = fc.asyncProperty(actions, runActions);
  },
);

Then(
  'each record that a journal reported as durable is replayed once and in order',
  async function (this: JournalWorld) {
    await fc.assert(this.property, {seed, numRuns});
  },
);

/** Applies the fault of an example row to the platform. */
function setFault(fixture: JournalFixture, fault: string): void {
  const {clock, store} = fixture;
  if (fault === 'one lost answer') store.loseNextWriteResponses(1);
  if (fault === 'five lost answers in a row') store.loseNextWriteResponses(5);
  if (fault === 'one failed call') store.failNextCalls(1);
  if (fault === 'slow calls of two seconds') store.setCallDurationMs(2_000);
  if (!fault.startsWith('an outage')) return;
  store.setOutage(true);
  if (fault.endsWith('without end')) return;
  clock.setTimer(outageMs, () => store.setOutage(false));
}

Given(
  /^a journal whose platform has (.*)$/,
  async function (this: JournalWorld, fault: string) {
    this.fixture = createJournalFixture(seed);
    this.writer = (await this.fixture.takeOver())!;
    setFault(this.fixture, fault);
  },
);

Given(
  'a journal whose platform takes {int} ms for a call',
  async function (this: JournalWorld, callDurationMs: number) {
    this.fixture = createJournalFixture(seed);
    this.writer = (await this.fixture.takeOver())!;
    this.fixture.store.setCallDurationMs(callDurationMs);
  },
);

When(
  'a record is appended to the journal',
  async function (this: JournalWorld) {
    const {fixture, writer} = this;
    await fixture.settle(writer.journal.append('record-0'));
    fixture.durable.push('record-0');
  },
);

When(
  '{int} records are appended to the journal at once',
  async function (this: JournalWorld, count: number) {
    const {fixture, writer} = this;
    for (let index = 0; index < count; index++) {
      fixture.append(writer, `record-${index}`);
    }
    await fixture.settle(writer.journal.flush());
  },
);

When(
  'a lazy record and then another one are appended to the journal',
  async function (this: JournalWorld) {
    const {journal} = this.writer;
    const lazy = journal.append('lazy', {isLazy: true});
    await this.fixture.clock.advance(500);
    await this.fixture.settle(Promise.all([lazy, journal.append('other')]));
  },
);

When(
  '{int} records are appended to the journal one by one',
  async function (this: JournalWorld, count: number) {
    const {fixture, writer} = this;
    for (let index = 0; index < count; index++) {
      fixture.append(writer, `record-${index}`);
      await fixture.settle(writer.journal.flush());
    }
  },
);

When('another writer seals the journal', async function (this: JournalWorld) {
  await this.fixture.takeOver();
});

When(
  '{int} takeovers of the journal happen with records and snapshots in between',
  async function (this: JournalWorld, count: number) {
    for (let index = 0; index < count; index++) {
      const writer = (await this.fixture.takeOver())!;
      this.fixture.append(writer, `record-${index}`);
      await this.fixture.clock.advance(1);
    }
  },
);

Then(
  'the journal makes {int} writes',
  function (this: JournalWorld, writes: number) {
    const counts = this.fixture.store.getCallCounts(this.writer.name);
    // The seal accounts for one write.
    assert.equal(counts.writes - 1, writes);
  },
);

Then(
  "the journal's record becomes durable and is replayed once",
  async function (this: JournalWorld) {
    this.fixture.store.setCallDurationMs(0);
    const next = await this.fixture.takeOver();
    assert.deepEqual(getReplayed(next!.replay), ['record-0']);
  },
);

Then(
  "the journal's replay starts from a snapshot and gives all {int} records",
  async function (this: JournalWorld, count: number) {
    const {replay} = (await this.fixture.takeOver())!;
    assert.ok(replay.snapshotRecords.length > 0);
    const expected = Array.from({length: count}, (_, at) => `record-${at}`);
    assert.deepEqual(getReplayed(replay), expected);
  },
);

Then(
  "the journal's objects stay within its slots and one snapshot",
  async function (this: JournalWorld) {
    const {fixture} = this;
    const segments = await fixture.settle(
      fixture.store.listObjects('journal/'),
    );
    assert.ok(segments.length <= segmentSlots);
    const chunks = await fixture.settle(
      fixture.store.listObjects('snapshots/'),
    );
    assert.equal(chunks.length, 1);
  },
);

Then(
  "the first writer's appends to the journal fail with fenced",
  async function (this: JournalWorld) {
    const {fixture, writer} = this;
    await assert.rejects(
      fixture.settle(writer.journal.append('late')),
      (error) => isErrorOfKind(error, 'fenced'),
    );
    await assert.rejects(writer.journal.append('later'), (error) =>
      isErrorOfKind(error, 'fenced'),
    );
    const next = await fixture.takeOver();
    assert.ok(!getReplayed(next!.replay).includes('late'));
  },
);

Then(
  'the journal rejects records with platform_unavailable once a megabyte is uncommitted',
  async function (this: JournalWorld) {
    const {journal} = this.writer;
    const record = 'x'.repeat(100_000);
    const add = () => journal.addRecord(record);
    for (let index = 0; index < 9; index++) void add().catch(() => undefined);
    await this.fixture.clock.advance(1);
    assert.throws(
      () => {
        void add();
      },
      (error) => isErrorOfKind(error, 'platform_unavailable'),
    );
  },
);

Then(
  'the journal still accepts an essential record',
  async function (this: JournalWorld) {
    const {fixture, writer} = this;
    const record = 'x'.repeat(100_000);
    const durable = writer.journal.append(record, {isEssential: true});
    fixture.store.setOutage(false);
    await fixture.settle(durable);
    assert.equal(writer.journal.getUncommittedBytes(), 0);
  },
);
