/**
 * A point in the history of the platform's directory. Revisions of different
 * epochs are not comparable, because a restored directory gives out revisions
 * again.
 */
export interface DirectoryPosition {
  /** Rises each time the directory was restored from an older copy. */
  readonly epoch: number;
  /** Rises with each change of the directory within an epoch. */
  readonly revision: number;
}

/** Position of a router that knows nothing of the directory. */
export const UNKNOWN_POSITION: DirectoryPosition = { epoch: 0, revision: 0 };

/** Whether `a` is later than `b`; a later epoch precedes any revision. */
export function isLaterPosition(
  a: DirectoryPosition,
  b: DirectoryPosition,
): boolean {
  return a.epoch === b.epoch ? a.revision > b.revision : a.epoch > b.epoch;
}

/** Returns the later of two positions. */
export function laterPosition(
  a: DirectoryPosition,
  b: DirectoryPosition,
): DirectoryPosition {
  return isLaterPosition(b, a) ? b : a;
}
