/** Steps for the quarantine: scripts, simulations and merge properties. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import fc from 'fast-check';
import {
  type Fingerprint,
  type TargetId,
  toId,
  VirtualClock,
} from '@marigoldpost/common';
import {Quarantine, type QuarantineEntry} from '@marigoldpost/targets';
import {type FleetResult, runFleet} from '../fixtures/quarantine_fleet.js';

interface QuarantineWorld extends World {
  quarantine: Quarantine;
  other: Quarantine;
  clock: VirtualClock;
  fleetResults: FleetResult[];
  load: fc.Arbitrary<RequestLoad>;
  entries: fc.Arbitrary<QuarantineEntry[][]>;
}

/** Generated load of requests over targets; request 0 kills its target. */
interface RequestLoad {
  readonly requests: number;
  readonly targets: number;
  readonly window: number;
  readonly picks: readonly number[];
}

const seed = 20261203;
const request = toId<Fingerprint>('request');
const roundMs = 20_000;

function createQuarantine(clock = VirtualClock.create()): Quarantine {
  return Quarantine.create({clock, deathsToQuarantine: 2});
}

When(
  /^the quarantine hears of deaths (.*) with the request$/,
  function (this: QuarantineWorld, script: string) {
    const clock = VirtualClock.create();
    this.clock = clock;
    this.quarantine = createQuarantine(clock);
    for (const word of script.split(' ')) {
      if (word === 'survived') this.quarantine.recordSurvival(request);
      else if (word === 'lifted') this.quarantine.lift(request);
      else if (word !== 'none') recordDeathAt(this.quarantine, clock, word);
    }
  },
);

When(
  'two quarantines record one death and then merge',
  function (this: QuarantineWorld) {
    const clock = VirtualClock.create();
    const other = createQuarantine(clock);
    this.quarantine = createQuarantine(clock);
    recordDeathAt(this.quarantine, clock, 'a@0');
    recordDeathAt(other, clock, 'a@40');
    this.quarantine.mergeEntries(other.getEntries());
  },
);

When(
  'a request completes at a daemon that has heard of its first death only',
  function (this: QuarantineWorld) {
    const clock = VirtualClock.create();
    this.quarantine = createQuarantine(clock);
    this.other = createQuarantine(clock);
    recordDeathAt(this.quarantine, clock, 'a@0');
    this.other.mergeEntries(this.quarantine.getEntries());
    recordDeathAt(this.quarantine, clock, 'b@1');
    this.other.recordSurvival(request);
    this.quarantine.mergeEntries(this.other.getEntries());
    this.other.mergeEntries(this.quarantine.getEntries());
  },
);

Then(
  'both daemons hold the request as quarantined in the end',
  function (this: QuarantineWorld) {
    assert.equal(this.quarantine.isQuarantined(request), true);
    assert.equal(this.other.isQuarantined(request), true);
  },
);

Then(
  /^the quarantine holds the request as (free|suspect|quarantined)$/,
  function (this: QuarantineWorld, state: string) {
    const {quarantine} = this;
    assert.equal(quarantine.isSuspect(request), state === 'suspect');
    assert.equal(quarantine.isQuarantined(request), state === 'quarantined');
    const listed = quarantine.getQuarantined().includes(request);
    assert.equal(listed, state === 'quarantined');
  },
);

When(
  '{int} minutes pass in the quarantine and another death is recorded',
  function (this: QuarantineWorld, minutes: number) {
    this.clock.skip(minutes * 60_000);
    this.quarantine.recordDeath(toId<TargetId>('z'), [toFingerprint(1)]);
  },
);

Then(
  /^the quarantine tells of the request (yes|no) and holds it as (\w+)$/,
  function (this: QuarantineWorld, announced: string, state: string) {
    const {quarantine} = this;
    const entries = quarantine.getEntries();
    const isAnnounced = entries.some(
      ({fingerprint}) => fingerprint === request,
    );
    assert.equal(isAnnounced, announced === 'yes');
    assert.equal(quarantine.isSuspect(request), state === 'suspect');
    assert.equal(quarantine.isQuarantined(request), state === 'quarantined');
  },
);

When(
  '{int} requests kill targets that {int} daemons share, each with a window of {int} on {int} targets',
  function (
    this: QuarantineWorld,
    runs: number,
    daemons: number,
    window: number,
    targets: number,
  ) {
    const options = {daemons, window, targets};
    this.fleetResults = Array.from({length: runs}, (_unused, run) =>
      runFleet(options, run + 1),
    );
  },
);

Then(
  'the quarantines hold all killing and at most {int} innocent requests',
  function (this: QuarantineWorld, innocents: number) {
    assert.ok(
      this.fleetResults.every(({isKillerQuarantined}) => isKillerQuarantined),
    );
    const counts = this.fleetResults.map((one) => one.innocentQuarantinedCount);
    const sum = counts.reduce((left, right) => left + right, 0);
    assert.ok(sum <= innocents, `${sum} innocent requests were quarantined`);
  },
);

