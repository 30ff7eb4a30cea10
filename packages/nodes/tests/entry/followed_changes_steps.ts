/** Steps for entry VMs that follow the site's objects through archives. */
import assert from 'node:assert/strict';
import {After, Given, Then, When, type World} from '@cucumber/cucumber';
import {SeededRandom, VirtualClock} from '@marigoldpost/common';
import {
  type FollowedReader,
  FollowedSite,
  followedPrefix,
} from '../fixtures/followed_site.js';

interface FollowedWorld extends World {
  clock: VirtualClock;
  site: FollowedSite;
  callsBefore: number;
  firstSiteCalls: number;
  secondSiteCalls: number;
  finished: FollowedSite[];
}

const settleMs = 5000;
const stepMs = 10;
const laterChangeMs = 300;
const laterChangeCount = 10;
/** Wall time for all seeds, on a busy machine. */
const playTimeoutMs = 60_000;

const faults: Record<string, (reader: FollowedReader) => void> = {
  die: (reader) => {
    reader.isUp = false;
    reader.stop();
  },
  freeze: (reader) => {
    reader.isFrozen = true;
  },
  'is cut from the entry VMs': (reader) => {
    reader.isCut = true;
  },
  'is refused by the object API': (reader) => {
    reader.access = 'refused';
  },
  'gets responses to stale reads only': (reader) => {
    reader.access = 'stale_only';
  },
  'loses its next response': (reader) => {
    reader.store.lostResponses = 1;
  },
  'get no response of the object API': (reader) => {
    reader.access = 'silent';
  },
};
const singularFaults: Record<string, string> = {
  'gets responses to stale reads only': 'gets responses to stale reads only',
  dies: 'die',
  freezes: 'freeze',
  'gets no response of the object API': 'get no response of the object API',
};

After(function (this: FollowedWorld) {
  this.site?.stop();
});

async function startSite(
  world: FollowedWorld,
  entries: number,
  archives: number,
  seed = 1,
): Promise<void> {
  world.clock = VirtualClock.create();
  world.site = new FollowedSite(world.clock, SeededRandom.create(seed));
  for (let index = 0; index < archives; index++) world.site.addReader();
  for (let index = 0; index < entries; index++) world.site.addFollower();
  await world.clock.advance(settleMs);
}

Given(
  '{int} entry VMs that follow "targets\\/" through {int} archives',
  async function (this: FollowedWorld, entries: number, archives: number) {
    await startSite(this, entries, archives);
  },
);

Given(
  '{int} entry VMs that follow "targets\\/" through {int} archives of an earlier build',
  async function (this: FollowedWorld, entries: number, archives: number) {
    await startSite(this, entries, archives);
    this.site.isEarlierBuild = true;
    await this.clock.advance(settleMs);
  },
);

function applyFault(world: FollowedWorld, fault: string, key: string): void {
  const readers =
    fault in singularFaults || /^(is|loses) /.test(fault)
      ? [world.site.getFirstReader()]
      : world.site.readers;
  const apply = faults[singularFaults[fault] ?? fault];
  assert.notEqual(apply, undefined, fault);
  for (const reader of readers) apply?.(reader);
  world.callsBefore = world.site.store.callsMs.length;
  world.site.store.change(key, 'written');
}

When(
  /^(?:the reader of the first entry VM|all readers) (dies?|freezes?|is cut from the entry VMs|is refused by the object API|loses its next response|gets responses to stale reads only|gets? no response of the object API) and object "(.*)" is written$/,
  function (this: FollowedWorld, fault: string, key: string) {
    applyFault(this, fault, key);
  },
);

When(
  'all readers freeze for {int} ms and object {string} is written',
  async function (this: FollowedWorld, frozenMs: number, key: string) {
    applyFault(this, 'freeze', key);
    await this.clock.advance(frozenMs);
  },
);

When(
  'object {string} is written as they wake up',
  function (this: FollowedWorld, key: string) {
    for (const reader of this.site.readers) reader.isFrozen = false;
    this.site.store.change(key, 'written');
  },
);

When('object {string} is written', function (this: FollowedWorld, key: string) {
  this.site.store.change(key, 'written');
});

When(
  'the object API discards its history after objects {string} and {string} are written and {string} is removed',
  async function (
    this: FollowedWorld,
    first: string,
    second: string,
    removed: string,
  ) {
    const {store} = this.site;
    this.callsBefore = store.callsMs.length;
    store.isQuiet = true;
    store.change(first, 'written');
    store.change(second, 'written');
    store.change(removed, undefined);
    store.isQuiet = false;
    store.historyStart = store.version;
    store.endWaits();
    await this.clock.advance(0);
  },
);

When(
  'the object API leaves waits from before its history without an answer',
  function (this: FollowedWorld) {
    this.site.store.leavesOldWaits = true;
  },
);

When(
  'all readers are refused by the object API and object {string} is written and discarded from the history',
  async function (this: FollowedWorld, key: string) {
    const {readers, store} = this.site;
    for (const reader of readers) reader.access = 'refused';
    store.isQuiet = true;
    store.change(key, 'written');
    store.historyStart = store.version;
    await this.clock.advance(0);
  },
);

