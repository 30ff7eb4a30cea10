/** Steps for requests of further archives beside slow ones. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {
  type DataCentreId,
  type ProgramId,
  toId,
  VirtualClock,
} from '@marigoldpost/common';
import type {TurnId} from '@marigoldpost/sites';
import {
  ReservationBallot,
  type ReservationBallotOptions,
} from '@marigoldpost/turns';

interface Ballot {
  readonly startMs: number;
  elapsedMs: number;
  asked: number;
  /** Time until the last archive was asked. */
  lastAskedMs: number;
}

interface HedgeWorld extends World {
  clock: VirtualClock;
  messageMs: number;
  archiveCount: number;
  silentCount: number;
  ballots: Ballot[];
}

const archiveMs = 5;
const lastMs = 1000;
const drainMs = 60_000;
const home = toId<DataCentreId>('zone-0');

Given(
  'an entry VM whose processor needs {float} ms for each message to or from {int} archives',
  function (this: HedgeWorld, messageMs: number, archives: number) {
    this.clock = VirtualClock.create();
    this.messageMs = messageMs;
    this.archiveCount = archives;
    this.silentCount = 0;
    this.ballots = [];
  },
);

Given(
  'the first {int} archives that are asked are silent',
  function (this: HedgeWorld, count: number) {
    this.silentCount = count;
  },
);

/** A processor that handles one message after the other. */
class Processor {
  private freeMs = 0;

  constructor(private readonly clock: VirtualClock) {}

  async handle(costMs: number): Promise<void> {
    const nowMs = this.clock.nowMs();
    this.freeMs = Math.max(nowMs, this.freeMs) + costMs;
    await this.clock.sleep(this.freeMs - nowMs);
  }
}

function createStarter(world: HedgeWorld): () => Promise<void> {
  const {clock, messageMs} = world;
  const processor = new Processor(clock);
  return async () => {
    const startMs = clock.nowMs();
    const ballot: Ballot = {startMs, elapsedMs: 0, asked: 0, lastAskedMs: 0};
    world.ballots.push(ballot);
    const reserve = async () => {
      ballot.asked += 1;
      ballot.lastAskedMs = clock.nowMs() - startMs;
      const isSilent = ballot.asked <= world.silentCount;
      await processor.handle(messageMs);
      await clock.sleep(isSilent ? drainMs : archiveMs);
      await processor.handle(messageMs);
      return {
        isGranted: true,
        isComplete: true,
        isExact: true,
        settledTokens: 0,
        supersededDisks: [],
      };
    };
    const clients = Array.from({length: world.archiveCount}, (_, index) => ({
      dataCentre: `zone-${index % 3}`,
      isReachable: true,
      member: {daemon: `archive-${index}`, disk: `disk-${index}`},
      reserve,
    }));
    const request = ReservationBallot.create({
      clients,
      supersededDisks: new Set(),
      onSuperseded: () => undefined,
      clock,
      location: {home, own: home},
      reservation: {
        program: toId<ProgramId>(`program-${world.ballots.length}`),
        attempt: toId<TurnId>('turn'),
        tokens: 10,
        budgetTokens: 100,
        isForced: false,
      },
    } as unknown as ReservationBallotOptions);
    await request.run();
    ballot.elapsedMs = clock.nowMs() - startMs;
  };
}

When(
  '{int} reservations arrive at once, then one every {int} ms for {int} ms',
  async function (
    this: HedgeWorld,
    burst: number,
    everyMs: number,
    forMs: number,
  ) {
    const start = createStarter(this);
    const running = Array.from({length: burst}, start);
    for (let atMs = 0; atMs < forMs; atMs += everyMs) {
      running.push(start());
      await this.clock.advance(everyMs);
    }
    await this.clock.advance(drainMs);
    await Promise.all(running);
  },
);

When('1 reservation arrives', async function (this: HedgeWorld) {
  void createStarter(this)();
  await this.clock.advance(lastMs);
});

function getLast({ballots}: HedgeWorld): Ballot[] {
  const endMs = Math.max(...ballots.map(({startMs}) => startMs));
  return ballots.filter(({startMs}) => startMs > endMs - lastMs);
}

function getMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

Then(
  'the reservations of the last second take at most {int} ms',
  function (this: HedgeWorld, mostMs: number) {
    for (const {elapsedMs} of getLast(this)) {
      assert.ok(elapsedMs > 0 && elapsedMs <= mostMs, `${elapsedMs} ms`);
    }
  },
);

Then(
  'the reservations of the last second ask all archives within {int} ms',
  function (this: HedgeWorld, mostMs: number) {
    for (const {asked, lastAskedMs} of getLast(this)) {
      assert.equal(asked, this.archiveCount);
      assert.ok(lastAskedMs <= mostMs, `${lastAskedMs} ms`);
    }
  },
);

Then(
  'at most {int} archives are asked for each reservation of the last second',
  function (this: HedgeWorld, most: number) {
    const asked = getMean(getLast(this).map((ballot) => ballot.asked));
    assert.ok(asked <= most, `${asked} archives`);
  },
);
