/** Steps for the parsing of server-sent events. */
import assert from 'node:assert/strict';
import {Then, When, type World} from '@cucumber/cucumber';
import {BlockPool, EventCollector} from '@marigoldpost/gateway';
import fc from 'fast-check';

interface CollectorWorld extends World {
  collector: EventCollector;
}

const seed = 20261204;
const pool = BlockPool.create(2 ** 20);

When(
  'an event collector reads {string}',
  function (this: CollectorWorld, bytes: string) {
    this.collector = EventCollector.create(pool);
    this.collector.add(Buffer.from(unescape(bytes)));
  },
);

Then(
  'it has parsed {int} events with data {string}',
  function (this: CollectorWorld, events: number, data: string) {
    assert.equal(this.collector.eventCount, events);
    assert.equal(this.collector.getData().toString(), unescape(data));
  },
);

Then(
  /^the stream (ends|does not end) between two events$/,
  function (this: CollectorWorld, ends: string) {
    assert.equal(this.collector.isAtEventBoundary, ends === 'ends');
  },
);

Then(
  'an event collector parses the same events from any split of a stream',
  function () {
    const arbitraryData = fc.stringMatching(/^[a-z0-9.]{1,12}$/);
    fc.assert(
      fc.property(
        fc.array(arbitraryData, {minLength: 1, maxLength: 8}),
        fc.array(fc.integer({min: 1, max: 30}), {minLength: 1}),
        (eventData, sizes) => {
          const text = eventData
            .map((data, index) => `id: ${index}\ndata: ${data}\n\n`)
            .join('');
          const collector = EventCollector.create(pool);
          let start = 0;
          for (let chunk = 0; start < text.length; chunk++) {
            const size = sizes[chunk % sizes.length] ?? 1;
            collector.add(Buffer.from(text.slice(start, start + size)));
            start += size;
          }
          assert.equal(collector.eventCount, eventData.length);
          const expected = eventData.map((data) => `${data}\n`).join('');
          assert.equal(collector.getData().toString(), expected);
        },
      ),
      {seed},
    );
  },
);

function unescape(text: string): string {
  return text.replaceAll('\\n', '\n').replaceAll('\\r', '\r');
}