When(
  'stale listings are older than the history for {int} ms',
  async function (this: FollowedWorld, forMs: number) {
    const {store} = this.site;
    store.staleVersion = store.version;
    store.change(`${followedPrefix}a`, 'written');
    store.historyStart = store.version;
    this.callsBefore = store.staleCallsMs.length;
    await this.clock.advance(forMs);
  },
);

Then(
  'the readers sent at most {int} stale calls since',
  function (this: FollowedWorld, most: number) {
    const calls = this.site.store.staleCallsMs.length - this.callsBefore;
    assert.ok(calls <= most, `${calls} calls`);
  },
);

async function measureUntilKnown(
  {clock, site}: FollowedWorld,
  key: string,
  boundMs: number,
): Promise<number> {
  const startMs = clock.nowMs();
  while (!site.isKnown(key) && clock.nowMs() - startMs <= boundMs) {
    await clock.advance(stepMs);
  }
  return clock.nowMs() - startMs;
}

Then(
  'each entry VM knows object {string} within {int} ms',
  async function (this: FollowedWorld, key: string, boundMs: number) {
    const elapsedMs = await measureUntilKnown(this, key, boundMs);
    assert.ok(elapsedMs <= boundMs, `not known after ${elapsedMs} ms`);
  },
);

Then(
  'each entry VM knows all later changes within {int} ms',
  async function (this: FollowedWorld, boundMs: number) {
    for (let index = 0; index < laterChangeCount; index++) {
      await this.clock.advance(laterChangeMs * index);
      const key = `${followedPrefix}later-${index}`;
      this.site.store.change(key, 'written');
      const elapsedMs = await measureUntilKnown(this, key, boundMs);
      assert.ok(elapsedMs <= boundMs, `${key}: after ${elapsedMs} ms`);
    }
  },
);

Then(
  'the object API received at most {int} calls since',
  function (this: FollowedWorld, most: number) {
    const calls = this.site.store.callsMs.length - this.callsBefore;
    assert.ok(calls <= most, `${calls} calls`);
  },
);

When(
  'the site has run for {int} ms',
  async function (this: FollowedWorld, waitMs: number) {
    await this.clock.advance(waitMs);
    this.firstSiteCalls = this.site.store.callsMs.length;
    this.site.stop();
  },
);

When(
  '{int} entry VMs follow "targets\\/" through {int} archives for as long',
  async function (this: FollowedWorld, entries: number, archives: number) {
    const durationMs = this.clock.nowMs() - settleMs;
    await startSite(this, entries, archives);
    await this.clock.advance(durationMs);
    this.secondSiteCalls = this.site.store.callsMs.length;
  },
);

Then(
  'the second site sent no more than {int} calls more than the first',
  function (this: FollowedWorld, most: number) {
    const more = this.secondSiteCalls - this.firstSiteCalls;
    assert.ok(more <= most, `${more} more calls`);
  },
);

async function playRandomSite(
  world: FollowedWorld,
  seed: number,
): Promise<void> {
  await startSite(world, 4, 3, seed);
  const random = SeededRandom.create(seed);
  const {site, clock} = world;
  const kinds = ['freeze', 'is refused by the object API'];
  kinds.push('loses its next response');
  kinds.push('get no response of the object API', 'is cut from the entry VMs');
  for (let round = 0; round < 40; round++) {
    const reader = site.readers[Math.floor(random.next() * 3)];
    const kind = kinds[Math.floor(random.next() * kinds.length)] ?? '';
    if (reader === undefined) continue;
    if (random.next() < 0.5) faults[kind]?.(reader);
    else heal(reader);
    const writes = Math.floor(random.next() * 4);
    for (let write = 0; write < writes; write++) {
      const key = `${followedPrefix}${Math.floor(random.next() * 3)}`;
      const isRemoval = random.next() < 0.3 && site.store.objects.has(key);
      const value = isRemoval ? undefined : `${round}.${write}`;
      site.store.change(key, value);
      if (random.next() < 0.5) await clock.advance(random.next() * 20);
    }
    await clock.advance(random.next() * 1500);
  }
  for (const reader of site.readers) heal(reader);
}

function heal(reader: FollowedReader): void {
  reader.isFrozen = false;
  reader.isCut = false;
  reader.access = 'served';
  reader.store.lostResponses = 0;
}

When(
  'entry VMs follow random changes through readers that fail at random, with seeds {int} to {int}',
  {timeout: playTimeoutMs},
  async function (this: FollowedWorld, first: number, last: number) {
    this.finished = [];
    for (let seed = first; seed <= last; seed++) {
      await playRandomSite(this, seed);
      await this.clock.advance(6000);
      this.finished.push(this.site);
      this.site.stop();
    }
  },
);

Then(
  'no entry VM saw an earlier version after a later one',
  function (this: FollowedWorld) {
    for (const [index, {followers}] of this.finished.entries()) {
      const isBack = followers.some(({hasGoneBack}) => hasGoneBack);
      assert.equal(isBack, false, `seed ${index + 1}`);
    }
  },
);

Then(
  'each entry VM knew the final objects {int} ms after the last fault',
  function (this: FollowedWorld, _afterMs: number) {
    for (const [index, {followers, store}] of this.finished.entries()) {
      for (const {objects} of followers) {
        assert.deepEqual(objects, store.objects, `seed ${index + 1}`);
      }
    }
  },
);
