/**
 * Nearest-rank percentile of unsorted samples; NaN without samples.
 * `p` lies between 0 and 100.
 */
export function percentile(samples: readonly number[], p: number): number {
  const sorted = [...samples].sort((a, b) => a - b);
  const rank = Math.ceil(sorted.length * p / 100);
  return sorted[Math.max(0, rank - 1)] ?? NaN;
}
