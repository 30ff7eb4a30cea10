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

Then(
  /^it holds the request as (free|suspect|quarantined)$/,
  function (this: ReplicatorWorld, state: string) {
    const {quarantine} = this;
    assert.equal(quarantine.isSuspect(request), state === 'suspect');
    assert.equal(quarantine.isQuarantined(request), state === 'quarantined');
  },
);

function createReplicator(
  clock: VirtualClock,
  quarantine: Quarantine,
): QuarantineReplicator {
  const logger = EventLogger.createSilent();
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
