/** Steps for the headers of relayed requests. */
import assert from 'node:assert/strict';
import {Then, When, type World} from '@cucumber/cucumber';
import {type DaemonId, type TargetId, toId} from '@marigoldpost/common';
import {
  decodeRelayFailure,
  decodeRelayParameters,
  encodeRelayFailure,
  encodeRelayParameters,
  omitRelayHeaders,
  type RelayParameters,
} from '@marigoldpost/gateway';

interface RelayCodecWorld extends World {
  left: string[];
  refusal: Record<string, string>;
  parameters: RelayParameters | undefined;
}

/** Header that builds up to 50811bd neither send nor read. */
const leavingHeader = 'marigoldpost-relay-leaving';
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

When(
  'a relayed request states the time-out {string}',
  function (this: RelayCodecWorld, timeout: string) {
    this.parameters = decodeRelayParameters({
      'marigoldpost-relay-sender': 'entry-0',
      'marigoldpost-relay-target': 'target-0',
      'marigoldpost-relay-timeout-ms': timeout,
    });
  },
);

Then(
  /^it is decoded with (?:(\d+) ms|no parameters)$/,
  function (this: RelayCodecWorld, timeoutMs: string | null) {
    const expected = timeoutMs === null ? undefined : Number(timeoutMs);
    assert.equal(this.parameters?.headTimeoutMs, expected);
  },
);

Then(
  'only the headers of the client are left',
  function (this: RelayCodecWorld) {
    assert.deepEqual(this.left, own);
  },
);

When(
  /^an entry VM of (the current|an earlier|a later) build refuses to relay to a leaving target$/,
  function (this: RelayCodecWorld, sender: string) {
    const headers = encodeRelayFailure({
      reason: 'unreachable',
      isSent: false,
      isPeerFault: false,
      isLeaving: sender !== 'an earlier',
    });
    if (sender === 'a later') headers.push('marigoldpost-relay-later', '1');
    this.refusal = {};
    for (let index = 0; index < headers.length; index += 2) {
      this.refusal[headers[index] ?? ''] = headers[index + 1] ?? '';
    }
  },
);

Then(
  /^(the current|an earlier) build reads that the request was not sent and that the relay is sound$/,
  function (this: RelayCodecWorld, reader: string) {
    if (reader === 'an earlier') delete this.refusal[leavingHeader];
    const failure = decodeRelayFailure(this.refusal);
    assert.equal(failure?.reason, 'unreachable');
    assert.equal(failure.isSent, false);
    assert.equal(failure.isPeerFault, false);
  },
);

Then(
  /^(?:the current|an earlier) build reads that the target is (leaving|not leaving)$/,
  function (this: RelayCodecWorld, state: string) {
    const failure = decodeRelayFailure(this.refusal);
    assert.equal(failure?.isLeaving, state === 'leaving');
  },
);
