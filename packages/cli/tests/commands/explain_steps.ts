/** Steps for the explain command, before a stand-in of an entry VM. */
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {After, Given, When} from '@cucumber/cucumber';
import {type CommandWorld, runCommand} from './command_runner.js';

interface ExplainCommandWorld extends CommandWorld {
  explainServer: http.Server | undefined;
  explainOrigin: string;
}

/** Above the 5 s after which the command gives up. */
const stepTimeoutMs = 15_000;
const okStatus = 200;

const target = {
  id: 'b',
  dataCentre: 'north',
  ignoresEjection: false,
  estimate: {finishMs: 12.5},
  delayMs: 0,
  ownRequests: 1,
  window: 8,
  comparedShare: 1,
  chosenShare: 1,
};
const service = {
  service: 'engines',
  share: 1,
  usesLearnedCosts: true,
  isDrawn: false,
  outcome: 'sent',
  chosen: 'b',
  targets: [target],
};
const notChosen = {chosen: undefined};
const report = {requests: 3, workMs: 20, ageMs: 150};

/** Fields of the service that differ, by the case of the scenario. */
const serviceCases: Record<string, object> = {
  'a choice': {},
  'targets drawn at random': {isDrawn: true},
  'a wait for a rate limit': {outcome: 'waits_for_rate_limit'},
  'every window full': {...notChosen, outcome: 'waits_for_window'},
  'every target leaving': {...notChosen, outcome: 'no_target'},
  'a target with a full window': {
    targets: [target, {...target, id: 'a', unusable: 'window_full'}],
  },
  'a report of others': {targets: [{...target, others: report}]},
  'a tenant': {},
};

const metricsText = '# TYPE marigoldpost_calls_in_flight gauge\n';
const errorBodies: Record<string, [number, string]> = {
  'answers with metrics': [okStatus, metricsText],
  'answers with other JSON': [okStatus, '{"services": 1}'],
  'answers with an unknown route': [
    404,
    createErrorBody('unknown_path', 'no route matches "h/x"'),
  ],
  'answers with no target': [
    503,
    createErrorBody('no_target', 'service "engines" has no targets'),
  ],
};

function createErrorBody(kind: string, message: string): string {
  return JSON.stringify({error: {kind, message, outcome: 'not_run'}});
}

async function serve(
  world: ExplainCommandWorld,
  listener: http.RequestListener,
): Promise<void> {
  const server = http.createServer(listener);
  world.explainServer = server;
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  world.explainOrigin = `http://127.0.0.1:${port}`;
}

function explain(world: ExplainCommandWorld, flags: string[]): Promise<void> {
  const request = ['--host', 'h', '--path', '/x', '--prompt', 'aa:400'];
  const entry = ['--entry', world.explainOrigin];
  return runCommand(world, ['explain', ...entry, ...request, ...flags]);
}

Given(
  /^an entry VM whose explanation has (.+)$/,
  function (this: ExplainCommandWorld, name: string) {
    const isTenant = name === 'a tenant';
    const body = JSON.stringify({
      configVersion: 3,
      route: 'turns',
      ...(isTenant ? {tenant: 'acme', tenantPriority: 0} : {}),
      services: [{...service, ...serviceCases[name]}],
    });
    return serve(this, (_request, response) => response.end(body));
  },
);

Given(
  /^an entry VM that (refuses connections|never answers|resets the connection|answers with .+)$/,
  async function (this: ExplainCommandWorld, does: string) {
    const [status, body] = errorBodies[does] ?? [];
    await serve(this, (request, response) => {
      if (does === 'resets the connection') request.socket.resetAndDestroy();
      if (status !== undefined) response.writeHead(status).end(body);
    });
    if (does === 'refuses connections') this.explainServer?.close();
  },
);

When(
  'the command line explains a request at it',
  {timeout: stepTimeoutMs},
  function (this: ExplainCommandWorld) {
    return explain(this, []);
  },
);

When(
  'the command line explains a request at it with {string}',
  function (this: ExplainCommandWorld, flag: string) {
    return explain(this, [flag]);
  },
);

After(function (this: ExplainCommandWorld) {
  this.explainServer?.close();
  this.explainServer?.closeAllConnections();
});
