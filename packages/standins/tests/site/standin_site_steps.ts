/** Steps for a site of stand-ins. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {
  type DataCentreId,
  isErrorOfKind,
  type ModelId,
  type ServiceId,
  toId,
} from '@marigoldpost/common';
import {type SiteTarget, StandinSite} from '@marigoldpost/standins';
import {HttpEngineClient, HttpPlainServiceClient} from '@marigoldpost/targets';
import {addCleanup} from '../../../common/tests/fixtures/cleanup.js';

interface SiteWorld extends World {
  site: StandinSite;
  outcomes: string[];
}

const plan = toId<ServiceId>('plan');
const berth = toId<ServiceId>('berth');
const model = toId<ModelId>('tide');
const timeoutMs = 10_000;

Given(
  'a site of stand-ins with {int} data centres, {int} engines and {int} instances of a plain service',
  async function (
    this: SiteWorld,
    dataCentres: number,
    engines: number,
    instances: number,
  ) {
    const names = ['a', 'b'].slice(0, dataCentres);
    this.site = StandinSite.create({
      dataCentres: names.map((name) => toId<DataCentreId>(name)),
      services: [
        {kind: 'engine', id: plan, count: engines, models: [model]},
        {kind: 'plain', id: berth, count: instances},
      ],
      // Allows one fetch at the start and the next one only 1000 s later.
      fetchesPerSecond: 0.001,
      seed: 1,
    });
    await this.site.start();
    addCleanup(this, () => this.site.stop());
  },
);

Then(
  'the site lists the targets plan-a-1, plan-b-1, plan-a-2, berth-a-1 and berth-b-1',
  function (this: SiteWorld) {
    const ids = this.site.getTargets().map(({id}) => id);
    assert.deepEqual(ids, [
      'plan-a-1',
      'plan-b-1',
      'plan-a-2',
      'berth-a-1',
      'berth-b-1',
    ]);
  },
);

Then(
  'each engine of the site reports its load',
  async function (this: SiteWorld) {
    for (const target of getTargets(this.site, 'engine')) {
      const load = await withEngine(target, (engine) => engine.getLoad());
      assert.deepEqual(load.models, [model]);
    }
  },
);

Then(
  "the instances of the site's plain service share a ledger of executions",
  async function (this: SiteWorld) {
    for (const {id, address} of getTargets(this.site, 'plain')) {
      const client = HttpPlainServiceClient.create({
        target: id,
        address,
        timeoutMs,
      });
      const headers = {'idempotency-key': 'key-1'};
      const request = {method: 'POST', path: '/book', headers, body: ''};
      await client.send(request, new AbortController().signal);
      await client.close();
    }
    const ledger = this.site.getLedgerOrThrow(berth);
    assert.equal(ledger.getExecutions().length, 2);
    assert.deepEqual(ledger.getRepeatedKeys(), ['key-1']);
  },
);

When(
  'each engine of the site is ordered to load a model',
  async function (this: SiteWorld) {
    const targets = getTargets(this.site, 'engine');
    this.outcomes = await Promise.all(
      targets.map((target) => withEngine(target, loadModel)),
    );
  },
);

Then(
  '1 engine of the site has loaded it and the others report the order as not run',
  function (this: SiteWorld) {
    const sorted = [...this.outcomes].sort();
    assert.deepEqual(sorted, ['loaded', 'not_run', 'not_run']);
    const fetches = this.site.weightStore.getFetches();
    assert.equal(fetches.filter(({isRefused}) => isRefused).length, 2);
  },
);

When(
  'the engine of the site is killed and restarted',
  async function (this: SiteWorld) {
    for (const engine of this.site.getEngines().values()) {
      const address = engine.getAddress();
      await engine.kill();
      assert.equal(await engine.start(), address);
    }
  },
);

function getTargets(
  site: StandinSite,
  kind: SiteTarget['kind'],
): readonly SiteTarget[] {
  return site.getTargets().filter((target) => target.kind === kind);
}

async function withEngine<Value>(
  {id, address}: SiteTarget,
  action: (engine: HttpEngineClient) => Promise<Value>,
): Promise<Value> {
  const engine = HttpEngineClient.create({target: id, address, timeoutMs});
  try {
    return await action(engine);
  } finally {
    await engine.close();
  }
}

async function loadModel(engine: HttpEngineClient): Promise<string> {
  try {
    await engine.sendOrder({
      kind: 'load_model',
      subject: 'reef',
      fencingNumber: 1,
    });
    return 'loaded';
  } catch (error) {
    assert.ok(isErrorOfKind(error, 'target_failed'));
    return error.outcome;
  }
}
