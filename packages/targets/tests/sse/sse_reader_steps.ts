/** Steps for `SseReader`: examples and a round-trip property. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import fc from 'fast-check';
import {type SseEvent, SseReader} from '@marigoldpost/targets';

interface SseWorld extends World {
  events: SseEvent[];
  property: fc.IProperty<unknown[]>;
}

const seed = 20261203;
const runs = 500;

When(/^the SSE reader gets (.*)$/, function (this: SseWorld, text: string) {
  const raw = text
    .replaceAll(';', '\n')
    .replaceAll('%', '\r')
    .replace('BOM ', '\uFEFF');
  this.events = SseReader.create().read(Buffer.from(raw));
});

Then(/^the SSE reader gives (.*)$/, function (this: SseWorld, text: string) {
  if (text === 'the events that were written') {
    fc.assert(this.property, {seed, numRuns: runs});
    return;
  }
  const given = this.events.map(
    ({type, data}) => `${type}=${data.replaceAll('\n', '/')}`,
  );
  assert.equal(given.join(' ') || 'none', text);
});

Given(
  'any events, line ends and chunk boundaries of an SSE stream',
  function (this: SseWorld) {
    const word = fc.string({unit: 'grapheme', maxLength: 12});
    const line = word.map((text) => text.replaceAll(/[\r\n]/g, '_'));
    const event = fc.record({
      type: line.filter((text) => text !== ''),
      data: fc.array(line, {minLength: 1, maxLength: 3}),
    });
    const lineEnd = fc.constantFrom('\n', '\r\n', '\r');
    const sizes = fc.infiniteStream(fc.integer({min: 1, max: 9}));
    this.property = fc.property(
      fc.array(event, {maxLength: 6}),
      lineEnd,
      sizes,
      (events, end, chunkSizes) => {
        const bytes = Buffer.from(events.map((e) => write(e, end)).join(''));
        const read = readChunks(bytes, chunkSizes);
        const expected = events.map(({type, data}) => ({
          type,
          data: data.join('\n'),
        }));
        assert.deepEqual(read, expected);
      },
    ) as fc.IProperty<unknown[]>;
  },
);

function write(
  {type, data}: {type: string; data: readonly string[]},
  end: string,
): string {
  const lines = [`event: ${type}`, ...data.map((text) => `data: ${text}`), ''];
  return lines.map((text) => `${text}${end}`).join('');
}

function readChunks(bytes: Buffer, sizes: Iterator<number>): SseEvent[] {
  const reader = SseReader.create();
  const events: SseEvent[] = [];
  for (let start = 0; start < bytes.length;) {
    const size = sizes.next().value as number;
    events.push(...reader.read(bytes.subarray(start, start + size)));
    start += size;
  }
  return events;
}