Given(
  'any load with one killing request that is sent repeatedly',
  function (this: QuarantineWorld) {
    this.load = fc.record({
      requests: fc.integer({min: 2, max: 40}),
      targets: fc.integer({min: 1, max: 6}),
      window: fc.integer({min: 1, max: 8}),
      picks: fc.array(fc.nat(), {minLength: 20, maxLength: 60}),
    });
  },
);

Then(
  'the quarantine lets the killing request kill exactly 2 targets',
  function (this: QuarantineWorld) {
    const property = fc.property(this.load, (load) => {
      assert.equal(runLoad(load).deaths, 2);
    });
    fc.assert(property, {seed});
  },
);

Then(
  'the quarantine holds no innocent request',
  function (this: QuarantineWorld) {
    const property = fc.property(this.load, (load) => {
      assert.deepEqual(runLoad(load).quarantined, [toFingerprint(0)]);
    });
    fc.assert(property, {seed});
  },
);

Given(
  'any quarantine entries of three daemons',
  function (this: QuarantineWorld) {
    const entry = fc.record({
      fingerprint: fc.nat({max: 2}).map(toFingerprint),
      version: fc.nat({max: 2}),
      quarantinedDeaths: fc.nat({max: 2}),
      deaths: fc.array(
        fc.record({
          target: fc.constantFrom('a', 'b').map((id) => toId<TargetId>(id)),
          startedAtMs: fc.nat({max: 1}),
          ordinal: fc.integer({min: 1, max: 2}),
          atMs: fc.nat({max: 30_000}),
          isCleared: fc.boolean(),
        }),
        {maxLength: 3},
      ),
    });
    const entries = fc.uniqueArray(entry, {
      selector: ({fingerprint}) => fingerprint,
      maxLength: 3,
    });
    this.entries = fc.array(entries, {minLength: 3, maxLength: 3});
  },
);

Then(
  'merging the entries is commutative and idempotent',
  function (this: QuarantineWorld) {
    const property = fc.property(this.entries, (lists) => {
      const forward = merge(lists);
      const backward = merge([...lists].reverse());
      const repeated = merge([...lists, ...lists]);
      assert.deepEqual(backward, forward);
      assert.deepEqual(repeated, forward);
    });
    fc.assert(property, {seed, numRuns: 1000});
  },
);

/** Sends the killing request among others until it is quarantined. */
function runLoad({requests, targets, window, picks}: RequestLoad): {
  deaths: number;
  quarantined: readonly Fingerprint[];
} {
  const clock = VirtualClock.create();
  const quarantine = createQuarantine(clock);
  let deaths = 0;
  for (const pick of picks) {
    clock.skip(roundMs);
    const others = Array.from({length: window}, (_unused, index) =>
      toFingerprint(1 + ((pick + index) % (requests - 1))),
    );
    for (const group of getGroups(quarantine, [toFingerprint(0), ...others])) {
      const target = toId<TargetId>(`target-${pick % targets}`);
      if (!group.includes(toFingerprint(0))) {
        for (const fingerprint of group) quarantine.recordSurvival(fingerprint);
        continue;
      }
      deaths += 1;
      quarantine.recordDeath(target, group);
    }
  }
  return {deaths, quarantined: quarantine.getQuarantined()};
}

/** Groups requests: suspects alone, others together, no quarantined ones. */
function getGroups(
  quarantine: Quarantine,
  fingerprints: readonly Fingerprint[],
): Fingerprint[][] {
  const allowed = fingerprints.filter((one) => !quarantine.isQuarantined(one));
  const suspects = allowed.filter((one) => quarantine.isSuspect(one));
  const others = allowed.filter((one) => !quarantine.isSuspect(one));
  return [...suspects.map((one) => [one]), others];
}

function merge(lists: readonly QuarantineEntry[][]): unknown {
  const quarantine = createQuarantine();
  for (const list of lists) quarantine.mergeEntries(list);
  const entries = quarantine.getEntries().map(({deaths, ...entry}) => ({
    ...entry,
    deaths: [
      ...new Set(deaths.map((one) => JSON.stringify(Object.entries(one)))),
    ].sort(),
    isQuarantined: quarantine.isQuarantined(entry.fingerprint),
  }));
  return entries.sort((left, right) =>
    left.fingerprint < right.fingerprint ? -1 : 1,
  );
}

function recordDeathAt(
  quarantine: Quarantine,
  clock: VirtualClock,
  word: string,
): void {
  const [target = '', atMs] = word.split('@');
  clock.skip(Number(atMs) - clock.nowMs());
  quarantine.recordDeath(toId<TargetId>(target), [request]);
}

function toFingerprint(index: number): Fingerprint {
  return toId<Fingerprint>(`request-${index}`);
}
