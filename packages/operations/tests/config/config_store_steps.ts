/** Steps for changes of the operators' configuration. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import fc from 'fast-check';
import {isErrorOfKind, MarigoldpostError} from '@marigoldpost/common';
import {formatLineDifferences} from '@marigoldpost/operations';
import type {ObjectStore} from '@marigoldpost/platform';
import {checkOutcomes} from './config_checker.js';
import {ConfigFixture, type StoreWrapper} from './config_fixture.js';

interface ConfigStoreWorld extends World {
  site: ConfigFixture;
}

const seed = 20261203;
const lastIndex = -1;

Given(
  'operators who have applied two configurations',
  async function (this: ConfigStoreWorld) {
    this.site = new ConfigFixture();
    const author = 'ana';
    await this.site.startChange({text: 'one', author, baseVersion: 0});
    await this.site.startChange({text: 'one\ntwo', author, baseVersion: 1});
    this.site.reported.length = 0;
  },
);

When(
  'an operator changes the configuration during the fault {string}',
  async function (this: ConfigStoreWorld, fault: string) {
    const {store} = this.site;
    if (fault === 'one lost answer') store.loseNextWriteResponses(1);
    if (fault === 'three lost answers') store.loseNextWriteResponses(3);
    if (fault === 'one failed call') store.failNextCalls(1);
    if (fault === 'outage') store.setOutage(true);
    const text = fault === 'invalid text' ? 'invalid' : 'one\nthree';
    const baseVersion = fault === 'older base version' ? 1 : 2;
    const change = {text, author: 'binh', baseVersion};
    if (fault === 'outage after a lost answer') {
      // Loses the responses to the writes of audit record and configuration.
      store.loseNextWriteResponses(2);
      store.setCallDurationMs(100);
    }
    void this.site.startChange(change);
    if (fault === 'outage after a lost answer') {
      await breakAfterWrite(this.site);
    }
    await this.site.settle();
    store.setOutage(false);
    store.setCallDurationMs(0);
  },
);

Then(
  'the outcome {string} of the change is reported',
  function (this: ConfigStoreWorld, expected: string) {
    const reported = this.site.reported.at(lastIndex);
    const outcome = reported?.error?.kind ?? (reported?.accepted && 'accepted');
    assert.equal(outcome, expected, reported?.error?.message);
  },
);

Then(
  'the accepted configurations match the reported outcomes',
  async function (this: ConfigStoreWorld) {
    checkOutcomes(await this.site.readRecords(), this.site.reported);
  },
);

Then(
  'the conflict message has {string} with {string}',
  function (this: ConfigStoreWorld, title: string, line: string) {
    const message = this.site.reported.at(lastIndex)?.error?.message ?? '';
    const part = message.slice(message.indexOf(title));
    assert.ok(part.includes(line), message);
  },
);

Then(
  'the audit trail of the configuration is {string}',
  async function (this: ConfigStoreWorld, expected: string) {
    const trail = await this.site.createConfigStore().getAuditTrail();
    const lines = trail.map(({version, author, why, differences}) =>
      [version, author, why, formatLineDifferences(differences)].join(' '),
    );
    assert.equal(lines.join(','), expected);
  },
);

Then(
  'in {int} runs of concurrent operators with faults the accepted configurations match the reported outcomes',
  {timeout: 120_000},
  async (numRuns: number) => {
    const property = createRaceProperty((store) => store);
    await fc.assert(property, {seed, numRuns});
  },
);

Then(
  'some of {int} runs of concurrent operators on a store that {string} reports a false outcome',
  {timeout: 120_000},
  async (numRuns: number, fault: string) => {
    const wrapper = faultyStores[fault];
    assert.ok(wrapper, `unknown fault "${fault}"`);
    const property = createRaceProperty(wrapper);
    const {errorInstance} = await fc.check(property, {seed, numRuns});
    assert.match(String(errorInstance), /version|accepted/);
  },
);

/** Waits until the configuration is written, then starts an outage. */
async function breakAfterWrite(site: ConfigFixture): Promise<void> {
  const stepMs = 10;
  const written = 'one\nthree';
  for (;;) {
    await site.clock.advance(stepMs);
    site.store.setCallDurationMs(0);
    const records = await site.readRecords();
    site.store.setCallDurationMs(100);
    if (records.at(lastIndex)?.text === written) break;
  }
  site.store.setOutage(true);
}

type RaceStep =
  | {kind: 'edit'; operator: number}
  | {kind: 'lose' | 'fail'; count: number}
  | {kind: 'outage'; isOut: boolean}
  | {kind: 'wait'; ms: number};

const raceStep: fc.Arbitrary<RaceStep> = fc.oneof(
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant('edit' as const),
      operator: fc.nat({max: 2}),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constantFrom('lose' as const, 'fail' as const),
      count: fc.integer({min: 1, max: 4}),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('outage' as const),
      isOut: fc.boolean(),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('wait' as const),
      ms: fc.constantFrom(5, 50, 500, 5000),
    }),
  },
);

function createRaceProperty(wrapStore: StoreWrapper) {
  return fc.asyncProperty(
    fc.array(raceStep, {minLength: 4, maxLength: 25}),
    async (steps) => {
      const site = new ConfigFixture(wrapStore);
      site.store.setCallDurationMs(10);
      for (const [index, step] of steps.entries()) {
        await applyRaceStep(site, step, index);
      }
      await site.settle();
      site.store.setOutage(false);
      site.store.loseNextWriteResponses(0);
      site.store.failNextCalls(0);
      site.store.setCallDurationMs(0);
      checkOutcomes(await site.readRecords(), site.reported);
    },
  );
}

async function applyRaceStep(
  site: ConfigFixture,
  step: RaceStep,
  index: number,
): Promise<void> {
  const {store, clock} = site;
  if (step.kind === 'edit') {
    site.startEdit(`operator-${step.operator}`, `text of step ${index}`);
  }
  if (step.kind === 'lose') store.loseNextWriteResponses(step.count);
  if (step.kind === 'fail') store.failNextCalls(step.count);
  if (step.kind === 'outage') store.setOutage(step.isOut);
  if (step.kind === 'wait') await clock.advance(step.ms);
}

const faultyStores: Record<string, StoreWrapper> = {
  'ignores versions': (store) => {
    const overwrite: ObjectStore['updateObject'] = async (key, value) => {
      const object = await store.getObject(key);
      try {
        return await store.updateObject(key, value, object?.version ?? 0);
      } catch (error) {
        if (!isErrorOfKind(error, 'version_conflict')) throw error;
        return overwrite(key, value, 0);
      }
    };
    return override(store, 'updateObject', overwrite);
  },
  'hides ambiguous outcomes': (store) =>
    override(
      store,
      'updateObject',
      async (key: string, value: string, version: number) => {
        try {
          return await store.updateObject(key, value, version);
        } catch (error) {
          if (!isErrorOfKind(error, 'store_ambiguous')) throw error;
          throw MarigoldpostError.create('invalid_request', 'not written');
        }
      },
    ),
};

function override(
  store: ObjectStore,
  name: 'updateObject',
  method: ObjectStore['updateObject'],
): ObjectStore {
  return new Proxy(store, {
    get: (target, key) => {
      if (key === name) return method;
      const member: unknown = Reflect.get(target, key);
      return typeof member === 'function' ? member.bind(target) : member;
    },
  });
}
