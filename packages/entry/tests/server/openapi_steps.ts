/** Steps that compare docs/openapi.yaml and docs/API.md with the code. */
import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {Then, type World} from '@cucumber/cucumber';
import {errorDefinitions} from '@marigoldpost/common';
import {parse} from 'yaml';
import type {EntryFixture} from '../fixtures/entry_fixture.js';

interface OpenApi {
  paths: Record<string, Record<string, unknown>>;
  components: {schemas: {Error: {properties: {error: ErrorSchema}}}};
}

interface ErrorSchema {
  properties: {kind: {enum: string[]}};
}

const anyMethods = ['get', 'post', 'put', 'patch', 'delete'];

Then(
  'the OpenAPI file lists exactly the paths and methods of the caller server',
  function (this: World & {fixture: EntryFixture}) {
    const file = parse(readFileSync('docs/openapi.yaml', 'utf8')) as OpenApi;
    const written = Object.entries(file.paths)
      .filter(([path]) => !path.startsWith('/ops/'))
      .flatMap(([path, methods]) =>
        Object.keys(methods).map((method) => `${method} ${path}`),
      );
    const served = this.fixture.server.routes.flatMap(({method, path}) => {
      const methods = method === '*' ? anyMethods : [method.toLowerCase()];
      return methods.map((each) => `${each} ${path.replace('*}', '}')}`);
    });
    assert.deepEqual(written.toSorted(), served.toSorted());
    const {kind} = file.components.schemas.Error.properties.error.properties;
    assert.deepEqual(
      kind.enum.toSorted(),
      Object.keys(errorDefinitions).toSorted(),
    );
  },
);

Then(
  'the API documentation lists each error kind with its status, outcome and retry',
  function () {
    const page = readFileSync('docs/API.md', 'utf8');
    const rows = page
      .split('\n')
      .filter((line) => line.startsWith('| `'))
      .map((line) => line.split('|').map((cell) => cell.trim()));
    const expected = Object.entries(errorDefinitions).map(
      ([kind, definition]) => {
        const {status, outcome, isRetryable} = definition;
        const retry = isRetryable ? 'yes' : 'no';
        return ['', `\`${kind}\``, String(status), `\`${outcome}\``, retry, ''];
      },
    );
    assert.deepEqual(rows, expected);
  },
);
