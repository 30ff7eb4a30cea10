/** Suggestion of a valid name for a misspelled one. */

/** Largest edit distance of a suggestion, as a share of the longer name. */
const maxDistanceShare = 0.5;

function getEditDistance(left: string, right: string): number {
  let row = Array.from({length: right.length + 1}, (_, index) => index);
  for (let i = 1; i <= left.length; i++) {
    const next = [i];
    for (let j = 1; j <= right.length; j++) {
      const substitution = left[i - 1] === right[j - 1] ? 0 : 1;
      next.push(
        Math.min(
          (row[j] as number) + 1,
          (next[j - 1] as number) + 1,
          (row[j - 1] as number) + substitution,
        ),
      );
    }
    row = next;
  }
  return row[right.length] as number;
}

/**
 * Gets the valid name with the smallest edit distance; undefined when no name
 * is similar enough.
 * @param name - Name that is not valid.
 * @param validNames - Candidates; the first wins on equal distance.
 */
export function getNearestName(
  name: string,
  validNames: Iterable<string>,
): string | undefined {
  let nearest: string | undefined;
  let nearestDistance = Infinity;
  for (const valid of validNames) {
    const distance = getEditDistance(name, valid);
    const longest = Math.max(name.length, valid.length);
    if (distance > longest * maxDistanceShare) continue;
    if (distance >= nearestDistance) continue;
    nearest = valid;
    nearestDistance = distance;
  }
  return nearest;
}
