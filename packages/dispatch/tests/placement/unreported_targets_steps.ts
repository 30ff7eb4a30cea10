/** Steps for targets whose load by other daemons is not known. */
import assert from 'node:assert/strict';
import {Then, When, type World} from '@cucumber/cucumber';
import {
  type DataCentreId,
  SeededRandom,
  type ServiceId,
  type TargetId,
  toId,
  VirtualClock,
} from '@marigoldpost/common';
import {
  LearnedPlacement,
  SharedLoads,
  TargetState,
} from '@marigoldpost/dispatch';
import type {PromptPartId} from '@marigoldpost/sites';

interface UnreportedWorld extends World {
  finishMs: {near: number; away: number};
}

const dataCentre = toId<DataCentreId>('north');
const workMs = 100;
const tieBreak = 0;

When(
  /^others have (\d+) requests at engine near and (\d+|unknown) at engine away$/,
  function (this: UnreportedWorld, near: string, away: string) {
    const clock = VirtualClock.create();
    const loads = SharedLoads.create();
    const random = SeededRandom.create(1);
    const options = {dataCentre, clock, random, loads};
    const placement = LearnedPlacement.create(options);
    const targets = {
      near: createTarget('near', 'north'),
      away: createTarget('away', 'south'),
    };
    for (const [target, count] of [
      [targets.near, near],
      [targets.away, away],
    ] as const) {
      if (count === 'unknown') continue;
      const requests = Number(count);
      const samples = {latencySum: 0, latencyCount: 0};
      const load = {requests, workMs: requests * workMs, ...samples};
      const {id, dataCentre: place} = target.entry;
      loads.record(place, [{target: id, ...load}], clock.nowMs());
    }
    const meanUse = placement.getMeanUse([targets.near, targets.away]);
    const prompt = [{id: toId<PromptPartId>('own'), tokens: 1000}];
    const request = {kind: 'a', prompt, isFirst: true};
    const estimate = (target: TargetState) =>
      placement.estimate(target, request, meanUse).finishMs;
    this.finishMs = {
      near: estimate(targets.near),
      away: estimate(targets.away),
    };
  },
);

Then(
  /^a request is expected to end at engine near (before|after) at engine away$/,
  function (this: UnreportedWorld, order: string) {
    const {near, away} = this.finishMs;
    const actual = near < away ? 'before' : 'after';
    assert.equal(actual, order, `${near} ms near, ${away} ms away`);
  },
);

function createTarget(name: string, place: string): TargetState {
  const entry = {
    id: toId<TargetId>(name),
    service: toId<ServiceId>('service'),
    address: {host: '127.0.0.1', port: 1},
    dataCentre: toId<DataCentreId>(place),
    slots: 8,
    isDraining: false,
    startedAtMs: 1,
  };
  return TargetState.create(entry, undefined, tieBreak);
}
