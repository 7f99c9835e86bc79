/** Constants of a 32-bit linear congruential generator. */
const MULTIPLIER = 1664525;
const INCREMENT = 1013904223;

/** Returns the state after `state`; its high bits are the most random ones. */
export function nextRandom32(state: number): number {
  return (Math.imul(state, MULTIPLIER) + INCREMENT) >>> 0;
}
