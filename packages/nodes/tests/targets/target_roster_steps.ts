/** Steps for the roster of targets. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {
  type DataCentreId,
  type ServiceId,
  type TargetId,
  toId,
  VirtualClock,
} from '@marigoldpost/common';
import {TargetRoster} from '@marigoldpost/nodes';
import type {StoredObject} from '@marigoldpost/platform';
import type {TargetEntry} from '@marigoldpost/sites';
import {EventLogger} from '@marigoldpost/telemetry';

interface RosterWorld extends World {
  clock: VirtualClock;
  roster: TargetRoster;
  usable: string[];
}

const prefix = 'targets/';

Given(
  'a roster of targets {string}',
  function (this: RosterWorld, names: string) {
    this.clock = VirtualClock.create();
    this.roster = TargetRoster.create({
      clock: this.clock,
      logger: EventLogger.createSilent(),
      prefix,
      decode,
      onChanged: (targets) => {
        this.usable = targets.map(({id}) => id);
      },
    });
    this.roster.replaceObjects(names.split(', ').map((name) => toObject(name)));
  },
);

When(
  'the registry says that target {string} drains',
  function (this: RosterWorld, name: string) {
    put(this, name, 'draining');
  },
);

When(
  'the registry holds something else at {string}',
  function (this: RosterWorld, name: string) {
    put(this, name, 'garbage');
  },
);

When(
  'target {string} leaves the registry',
  function (this: RosterWorld, name: string) {
    this.roster.applyChange({
      key: `${prefix}${name}`,
      object: undefined,
      version: 9,
    });
  },
);

When(
  'the platform comes back after {int} ms without target {string}',
  function (this: RosterWorld, outageMs: number, name: string) {
    this.roster.noteLost(new Error('no answer'));
    this.roster.noteBack(outageMs);
    this.roster.applyChange({
      key: `${prefix}${name}`,
      object: undefined,
      version: 9,
    });
  },
);

When(
  'the registry lists target {string} after {int} ms',
  async function (this: RosterWorld, name: string, elapsedMs: number) {
    await this.clock.advance(elapsedMs);
    put(this, name, 'ready');
  },
);

When(
  '{int} ms pass at the roster',
  async function (this: RosterWorld, elapsedMs: number) {
    await this.clock.advance(elapsedMs);
  },
);

Then(
  'requests may go to {string}',
  function (this: RosterWorld, names: string) {
    assert.deepEqual(this.usable.toSorted(), names.split(', '));
  },
);

Then('requests may go to nobody', function (this: RosterWorld) {
  assert.deepEqual(this.usable, []);
});

function put({roster}: RosterWorld, name: string, state: string): void {
  const object = toObject(name, state);
  roster.applyChange({key: object.key, object, version: 5});
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
