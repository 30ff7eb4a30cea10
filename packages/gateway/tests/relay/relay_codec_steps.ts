/** Steps for the headers of relayed requests. */
import assert from 'node:assert/strict';
import {Then, When, type World} from '@cucumber/cucumber';
import {type DaemonId, type TargetId, toId} from '@marigoldpost/common';
import {encodeRelayParameters, omitRelayHeaders} from '@marigoldpost/gateway';

interface RelayCodecWorld extends World {
  left: string[];
}

const own = ['Host', 'site.example', 'X-Request-Id', 'a'];

When(
  'a relayed request has headers of a later build',
  function (this: RelayCodecWorld) {
    const parameters = encodeRelayParameters({
      sender: toId<DaemonId>('entry-0'),
      target: toId<TargetId>('target-0'),
      headTimeoutMs: 100,
    });
    const later = ['Marigoldpost-Relay-Later', '1'];
    this.left = omitRelayHeaders([...own, ...parameters, ...later]);
  },
);

Then(
  'only the headers of the client are left',
  function (this: RelayCodecWorld) {
    assert.deepEqual(this.left, own);
  },
);
