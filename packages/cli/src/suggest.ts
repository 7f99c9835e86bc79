/**
 * Largest edit distance at which a known word is suggested, and the largest
 * number of suggestions.
 */
const MAX_DISTANCE = 3;

/**
 * Returns the known words most similar to a mistyped word, most similar first.
 */
export function suggest(typed: string, known: readonly string[]): string[] {
  return known
    .map((word) => ({ word, distance: editDistance(typed, word) }))
    .filter(({ word, distance }) =>
      distance <= MAX_DISTANCE && distance < word.length / 2
    )
    .sort((a, b) => a.distance - b.distance)
    .slice(0, MAX_DISTANCE)
    .map(({ word }) => word);
}

/**
 * Returns the Levenshtein distance: the smallest number of insertions,
 * deletions and replacements of characters that turn `a` into `b`.
 */
function editDistance(a: string, b: string): number {
  let previous = Array.from({ length: b.length + 1 }, (_, index) => index);
  for (let i = 1; i <= a.length; i++) {
    const row = [i];
    for (let j = 1; j <= b.length; j++) {
      const replaced = previous[j - 1] + (a[i - 1] === b[j - 1] ? 0 : 1);
      row.push(Math.min(previous[j] + 1, row[j - 1] + 1, replaced));
    }
    previous = row;
  }
  return previous[b.length];
}
