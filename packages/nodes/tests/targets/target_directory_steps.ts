/** Steps for the target directory. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {
  type DaemonId,
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
  registered: string[];
  usable: string[];
  lost: string[];
  lines: LogLine[];
}

interface LogLine {
  readonly name: string;
  readonly key: string;
}

const prefix = 'targets/';

Given(
  'a target directory with targets {string}',
  function (this: TargetDirectoryWorld, names: string) {
    this.clock = VirtualClock.create();
    this.lines = [];
    this.lost = [];
    this.directory = TargetDirectory.create({
      clock: this.clock,
      logger: EventLogger.create({
        level: 'warn',
        daemon: toId<DaemonId>('entry-0'),
        destination: {
          write: (line) => this.lines.push(JSON.parse(line) as LogLine),
        },
      }),
      prefix,
      bounds: {drainMs: 2000, contactMs: 3000},
      decode,
      onChanged: (targets) => {
        this.usable = targets.map(({id}) => id);
      },
      onLost: ({id}) => this.lost.push(id),
    });
    this.registered = names.split(', ');
    list(this);
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
  'target {string} is registered with a later start',
  function (this: TargetDirectoryWorld, name: string) {
    put(this, name, 'restarted');
  },
);

When(
  'the registry entry of target {string} makes the decoder throw',
  function (this: TargetDirectoryWorld, name: string) {
    put(this, name, 'poison');
  },
);

When(
  'the registry entries of {int} other targets are malformed',
  function (this: TargetDirectoryWorld, count: number) {
    for (let index = 0; index < count; index++) {
      put(this, `other-${index}`, 'garbage');
    }
  },
);

Then(
  /^(one|\d+) lines? names? (?:the object "(.+)"|an object) as ignored$/,
  function (this: TargetDirectoryWorld, count: string, key: string | null) {
    const lines = this.lines.filter(
      (line) =>
        line.name === 'object_ignored' && (key === null || line.key === key),
    );
    assert.equal(lines.length, count === 'one' ? 1 : Number(count));
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
    recover(this, {outageMs, missing: name, failedAgoMs: 0});
  },
);

When(
  'the platform comes back after {int} ms without target {string}, {int} ms after the last failed call',
  function (
    this: TargetDirectoryWorld,
    outageMs: number,
    name: string,
    failedAgoMs: number,
  ) {
    recover(this, {outageMs, missing: name, failedAgoMs});
  },
);

When(
  'the platform comes back after {int} ms without targets, {int} ms after the last failed call',
  function (this: TargetDirectoryWorld, outageMs: number, failedAgoMs: number) {
    this.directory.onWatchFailed(new Error('no answer'));
    this.directory.onWatchRecovered(outageMs, failedAgoMs);
    this.directory.replaceObjects([]);
  },
);

When(
  'the platform comes back after {int} ms with all targets',
  function (this: TargetDirectoryWorld, outageMs: number) {
    recover(this, {outageMs, failedAgoMs: 0});
  },
);

When(
  'the platform is away again for {int} ms, and target {string} is still missing',
  async function (this: TargetDirectoryWorld, outageMs: number, name: string) {
    await this.clock.advance(outageMs);
    recover(this, {outageMs, missing: name, failedAgoMs: 0});
  },
);

When(
  'a watch without its history lists the targets without target {string}',
  function (this: TargetDirectoryWorld, name: string) {
    list(this, name);
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

Then('no target is lost', function (this: TargetDirectoryWorld) {
  assert.deepEqual(this.lost, []);
});

Then(
  'target {string} is lost',
  function (this: TargetDirectoryWorld, name: string) {
    assert.deepEqual(this.lost, [name]);
  },
);

Then('requests may go to no target', function (this: TargetDirectoryWorld) {
  assert.deepEqual(this.usable, []);
});

/** The watch reads all objects after an outage, before it reports changes. */
function recover(
  world: TargetDirectoryWorld,
  outage: {outageMs: number; failedAgoMs: number; missing?: string},
): void {
  const {directory} = world;
  directory.onWatchFailed(new Error('no answer'));
  directory.onWatchRecovered(outage.outageMs, outage.failedAgoMs);
  list(world, outage.missing);
}

function list({directory, registered}: TargetDirectoryWorld, missing = '') {
  const names = registered.filter((name) => name !== missing);
  directory.replaceObjects(names.map((name) => toObject(name)));
}

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
  if (value === 'poison') throw new RangeError('nested too deeply');
  return {
    id: toId<TargetId>(key.slice(prefix.length)),
    service: toId<ServiceId>('service'),
    address: {host: '10.0.0.1', port: 80},
    dataCentre: toId<DataCentreId>('north'),
    slots: 1,
    isDraining: value === 'draining',
    startedAtMs: value === 'restarted' ? 2 : 1,
  };
}
