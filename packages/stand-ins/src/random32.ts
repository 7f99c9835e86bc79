/** Constants of a 32-bit linear congruential generator. */
const MULTIPLIER = 1664525;
const INCREMENT = 1013904223;

/**
 * Returns the generator's next state after `state`; the high bits of a state
 * are the most random ones.
 */
export function nextRandom32(state: number): number {
  return (Math.imul(state, MULTIPLIER) + INCREMENT) >>> 0;
}
