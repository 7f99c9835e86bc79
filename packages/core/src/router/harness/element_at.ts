/** Returns the item of an index that may exceed the length; it wraps around. */
export function elementAt<T>(items: readonly T[], index: number): T {
  return items[index % items.length];
}
