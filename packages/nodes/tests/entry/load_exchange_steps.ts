/** Steps for the exchange of loads through archives. */
import assert from 'node:assert/strict';
import {After, Given, Then, When, type World} from '@cucumber/cucumber';
import {VirtualClock} from '@marigoldpost/common';
import {LoadSite, type LoadArchiveState} from '../fixtures/load_site.js';

interface LoadWorld extends World {
  loadSite: LoadSite | undefined;
}

After(function (this: LoadWorld) {
  for (const name of this.loadSite?.vms.keys() ?? []) {
    this.loadSite?.endVm(name);
  }
});

Given(
  'entry VMs that exchange loads through the archives {string}',
  function (this: LoadWorld, names: string) {
    this.loadSite = LoadSite.create(VirtualClock.create(), names.split(' '));
  },
);

Given(
  'the site has too few entry VMs for learned costs',
  function (this: LoadWorld) {
    getSite(this).usesLearnedCosts = false;
  },
);

When(
  'these events happen to the loads: {string}',
  async function (this: LoadWorld, events: string) {
    const site = getSite(this);
    for (const event of events.split(', ')) {
      const [first = '', second = '', third = ''] = event.split(' ');
      if (first === 'wait') await site.clock.advance(Number(second));
      else if (first === 'end') site.endVm(second);
      else if (first === 'archive') {
        site.setState(second, third as LoadArchiveState);
      } else site.getVm(first).requests.set(second, Number(third));
    }
  },
);

When(
  '{int} daemons report to the archives {string}',
  function (this: LoadWorld, count: number, report: string) {
    const fields = report.split(' ').map((field) => {
      const [name = '', value] = field.split('=');
      return [name, Number(value)] as const;
    });
    for (let index = 0; index < count; index++) {
      getSite(this).sendReport(`liar-${index}`, Object.fromEntries(fields));
    }
  },
);

Then(
  /^entry VM (\w+) knows (\d+|unknown) requests of others at the target in (\w+)$/,
  function (this: LoadWorld, name: string, count: string, place: string) {
    const load = getSite(this).getLoad(name, place);
    assert.equal(String(load?.requests ?? 'unknown'), count);
  },
);

Then(
  'entry VM {word} knows at least {int} requests of others at the target in {word}',
  function (this: LoadWorld, name: string, least: number, place: string) {
    const load = getSite(this).getLoad(name, place);
    assert.ok(load !== undefined && load.ageMs < 200, 'no recent report');
    assert.ok(load.requests >= least, `${load.requests} requests`);
  },
);

Then(
  'entry VM {word} takes the target in {word} for {float} times as slow as others at least',
  function (this: LoadWorld, name: string, place: string, least: number) {
    const ratio = getSite(this).getLoad(name, place)?.latencyRatio ?? 1;
    assert.ok(ratio >= least, `a ratio of ${ratio}`);
  },
);

Then(
  'entry VM {word} knows a finite amount of work at the target in {word}',
  function (this: LoadWorld, name: string, place: string) {
    const workMs = getSite(this).getLoad(name, place)?.workMs ?? NaN;
    assert.ok(Number.isFinite(workMs) && workMs >= 120, `${workMs} ms`);
  },
);

Then(
  'the archives were asked {int} times for loads',
  function (this: LoadWorld, count: number) {
    assert.equal(getSite(this).asked, count);
  },
);

Then(
  'the archives were asked at most {int} times for loads',
  function (this: LoadWorld, most: number) {
    const {asked} = getSite(this);
    assert.ok(asked <= most, `${asked} times`);
  },
);

function getSite({loadSite}: LoadWorld): LoadSite {
  assert.ok(loadSite);
  return loadSite;
}
