/** Steps for the search of connections whose clients do not read. */
import assert from 'node:assert/strict';
import {Then, When, type World} from '@cucumber/cucumber';
import {type OutputState, StalledWrites} from '@marigoldpost/common';

interface StallWorld extends World {
  found: string[];
}

When(
  'the output of connections is checked as {string}',
  function (this: StallWorld, checks: string) {
    const stalls = StalledWrites.create<string>();
    for (const check of checks.split('; ')) {
      const [atMs, ...connections] = check.split(' ');
      this.found = stalls.find(parseOutputs(connections), Number(atMs));
    }
  },
);

Then(
  'the last check finds {string}',
  function (this: StallWorld, found: string) {
    assert.equal(this.found.join(' ') || 'none', found);
  },
);

function parseOutputs(connections: string[]): Map<string, OutputState> {
  const outputs = new Map<string, OutputState>();
  for (const connection of connections) {
    if (connection === 'none') continue;
    const [name = '', bytes = ''] = connection.split(':');
    const [written, waiting] = bytes.split('/').map(Number);
    assert.ok(written !== undefined && waiting !== undefined, connection);
    outputs.set(name, {writtenBytes: written, waitingBytes: waiting});
  }
  return outputs;
}
