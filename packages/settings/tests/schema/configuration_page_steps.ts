/** Steps for docs/CONFIGURATION.md. */
import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {Then} from '@cucumber/cucumber';
import {
  daemonSchema,
  type KeyTable,
  operatorsSchema,
} from '@marigoldpost/settings';

function getRows(page: string): Map<string, string[][]> {
  const rows = new Map<string, string[][]>();
  let heading = '';
  for (const line of page.split('\n')) {
    if (line.startsWith('### ')) heading = line.slice('### '.length);
    if (!line.startsWith('| `')) continue;
    const cells = line.split(' | ').map((cell) => cell.replaceAll('|', ''));
    const known = rows.get(heading) ?? [];
    rows.set(heading, [...known, cells.map((cell) => cell.trim())]);
  }
  return rows;
}

function toRows(table: KeyTable): string[][] {
  return Object.entries(table).map(([key, definition]) => {
    const {isRequired, defaultText, unit, expected, description} = definition;
    const absent = isRequired ? 'required' : 'none';
    const shownDefault =
      defaultText === undefined ? absent : `\`${defaultText}\``;
    return [`\`${key}\``, unit ?? '', shownDefault, expected, description];
  });
}

Then(
  'docs CONFIGURATION lists every key with unit, default and range',
  function () {
    const rows = getRows(readFileSync('docs/CONFIGURATION.md', 'utf8'));
    const tables: [string, KeyTable][] = [
      ...Object.entries(daemonSchema),
      ...Object.entries(operatorsSchema),
    ];
    for (const [section, table] of tables) {
      assert.deepEqual(rows.get(`\`${section}\``), toRows(table), section);
    }
    assert.equal(rows.size, tables.length);
  },
);
