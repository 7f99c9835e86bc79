import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Pseudo-random choices; equal seeds give equal sequences. */
export class SeededRandom {
  readonly #generator;

  constructor(readonly seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** A number from 0 (included) to 1 (excluded). */
  uniform(): number {
    return uniformFloat64(this.#generator);
  }

  /** An integer from `from` to `to`, both included. */
  int(from: number, to: number): number {
    return uniformInt(this.#generator, from, to);
  }

  chance(probability: number): boolean {
    return this.uniform() < probability;
  }

  /** Picks an item uniformly; throws RangeError for an empty list. */
  pick<T>(items: readonly T[]): T {
    const item = items[this.int(0, items.length - 1)];
    if (item === undefined) {
      throw new RangeError("cannot pick from an empty list");
    }
    return item;
  }

  /** Picks an index with a probability in proportion to its weight. */
  pickWeighted(weights: readonly number[]): number {
    const totalWeight = weights.reduce((sum, weight) => sum + weight, 0);
    let remainingWeight = this.uniform() * totalWeight;
    for (const [index, weight] of weights.entries()) {
      remainingWeight -= weight;
      if (remainingWeight < 0) {
        return index;
      }
    }
    return weights.length - 1;
  }

  /** An exponentially distributed number, such as a gap in Poisson arrivals. */
  exponential(mean: number): number {
    return -Math.log(1 - this.uniform()) * mean;
  }

  /**
   * Returns a generator whose sequence depends only on the seed of this
   * generator and the label, not on the numbers drawn from this generator so
   * far.
   */
  fork(label: number): SeededRandom {
    return new SeededRandom((this.seed * 1_000_003 + label) | 0);
  }
}
