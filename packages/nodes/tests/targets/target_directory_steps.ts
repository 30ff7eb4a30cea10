/** Steps for the target directory. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {
  type DataCentreId,
  type ServiceId,
  type TargetId,
  toId,
  VirtualClock,
} from '@marigoldpost/common';
import {TargetDirectory} from '@marigoldpost/nodes';
import type {StoredObject} from '@marigoldpost/platform';
import type {TargetEntry} from '@marigoldpost/sites';
import {EventLogger} from '@marigoldpost/telemetry';

interface TargetDirectoryWorld extends World {
  clock: VirtualClock;
  directory: TargetDirectory;
  usable: string[];
}

const prefix = 'targets/';

Given(
  'a target directory with targets {string}',
  function (this: TargetDirectoryWorld, names: string) {
    this.clock = VirtualClock.create();
    this.directory = TargetDirectory.create({
      clock: this.clock,
      logger: EventLogger.createSilent(),
      prefix,
      decode,
      onChanged: (targets) => {
        this.usable = targets.map(({id}) => id);
      },
    });
    this.directory.replaceObjects(
      names.split(', ').map((name) => toObject(name)),
    );
  },
);

When(
  'target {string} is registered as draining',
  function (this: TargetDirectoryWorld, name: string) {
    put(this, name, 'draining');
  },
);

When(
  'the registry entry of target {string} is malformed',
  function (this: TargetDirectoryWorld, name: string) {
    put(this, name, 'garbage');
  },
);

When(
  'target {string} is removed from the registry',
  function (this: TargetDirectoryWorld, name: string) {
    this.directory.applyChange({
      key: `${prefix}${name}`,
      object: undefined,
      version: 9,
    });
  },
);

When(
  'the platform comes back after {int} ms without target {string}',
  function (this: TargetDirectoryWorld, outageMs: number, name: string) {
    this.directory.onWatchFailed(new Error('no answer'));
    this.directory.onWatchRecovered(outageMs);
    this.directory.applyChange({
      key: `${prefix}${name}`,
      object: undefined,
      version: 9,
    });
  },
);

When(
  'target {string} is registered again after {int} ms',
  async function (this: TargetDirectoryWorld, name: string, elapsedMs: number) {
    await this.clock.advance(elapsedMs);
    put(this, name, 'ready');
  },
);

When(
  '{int} ms pass at the target directory',
  async function (this: TargetDirectoryWorld, elapsedMs: number) {
    await this.clock.advance(elapsedMs);
  },
);

Then(
  'requests may go to {string}',
  function (this: TargetDirectoryWorld, names: string) {
    assert.deepEqual(this.usable.toSorted(), names.split(', '));
  },
);

Then('requests may go to no target', function (this: TargetDirectoryWorld) {
  assert.deepEqual(this.usable, []);
});

function put(
  {directory}: TargetDirectoryWorld,
  name: string,
  state: string,
): void {
  const object = toObject(name, state);
  directory.applyChange({key: object.key, object, version: 5});
}

function toObject(name: string, state = 'ready'): StoredObject {
  return {key: `${prefix}${name}`, value: state, version: 1};
}

function decode({key, value}: StoredObject): TargetEntry | undefined {
  if (value === 'garbage') return undefined;
  return {
    id: toId<TargetId>(key.slice(prefix.length)),
    service: toId<ServiceId>('service'),
    address: {host: '10.0.0.1', port: 80},
    dataCentre: toId<DataCentreId>('north'),
    slots: 1,
    isDraining: value === 'draining',
    startedAtMs: 1,
  };
}
