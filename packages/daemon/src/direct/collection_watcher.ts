import { setTimeout as sleep } from "node:timers/promises";
import type { Millis } from "@anvildeal/core";
import { type Disposable, Emitter } from "../net/index.js";
import {
  type Collection,
  type CollectionUpdate,
  HistoryGoneError,
} from "./collection.js";

/** Longest wait of one watch call; each call is charged. */
export const LONG_WATCH_MS: Millis = 25_000;

const FIRST_RETRY_MS: Millis = 150;
const MAX_RETRY_MS: Millis = 1200;
const RETRY_FACTOR = 1.7;

/**
 * Pause after a change before the next watch: changes often come in groups, and
 * each call is charged.
 */
const COLLECT_MS: Millis = 200;

/** Changes that follow each other within this time are read together. */
const QUICK_CHANGE_MS: Millis = 300;

/** A watch that failed after it waited this long was cut, not refused. */
const CUT_AFTER_MS: Millis = 1000;

export interface WatchedUpdate<T> extends CollectionUpdate<T> {
  /** The update names all items; those it does not name are gone. */
  readonly whole: boolean;
}

export interface WatchFailure {
  readonly label: string;
  readonly call: "list" | "watch";
  readonly detail: string;
  /** The directory answers, but no longer has the changes asked for. */
  readonly historyGone: boolean;
}

/** Follows a collection of the directory: lists it once, then watches it. */
export class CollectionWatcher<T> implements Disposable {
  readonly #collection: Collection<T>;
  readonly #random: () => number;
  readonly #onUpdate = new Emitter<WatchedUpdate<T>>();
  readonly #onFailure = new Emitter<WatchFailure>();
  readonly #onAnswer = new Emitter<void>();
  readonly #disposed = new AbortController();
  #call = new AbortController();
  #revision: number | undefined;
  #retryMs: Millis = FIRST_RETRY_MS;
  readonly #latestOnly: boolean;
  #waitMs: Millis = LONG_WATCH_MS;
  #answering = false;
  /** Resolves when calls go on; undefined while they do. */
  #pause:
    | { readonly ended: Promise<void>; readonly end: () => void }
    | undefined;
  /** The last call brought a change, so more may follow. */
  #changing = false;

  readonly onUpdate = this.#onUpdate.event;
  readonly onFailure = this.#onFailure.event;
  /** Fires for each answer of the directory. */
  readonly onAnswer = this.#onAnswer.event;

  /**
   * @param random Uniform in [0, 1), for the jitter of retries.
   * @param latestOnly Only the newest state matters. After a change the
   *   collection is listed again instead of watched, because a watch would
   *   return each of many quick changes of a large object.
   */
  constructor(
    collection: Collection<T>,
    random: () => number,
    latestOnly = false,
  ) {
    this.#latestOnly = latestOnly;
    this.#collection = collection;
    this.#random = random;
  }

  /** Revision up to which the items are known, if any. */
  get revision(): number | undefined {
    return this.#revision;
  }

  /** Whether calls are made and the last one was answered. */
  get following(): boolean {
    return this.#answering && this.#pause === undefined;
  }

  /** Sets how long each watch call waits for changes. */
  setWait(waitMs: Millis): void {
    this.#waitMs = waitMs;
  }

  start(): void {
    void this.#run();
  }

  /** Ends the call that waits; nothing is called until {@link resume}. */
  pause(): void {
    if (this.#pause === undefined) {
      let end = () => {};
      const ended = new Promise<void>((resolve) => {
        end = resolve;
      });
      this.#pause = { ended, end };
      this.#answering = false;
      this.#call.abort();
    }
  }

  /** Goes on from the revision that is known by now. */
  resume(): void {
    this.#pause?.end();
    this.#pause = undefined;
  }

  /**
   * Takes over items that another router read at a later revision. A call that
   * waits is started anew, since its connection may have gone silent.
   */
  advance(revision: number): void {
    if (this.#revision === undefined || revision <= this.#revision) {
      return;
    }
    this.#revision = revision;
    this.#call.abort();
  }

  dispose(): void {
    this.#disposed.abort();
    this.resume();
    this.#call.abort();
    this.#onUpdate.dispose();
    this.#onFailure.dispose();
    this.#onAnswer.dispose();
  }

  async #run(): Promise<void> {
    for (;;) {
      await this.#pause?.ended;
      if (this.#disposed.signal.aborted) {
        return;
      }
      this.#call = new AbortController();
      const startedMs = performance.now();
      try {
        await this.#step();
        this.#retryMs = FIRST_RETRY_MS;
        this.#answering = this.#pause === undefined;
        this.#onAnswer.fire();
      } catch (error) {
        if (this.#disposed.signal.aborted) {
          return;
        }
        if (this.#call.signal.aborted) {
          continue;
        }
        this.#answering = false;
        await this.#recover(error, performance.now() - startedMs);
      }
    }
  }

  async #step(): Promise<void> {
    const { signal } = this.#call;
    const revision = this.#revision;
    if (revision === undefined || this.#changing) {
      if (this.#changing) {
        await sleep(QUICK_CHANGE_MS);
      }
      const update = await this.#collection.list(signal);
      this.#changing = this.#latestOnly && revision !== undefined &&
        update.revision > revision;
      this.#revision = update.revision;
      this.#onUpdate.fire({ ...update, whole: true });
      return;
    }
    const update = await this.#collection.watch(
      revision,
      this.#waitMs,
      signal,
    );
    if (this.#revision !== revision) {
      // Another router was ahead while this call waited.
      return;
    }
    this.#revision = Math.max(revision, update.revision);
    if (update.upserts.length + update.removed.length > 0) {
      this.#changing = this.#latestOnly;
      this.#onUpdate.fire({ ...update, whole: false });
      if (!this.#latestOnly) {
        await sleep(COLLECT_MS);
      }
    }
  }

  async #recover(error: unknown, waitedMs: Millis): Promise<void> {
    const call = this.#revision === undefined ? "list" : "watch";
    const detail = error instanceof Error ? error.message : String(error);
    const historyGone = error instanceof HistoryGoneError;
    this.#onFailure.fire({
      label: this.#collection.label,
      call,
      detail,
      historyGone,
    });
    if (historyGone) {
      this.#revision = undefined;
      return;
    }
    if (waitedMs > CUT_AFTER_MS) {
      this.#retryMs = FIRST_RETRY_MS;
    }
    const delayMs = this.#retryMs * (0.5 + this.#random());
    this.#retryMs = Math.min(MAX_RETRY_MS, this.#retryMs * RETRY_FACTOR);
    await sleep(delayMs);
  }
}
