/** Line-by-line difference of two texts. */

/** One line that occurs in only one of two texts. */
export interface LineDifference {
  readonly kind: 'added' | 'removed';
  /** Line number in the text in which it occurs, from 1. */
  readonly line: number;
  readonly text: string;
}

// With more pairs of lines than this, the whole differing range counts as
// replaced: comparing takes time and memory for every pair.
const maxComparedPairs = 4_000_000;

/** Range of lines in which two texts differ. */
interface DifferingRange {
  readonly before: readonly string[];
  readonly after: readonly string[];
  /** Number of equal lines before the range. */
  readonly offset: number;
}

/**
 * Gets the lines removed from the old text and added in the new one.
 * @param before - The old text.
 * @param after - The new text.
 */
export function getLineDifferences(
  before: string,
  after: string,
): LineDifference[] {
  const range = trimEqualEnds(splitLines(before), splitLines(after));
  const pairs = range.before.length * range.after.length;
  if (pairs > maxComparedPairs) return replaceRange(range);
  return compareRange(range);
}

/**
 * Formats differences as lines such as `- 3: old` and `+ 3: new`.
 * @param differences - Differences in the order in which to show them.
 */
export function formatLineDifferences(
  differences: readonly LineDifference[],
): string {
  return differences
    .map(
      ({kind, line, text}) =>
        `${kind === 'added' ? '+' : '-'} ${line}: ${text}`,
    )
    .join('\n');
}

function splitLines(text: string): string[] {
  return text === '' ? [] : text.replace(/\n$/, '').split('\n');
}

function trimEqualEnds(before: string[], after: string[]): DifferingRange {
  const shorter = Math.min(before.length, after.length);
  let start = 0;
  while (start < shorter && before[start] === after[start]) start += 1;
  let end = 0;
  while (end < shorter - start && before.at(-1 - end) === after.at(-1 - end)) {
    end += 1;
  }
  return {
    before: before.slice(start, before.length - end),
    after: after.slice(start, after.length - end),
    offset: start,
  };
}

function replaceRange({
  before,
  after,
  offset,
}: DifferingRange): LineDifference[] {
  const toDifference =
    (kind: LineDifference['kind']) => (text: string, index: number) => ({
      kind,
      line: offset + index + 1,
      text,
    });
  return [
    ...before.map(toDifference('removed')),
    ...after.map(toDifference('added')),
  ];
}

function compareRange({
  before,
  after,
  offset,
}: DifferingRange): LineDifference[] {
  const common = getCommonLengths(before, after);
  const differences: LineDifference[] = [];
  let left = 0;
  let right = 0;
  while (left < before.length || right < after.length) {
    const oldText = before[left];
    const newText = after[right];
    if (oldText !== undefined && oldText === newText) {
      left += 1;
      right += 1;
    } else if (oldText !== undefined && isRemovedNext(common, left, right)) {
      left += 1;
      differences.push({kind: 'removed', line: offset + left, text: oldText});
    } else {
      right += 1;
      const text = newText ?? '';
      differences.push({kind: 'added', line: offset + right, text});
    }
  }
  return differences;
}

function isRemovedNext(
  common: readonly Uint32Array[],
  left: number,
  right: number,
): boolean {
  const ifRemoved = common[left + 1]?.[right] ?? 0;
  const ifAdded = common[left]?.[right + 1];
  return ifAdded === undefined || ifRemoved >= ifAdded;
}

/** Gets the longest common subsequence's length for each pair of suffixes. */
function getCommonLengths(
  before: readonly string[],
  after: readonly string[],
): Uint32Array[] {
  const rows = Array.from(
    {length: before.length + 1},
    () => new Uint32Array(after.length + 1),
  );
  for (let left = before.length - 1; left >= 0; left--) {
    const row = rows[left] as Uint32Array;
    const next = rows[left + 1] as Uint32Array;
    for (let right = after.length - 1; right >= 0; right--) {
      row[right] =
        before[left] === after[right]
          ? (next[right + 1] ?? 0) + 1
          : Math.max(next[right] ?? 0, row[right + 1] ?? 0);
    }
  }
  return rows;
}
