import type { Millis } from "@anvildeal/core";

/** An item that its reader could not make sense of. */
export interface IgnoredItem {
  readonly name: string;
  readonly detail: string;
}

/** Items of a collection at, or up to, a revision of the directory. */
export interface CollectionUpdate<T> {
  /** Revision up to which the items are known. */
  readonly revision: number;
  /** Latest revision of an item in the update; 0 when it names none. */
  readonly lastChange: number;
  readonly upserts: readonly T[];
  /** Names of items that are gone or cannot be read any more. */
  readonly removed: readonly string[];
  readonly ignored: readonly IgnoredItem[];
}

/** The directory no longer has the changes since the revision asked for. */
export class HistoryGoneError extends Error {
  override readonly name = "HistoryGoneError";
}

/** A call to the directory failed; nothing is known from it. */
export class DirectoryCallError extends Error {
  override readonly name = "DirectoryCallError";
}

/** Items of one kind in the platform's directory. */
export abstract class Collection<T> {
  /** Short name for logs and metrics. */
  abstract readonly label: string;

  /** Reads all items; rejects with {@link DirectoryCallError}. */
  abstract list(signal: AbortSignal): Promise<CollectionUpdate<T>>;

  /**
   * Waits for changes after a revision; returns an update without items when
   * there was none within `waitMs`.
   *
   * Rejects with {@link HistoryGoneError} or {@link DirectoryCallError}.
   */
  abstract watch(
    afterRevision: number,
    waitMs: Millis,
    signal: AbortSignal,
  ): Promise<CollectionUpdate<T>>;
}
