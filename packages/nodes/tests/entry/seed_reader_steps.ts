/** Steps for entry VMs that start without the object API. */
import assert from 'node:assert/strict';
import {create} from '@bufbuild/protobuf';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {MarigoldpostError, VirtualClock} from '@marigoldpost/common';
import {SeedReader} from '@marigoldpost/nodes';
import {
  type PeerAddress,
  type PeerReplyBody,
  PeerRequester,
  SiteObjectSchema,
  SiteObjectsSchema,
  SiteVersionSchema,
} from '@marigoldpost/peers';
import {EventLogger} from '@marigoldpost/telemetry';

interface Seed {
  /** Names of the targets that it knows; `undefined` if it does not reply. */
  readonly targets: readonly string[] | undefined;
  readonly version: number | undefined;
}

interface SeedWorld extends World {
  seeds: Seed[];
  targets: string[];
}

const prefix = 'targets/';
const startMs = 3000;

function addSeed(world: SeedWorld, seed: Seed): void {
  world.seeds = [...(world.seeds ?? []), seed];
}

Given(
  'a seed that knows targets {string} at version {int}',
  function (this: SeedWorld, targets: string, version: number) {
    addSeed(this, {targets: targets.split(', '), version});
  },
);

Given(
  'a seed of an earlier build that knows targets {string}',
  function (this: SeedWorld, targets: string) {
    addSeed(this, {targets: targets.split(', '), version: undefined});
  },
);

Given('a seed that does not reply', function (this: SeedWorld) {
  addSeed(this, {targets: undefined, version: undefined});
});

/** Replies as the seed whose number is the port of its address. */
class SeedTransport extends PeerRequester {
  constructor(private readonly seeds: readonly Seed[]) {
    super();
  }

  override ask({address}: PeerAddress): Promise<PeerReplyBody> {
    const seed = this.seeds[Number(new URL(address).port) - 1];
    if (seed?.targets === undefined) {
      const message = 'the seed does not reply';
      return Promise.reject(MarigoldpostError.create('peer_lost', message));
    }
    const objects = seed.targets.map((name) =>
      create(SiteObjectSchema, {key: `${prefix}${name}`, value: '{}'}),
    );
    const {version} = seed;
    const versions =
      version === undefined
        ? []
        : [create(SiteVersionSchema, {prefix, version: BigInt(version)})];
    const value = create(SiteObjectsSchema, {objects, versions});
    return Promise.resolve({case: 'siteObjects', value});
  }
}

When(
  'an entry VM starts without the object API',
  async function (this: SeedWorld) {
    const clock = VirtualClock.create();
    const controller = new AbortController();
    let targets: string[] | undefined;
    const reader = SeedReader.create({
      seeds: this.seeds.map((_, index) => ({host: 'seed', port: index + 1})),
      transport: new SeedTransport(this.seeds),
      clock,
      logger: EventLogger.createSilent(),
      parts: [
        {
          prefix,
          isLoaded: () => targets !== undefined,
          sink: {
            replaceObjects: (objects) => {
              targets = objects.map(({key}) => key.slice(prefix.length));
            },
            applyChange: () => undefined,
          },
        },
      ],
    });
    const running = reader.run(controller.signal).catch(() => undefined);
    await clock.advance(startMs);
    controller.abort();
    await running;
    this.targets = targets ?? [];
  },
);

Then('it knows targets {string}', function (this: SeedWorld, targets: string) {
  assert.equal(this.targets.join(', '), targets);
});
