/** Steps for the route table. */
import assert from 'node:assert/strict';
import {Given, Then, type World} from '@cucumber/cucumber';
import {type Route, RouteTable} from '@marigoldpost/sites';

interface RouteWorld extends World {
  routes: RouteTable;
}

Given(
  'routes {string}, {string} and {string}',
  function (this: RouteWorld, first: string, second: string, third: string) {
    const routes = [first, second, third].map(createRoute);
    this.routes = RouteTable.create(routes);
  },
);

Then(
  'a request to host {string} and path {string} has route {string}',
  function (this: RouteWorld, host: string, path: string, name: string) {
    assert.equal(this.routes.getRoute(host, path)?.name ?? '', name);
  },
);

function createRoute(text: string): Route {
  const [, host = '', pathPrefix = '', name = ''] =
    /^([^/]+)(\S+) (\w+)$/.exec(text) ?? [];
  return {
    name,
    host,
    pathPrefix,
    kind: 'idempotent',
    timeoutMs: 1000,
    priority: 0,
    services: [],
    attempts: 1,
    retentionMs: undefined,
    gapObjectiveMs: undefined,
  };
}
