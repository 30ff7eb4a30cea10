/** Steps for line differences. */
import assert from 'node:assert/strict';
import {Then} from '@cucumber/cucumber';
import fc from 'fast-check';
import {
  formatLineDifferences,
  getLineDifferences,
} from '@marigoldpost/operations';

const seed = 20261203;

Then(
  'the line differences of {string} and {string} are {string}',
  (before: string, after: string, expected: string) => {
    const differences = getLineDifferences(toText(before), toText(after));
    const shown = formatLineDifferences(differences);
    assert.equal(shown.replaceAll('\n', '/'), expected);
  },
);

Then('line differences rebuild the new text for any two texts', () => {
  const lines = fc.array(fc.constantFrom('a', 'b', 'c'), {maxLength: 12});
  fc.assert(
    fc.property(lines, lines, (before, after) => {
      assert.deepEqual(rebuild(before, after), after);
    }),
    {seed},
  );
});

function toText(words: string): string {
  return words.replaceAll(' ', '\n');
}

function rebuild(before: string[], after: string[]): string[] {
  const differences = getLineDifferences(before.join('\n'), after.join('\n'));
  const removed = differences.filter(({kind}) => kind === 'removed');
  const gone = new Set(removed.map(({line}) => line));
  const lines = before.filter((_text, index) => !gone.has(index + 1));
  for (const {kind, line, text} of differences) {
    if (kind === 'added') lines.splice(line - 1, 0, text);
  }
  return lines;
}
