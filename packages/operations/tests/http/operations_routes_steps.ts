/** Steps for the operators' HTTP routes. */
import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {Script} from 'node:vm';
import {After, Given, Then, When, type World} from '@cucumber/cucumber';
import {type TeamId, toId} from '@marigoldpost/common';
import {parseOperatorsText} from '@marigoldpost/settings';
import {type Dispatcher, request} from 'undici';
import {parse} from 'yaml';
import {
  OperationsFixture,
  readExampleText,
} from '../fixtures/operations_fixture.js';

interface OperationsWorld extends World {
  operations: OperationsFixture;
  status: number;
  text: string;
}

interface ErrorBody {
  error: {kind: string; message: string};
}

async function send(
  world: OperationsWorld,
  key: string,
  method: string,
  path: string,
  body: string,
): Promise<void> {
  const response = await request(`${world.operations.origin}${path}`, {
    method: method as Dispatcher.HttpMethod,
    headers: {authorization: `Bearer ${key}`},
    body: body === '' ? null : body,
    reset: true,
  });
  world.status = response.statusCode;
  world.text = await response.body.text();
}

Given(
  "an operators' server with a configuration",
  async function (this: OperationsWorld) {
    this.operations = await OperationsFixture.start();
  },
);

Given(
  "an operators' server without a configuration",
  async function (this: OperationsWorld) {
    this.operations = await OperationsFixture.startEmpty();
  },
);

Given(
  "the platform of the operators' server is down",
  function (this: OperationsWorld) {
    this.operations.store.setOutage(true);
  },
);

Given(
  "the platform of the operators' server loses its next response",
  function (this: OperationsWorld) {
    this.operations.store.loseNextWriteResponses(1);
  },
);

When(
  'an operator with key {string} sends {string} {string} with body {string}',
  async function (
    this: OperationsWorld,
    key: string,
    method: string,
    path: string,
    body: string,
  ) {
    await send(this, key, method, path, method === 'GET' ? '' : body);
  },
);

When(
  'an operator with key {string} applies the example configuration at base version {int}',
  async function (this: OperationsWorld, key: string, version: number) {
    const text = `${readExampleText()}; changed\n`;
    const body = JSON.stringify({text, base_version: version, why: 'shift'});
    await send(this, key, 'POST', '/ops/v1/config', body);
  },
);

When(
  /^operator "(.*)" (approve|revoke)s team "(.*)" because "(.*)"$/,
  async function (
    this: OperationsWorld,
    operator: string,
    verb: string,
    team: string,
    why: string,
  ) {
    const path = `/ops/v1/teams/${team}/${verb}`;
    const key = `${operator}-example-key`;
    await send(this, key, 'POST', path, JSON.stringify({why}));
    assert.equal(this.status, 200, this.text);
  },
);

Then(
  "the operators' server responds with {int} and kind {string}",
  function (this: OperationsWorld, status: number, kind: string) {
    const {error} = JSON.parse(this.text) as ErrorBody;
    assert.equal(error.kind, kind, error.message);
    assert.equal(this.status, status);
  },
);

Then(
  "the error of the operators' server names {string} and {string}",
  function (this: OperationsWorld, author: string, why: string) {
    const {error} = JSON.parse(this.text) as ErrorBody;
    assert.ok(error.message.includes(author) && error.message.includes(why));
  },
);

Then(
  "the accepted configuration of the operators' server has version {int}",
  async function (this: OperationsWorld, version: number) {
    const accepted = await this.operations.configs.getConfig();
    assert.equal(accepted?.version, version);
  },
);

Then(
  'team {string} is approved in the accepted configuration',
  async function (this: OperationsWorld, team: string) {
    const accepted = await this.operations.configs.getConfig();
    const {teams} = parseOperatorsText(accepted?.text ?? '');
    assert.equal(teams.get(toId<TeamId>(team))?.isApproved, true);
  },
);

Then(
  "the audit trail of the operators' server begins with {string} {string} {string}",
  async function (
    this: OperationsWorld,
    operator: string,
    action: string,
    subject: string,
  ) {
    await send(this, 'ngoc-example-key', 'GET', '/ops/v1/audit?limit=5', '');
    const {records} = JSON.parse(this.text) as {
      records: Record<string, unknown>[];
    };
    const found = records.map((record) =>
      [record['operator'], record['action'], record['subject']].join(' '),
    );
    // The virtual clock does not advance, so all records have the same time.
    assert.ok(found.includes(`${operator} ${action} ${subject}`), this.text);
  },
);

Then(
  "the operators' server has taken {string} of {string}",
  function (this: OperationsWorld, action: string, subject: string) {
    const {lifted, ended} = this.operations.source;
    const taken = action === 'end_program' ? ended : lifted;
    assert.deepEqual(taken, [subject]);
  },
);

Then(
  "the operators' server has taken no action",
  function (this: OperationsWorld) {
    assert.deepEqual(this.operations.source.ended, []);
  },
);

Then(
  "each list of the fleet's status has a row, with its age where it can be old",
  function (this: OperationsWorld) {
    const status = JSON.parse(this.text) as Record<string, unknown>;
    const agedLists = ['members', 'partitions', 'targets'];
    const lists = [...agedLists, 'services', 'teams', 'quarantined'];
    for (const name of lists) {
      const rows = status[name] as Record<string, unknown>[];
      assert.equal(rows.length, 1, name);
      const hasAge = typeof rows[0]?.['age_ms'] === 'number';
      assert.equal(hasAge, agedLists.includes(name), name);
    }
    const [service] = status['services'] as Record<string, unknown>[];
    assert.deepEqual(service?.['depends_on'], ['quay-ops']);
  },
);

Then(
  'the status page is one document whose script parses',
  function (this: OperationsWorld) {
    assert.equal(this.status, 200);
    assert.doesNotMatch(this.text, /(src|href)=|https?:\/\//);
    const script = /<script>(.*)<\/script>/s.exec(this.text)?.[1];
    assert.ok(script !== undefined);
    assert.ok(new Script(script) instanceof Script);
  },
);

Then(
  "the OpenAPI file names exactly the paths and methods of the operators' server",
  function (this: OperationsWorld) {
    const file = parse(readFileSync('docs/openapi.yaml', 'utf8')) as {
      paths: Record<string, object>;
    };
    const isOperators = (path: string) => path.startsWith('/ops/');
    const written = Object.entries(file.paths)
      .filter(([path]) => isOperators(path))
      .flatMap(([path, methods]) =>
        Object.keys(methods).map((method) => `${method} ${path}`),
      );
    const served = this.operations.server.routes
      .filter(({path}) => isOperators(path))
      .map(({method, path}) => `${method.toLowerCase()} ${path}`);
    assert.deepEqual(written.toSorted(), served.toSorted());
  },
);

After(async function (this: OperationsWorld) {
  if (this.operations instanceof OperationsFixture) {
    await this.operations.server.stop();
  }
});
