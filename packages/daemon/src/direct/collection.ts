import type { DirectoryPosition, Millis } from "@anvildeal/core";

/** An item that could not be decoded. */
export interface IgnoredItem {
  /** Name in the directory; `unknown` if the item has none. */
  readonly name: string;
  /** Why the item could not be decoded. */
  readonly detail: string;
  /** Whether the update shows that the item was deleted after that. */
  readonly isDeleted?: boolean;
}

/**
 * Result of a list or watch call: all items of a collection at a position of
 * the directory, or the changes up to it.
 */
export interface CollectionUpdate<T> extends DirectoryPosition {
  /** Latest revision of an item in the update; 0 if the update has no item. */
  readonly lastChange: number;
  readonly upserts: readonly T[];
  /** Names of items that were deleted or can no longer be decoded. */
  readonly removed: readonly string[];
  /**
   * Items of the update that could not be decoded, with the reason. Their names
   * are also in `removed`, unless a later change in the update could be decoded.
   */
  readonly ignored: readonly IgnoredItem[];
}

/**
 * The directory does not have the changes since the requested revision: it
 * discarded them, or it was restored from a copy that lacks them. The
 * collection must be listed again.
 */
export class HistoryGoneError extends Error {
  override readonly name = "HistoryGoneError";
}

/**
 * A call to the directory failed or its response could not be decoded. A write
 * may or may not have taken effect.
 */
export class DirectoryCallError extends Error {
  override readonly name = "DirectoryCallError";
}

/** How long a watch call lasts. */
export interface WatchTimes {
  /** How long the directory waits for changes before it answers without one. */
  readonly waitMs: Millis;
  /** Time after the wait within which the answer must begin. */
  readonly answerMarginMs: Millis;
}

/** Items of one kind in the platform's directory. */
export abstract class Collection<T> {
  /** Short name for logs and metrics. */
  abstract readonly label: string;

  /**
   * Reads all items.
   *
   * Rejects with {@link DirectoryCallError}.
   */
  abstract list(signal: AbortSignal): Promise<CollectionUpdate<T>>;

  /**
   * Waits for changes after a revision; returns an update without items if
   * there were none. If the directory was restored since the
   * revision was read, the update has another epoch and may lack changes.
   *
   * Rejects with {@link HistoryGoneError} or {@link DirectoryCallError}.
   */
  abstract watch(
    afterRevision: number,
    times: WatchTimes,
    signal: AbortSignal,
  ): Promise<CollectionUpdate<T>>;
}
