import { uniformInt } from "pure-rand/distribution/uniformInt";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** Picks up to `count` different items, in random order. */
export function pickRandom<T>(
  random: RandomGenerator,
  items: readonly T[],
  count: number,
): T[] {
  const rest = [...items];
  const picked: T[] = [];
  while (picked.length < count && rest.length > 0) {
    const index = uniformInt(random, 0, rest.length - 1);
    picked.push(rest[index]!);
    rest[index] = rest[rest.length - 1]!;
    rest.pop();
  }
  return picked;
}
