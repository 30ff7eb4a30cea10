/** Steps for crash records that an entry VM reads. */
import assert from 'node:assert/strict';
import {Then, When, type World} from '@cucumber/cucumber';
import {
  type DaemonId,
  type Fingerprint,
  toId,
  VirtualClock,
} from '@marigoldpost/common';
import {QuarantineReceiver, QuarantineReplicator} from '@marigoldpost/nodes';
import {MemoryObjectStore} from '@marigoldpost/standins';
import {Quarantine} from '@marigoldpost/targets';
import {EventLogger, Metrics} from '@marigoldpost/telemetry';

interface ReplicatorWorld extends World {
  quarantine: Quarantine;
  lines: LogLine[];
}

interface LogLine {
  readonly name: string;
  readonly fingerprint: string;
  readonly omitted: number;
}

const request = toId<Fingerprint>('request');
const msPerMinute = 60_000;
const uptimeMs = 3000 * msPerMinute;

When(
  /^an entry VM reads crash records (.+) of a request$/,
  function (this: ReplicatorWorld, ages: string) {
    const clock = VirtualClock.create();
    clock.skip(uptimeMs);
    this.quarantine = Quarantine.create({clock, deathsToQuarantine: 3});
    const replicator = createReplicator(clock, this.quarantine);
    const deaths = ages.split(' ').map((age, index) => ({
      target: `target-${index}`,
      atMs: clock.wallTimeMs() - Number(age) * msPerMinute,
    }));
    const value = JSON.stringify([{fingerprint: request, version: 0, deaths}]);
    replicator.replaceObjects([{key: 'crashes/other', value, version: 1}]);
  },
);

When(
  'an entry VM reads crash records of {int} suspect requests and then of a quarantined one',
  function (this: ReplicatorWorld, suspects: number) {
    const clock = VirtualClock.create();
    this.lines = [];
    this.quarantine = Quarantine.create({clock, deathsToQuarantine: 3});
    const logger = EventLogger.create({
      level: 'info',
      daemon: toId<DaemonId>('entry-0'),
      destination: {
        write: (line) => this.lines.push(JSON.parse(line) as LogLine),
      },
    });
    const entries = Array.from({length: suspects}, (_none, index) =>
      createEntry(`suspect-${index}`, 1),
    );
    entries.push(createEntry(request, 3));
    const value = JSON.stringify(entries);
    createReplicator(clock, this.quarantine, logger).replaceObjects([
      {key: 'crashes/other', value, version: 1},
    ]);
  },
);

When(
  /^an entry VM reads (an entry of another format|an object of another format|an object that is no JSON) beside the crash records of a quarantined request$/,
  function (this: ReplicatorWorld, unreadable: string) {
    const clock = VirtualClock.create();
    this.quarantine = Quarantine.create({clock, deathsToQuarantine: 3});
    const own = createEntry(request, 3);
    const later = {fingerprint: 'later', crashes: 3};
    const isEntry = unreadable.startsWith('an entry');
    const isJson = unreadable !== 'an object that is no JSON';
    const value = JSON.stringify(isEntry ? [later, own] : [own]);
    const other = isJson ? JSON.stringify({entries: [later]}) : '{';
    createReplicator(clock, this.quarantine).replaceObjects([
      {key: 'crashes/a', value: isEntry ? '[]' : other, version: 1},
      {key: 'crashes/b', value, version: 1},
    ]);
  },
);

Then(
  'it logs at most {int} merged records, with {int} omitted',
  function (this: ReplicatorWorld, maxCount: number, omitted: number) {
    const merged = this.lines.filter(
      ({name}) => name === 'crash_records_merged',
    );
    assert.ok(merged.length <= maxCount, `${merged.length} lines`);
    assert.equal(merged.at(-1)?.omitted, omitted);
  },
);

Then(
  'the first of them is of the quarantined request',
  function (this: ReplicatorWorld) {
    assert.equal(this.lines[0]?.fingerprint, request);
  },
);

Then(
  /^it holds the request as (free|suspect|quarantined)$/,
  function (this: ReplicatorWorld, state: string) {
    const {quarantine} = this;
    assert.equal(quarantine.isSuspect(request), state === 'suspect');
    assert.equal(quarantine.isQuarantined(request), state === 'quarantined');
  },
);

function createEntry(fingerprint: string, deathCount: number) {
  const deaths = Array.from({length: deathCount}, (_none, index) => ({
    target: `target-${index}`,
    atMs: 0,
  }));
  return {fingerprint, version: 0, deaths};
}

function createReplicator(
  clock: VirtualClock,
  quarantine: Quarantine,
  logger = EventLogger.createSilent(),
): QuarantineReplicator {
  const metrics = Metrics.create();
  return QuarantineReplicator.create({
    daemon: toId<DaemonId>('entry-0'),
    store: MemoryObjectStore.create({clock}),
    clock,
    quarantine,
    receiver: QuarantineReceiver.create({
      clock,
      quarantine,
      logger,
      metrics,
      onMerged: () => undefined,
    }),
    logger,
    onFailed: () => undefined,
  });
}
