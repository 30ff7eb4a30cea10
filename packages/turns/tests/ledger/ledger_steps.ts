/** Steps for budget ledgers and reservation quorums. */
import assert from 'node:assert/strict';
import {Then, When, type World} from '@cucumber/cucumber';
import {type DataCentreId, type ProgramId, toId} from '@marigoldpost/common';
import type {TurnId} from '@marigoldpost/sites';
import {
  BudgetLedger,
  decideReservation,
  type LedgerEntry,
  type ReservationDecision,
  type ReservationVote,
  sumMergedTokens,
} from '@marigoldpost/turns';
import fc from 'fast-check';

interface LedgerWorld extends World {
  decision: ReservationDecision;
}

const seed = 20261204;
const program = toId<ProgramId>('program');

When(
  'archives vote {string} on a program of {string} in {string}',
  function (this: LedgerWorld, votes: string, home: string, own: string) {
    const location = {
      home: toId<DataCentreId>(home),
      own: toId<DataCentreId>(own),
    };
    const read = votes.split(', ').map(toVote);
    const atHome = read.find(({dataCentre}) => dataCentre === location.home);
    const counter = atHome ?? read[0];
    this.decision = decideReservation(
      read.map((vote) => ({...vote, isCounter: vote === counter})),
      location,
    );
  },
);

Then(
  /^the reservation is (granted|contended|refused|unavailable|pending)$/,
  function (this: LedgerWorld, decision: string) {
    assert.equal(this.decision, decision);
  },
);

Then(
  'a ledger has the same total after merges in any order, and includes every settled token',
  function () {
    const arbitraryEntry = fc.record({
      attempt: fc.constantFrom('t1', 't2', 't3', 't4'),
      isSettled: fc.boolean(),
      lapseMs: fc.constantFrom(undefined, 0, 100),
    });
    fc.assert(
      fc.property(
        fc.array(arbitraryEntry, {maxLength: 20}),
        fc.infiniteStream(fc.nat()),
        (drawn, order) => {
          const entries = drawn.map(toEntry);
          const shuffled = entries
            .map((entry) => ({entry, rank: order.next().value as number}))
            .toSorted((left, right) => left.rank - right.rank)
            .map(({entry}) => entry);
          assert.equal(sumLedger(entries), sumLedger(shuffled));
          const {heldTokens} = sumMergedTokens([entries]);
          assert.equal(sumLedger(entries), heldTokens);
        },
      ),
      {seed},
    );
  },
);

Then(
  'no sequence of reservations and settlements exceeds the budget of a ledger',
  function () {
    const budgetTokens = 100;
    const arbitraryStep = fc.record({
      attempt: fc.integer({min: 0, max: 9}),
      tokens: fc.integer({min: 1, max: 40}),
      isSettlement: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(arbitraryStep, {maxLength: 40}), (steps) => {
        const ledger = BudgetLedger.create();
        const reserved = new Map<string, number>();
        for (const {attempt: number, tokens, isSettlement} of steps) {
          const attempt = toId<TurnId>(`t${number}`);
          const reservedTokens = reserved.get(attempt);
          if (isSettlement && reservedTokens !== undefined) {
            const used = Math.min(tokens, reservedTokens);
            const entry = {attempt, tokens: used, isSettled: true};
            ledger.mergeEntry(program, entry, 0);
          } else if (!isSettlement) {
            const isForced = false;
            const request = {
              program,
              attempt,
              tokens,
              budgetTokens,
              isForced,
              counter: 'disk',
            };
            if (ledger.reserve(request, 0).isNew) reserved.set(attempt, tokens);
          }
          const entries = ledger.getEntries(program, 0);
          assert.ok(sumMergedTokens([entries]).heldTokens <= budgetTokens);
        }
      }),
      {seed},
    );
  },
);

function toVote(text: string): Omit<ReservationVote, 'isCounter'> {
  const [dataCentre = '', answer = ''] = text.split(/ (.*)/);
  const answers: Record<string, ReservationVote['answer']> = {
    yes: 'granted',
    late: 'granted',
    contended: 'granted',
    no: 'refused',
    'no answer': 'failed',
    '?': 'pending',
  };
  const vote = answers[answer];
  assert.ok(vote, `unknown vote "${answer}"`);
  return {
    dataCentre: toId<DataCentreId>(dataCentre),
    answer: vote,
    isComplete: answer === 'yes' || answer === 'contended',
    isExact: answer === 'yes',
  };
}

function toEntry(drawn: {attempt: string; isSettled: boolean}): LedgerEntry {
  // An attempt has one number of used tokens, however often it is reported.
  const tokens = drawn.isSettled ? drawn.attempt.charCodeAt(1) : 100;
  return {...drawn, attempt: toId<TurnId>(drawn.attempt), tokens};
}

function sumLedger(entries: readonly LedgerEntry[]): number {
  const ledger = BudgetLedger.create();
  for (const entry of entries) ledger.mergeEntry(program, entry, 0);
  ledger.recordRead(0);
  return sumMergedTokens([ledger.getEntries(program, 0)]).heldTokens;
}
