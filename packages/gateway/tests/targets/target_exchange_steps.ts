/** Steps for a request to a target. */
import assert from 'node:assert/strict';
import net from 'node:net';
import {Then, When, type World} from '@cucumber/cucumber';
import {
  type DataCentreId,
  type ServiceId,
  type TargetId,
  toId,
} from '@marigoldpost/common';
import {
  type ExchangeOutcome,
  TargetAgent,
  TargetExchange,
} from '@marigoldpost/gateway';
import type {CallCodec, TargetEntry} from '@marigoldpost/sites';

interface ExchangeWorld extends World {
  outcome: ExchangeOutcome;
  elapsedMs: number;
}

const longTimeoutMs = 5000;

When(
  'a request is sent to a target that never accepts the connection',
  async function (this: ExchangeWorld) {
    const agent = TargetAgent.create();
    const hanging = net.connect({
      host: 'target.example',
      port: 1,
      // A lookup that never calls back keeps the socket in connecting state.
      lookup: () => undefined,
    });
    Object.assign(agent, {createConnection: () => hanging});
    const startMs = Date.now();
    this.outcome = await TargetExchange.send({
      target: createEntry(),
      agent,
      // The codec decodes responses only, and none arrives.
      codec: {} as CallCodec,
      request: {
        method: 'GET',
        path: '/',
        headers: ['Host', 'target.example'],
        body: undefined,
        requestId: 'r1',
      },
      headTimeoutMs: longTimeoutMs,
      signal: new AbortController().signal,
    });
    this.elapsedMs = Date.now() - startMs;
    hanging.destroy();
  },
);

Then(
  'within {int} ms it fails as unreachable and not sent',
  function (this: ExchangeWorld, withinMs: number) {
    assert.equal(this.outcome.kind, 'failed');
    assert.ok('reason' in this.outcome);
    assert.equal(this.outcome.reason, 'unreachable');
    assert.equal(this.outcome.isSent, false);
    assert.ok(this.elapsedMs < withinMs, `took ${this.elapsedMs} ms`);
  },
);

function createEntry(): TargetEntry {
  return {
    id: toId<TargetId>('target'),
    service: toId<ServiceId>('service'),
    address: {host: 'target.example', port: 1},
    dataCentre: toId<DataCentreId>('north'),
    slots: 1,
    isDraining: false,
    startedAtMs: 1,
  };
}
