import { setTimeout as sleep } from "node:timers/promises";
import {
  type DirectoryPosition,
  isLaterPosition,
  type Millis,
} from "@anvildeal/core";
import { type Disposable, Emitter } from "../net/index.js";
import {
  type Collection,
  type CollectionUpdate,
  DirectoryCallError,
  HistoryGoneError,
} from "./collection.js";

const FIRST_RETRY_MS: Millis = 150;
const MAX_RETRY_MS: Millis = 1200;
const RETRY_FACTOR = 1.7;

/**
 * Longest wait of the first watch call after a failed call. Its answer tells
 * soon whether the directory is available again and whether it was restored.
 */
const WAIT_AFTER_FAILURE_MS: Millis = 200;

/**
 * Time after its wait within which a watch call must be answered. A directory
 * that is slower gets more time after each failed call.
 */
const MIN_ANSWER_MARGIN_MS: Millis = 700;
const ANSWER_MARGIN_FACTOR = 2;

/**
 * Minimum delay between a change and the list call that reads the newest state;
 * changes within this time are read with one call.
 */
const MIN_RELIST_DELAY_MS: Millis = 300;

/** Maximum delay between a change and the list call that reads the newest state. */
const MAX_RELIST_DELAY_MS: Millis = 800;

/**
 * A call that fails later than this was not refused: the directory had accepted
 * it, and it was interrupted while it waited for changes. The retry delay then
 * starts from its minimum again.
 */
const RETRY_RESET_AFTER_MS: Millis = 1000;

/** How long the calls of a watcher last and how often they are made. */
export interface WatchPace {
  /** How long a watch call waits for changes. */
  readonly waitMs: Millis;
  /**
   * Delay between a change and the next watch call. Changes often come in
   * groups, and each call is charged for; the delay lets one call read a group.
   */
  readonly batchDelayMs: Millis;
  /**
   * Longest duration of a watch call after a failed one. A call that is pending
   * when the path to the directory heals may never be answered, so it must end
   * before the router is expected to be up to date again.
   */
  readonly maxCallAfterFailureMs: Millis;
}

/** Pace until {@link CollectionWatcher.setPace} is called. */
const INITIAL_PACE: WatchPace = {
  waitMs: 1000,
  batchDelayMs: 200,
  maxCallAfterFailureMs: 2100,
};

export interface WatchedUpdate<T> extends CollectionUpdate<T> {
  /** The update contains all items; items that it lacks were removed. */
  readonly isSnapshot: boolean;
}

export interface WatchFailure {
  readonly label: string;
  readonly call: "list" | "watch";
  readonly detail: string;
  readonly waitedMs: Millis;
  /** The directory answered, but no longer has the requested changes. */
  readonly historyGone: boolean;
}

/**
 * Keeps a collection of the directory up to date: lists it once, then watches
 * it for changes. Failed calls are retried with exponential backoff and jitter.
 */
export class CollectionWatcher<T> implements Disposable {
  readonly #collection: Collection<T>;
  readonly #random: () => number;
  readonly #earliestSentMs: (awaitedSinceMs: Millis) => Millis;
  readonly #onUpdate = new Emitter<WatchedUpdate<T>>();
  readonly #onFailure = new Emitter<WatchFailure>();
  readonly #onAnswer = new Emitter<Millis>();
  readonly #onEpoch = new Emitter<number>();
  readonly #disposed = new AbortController();
  #callController = new AbortController();
  /** Position up to which the items are known; undefined before the first list. */
  #position: DirectoryPosition | undefined;
  /** Highest epoch that an answer or a peer named. */
  #epoch = 0;
  /** Revision of the latest change that a call returned; 0 if there is none. */
  #lastChange = 0;
  #retryMs: Millis = FIRST_RETRY_MS;
  readonly #latestOnly: boolean;
  #pace = INITIAL_PACE;
  #answerMarginMs = MIN_ANSWER_MARGIN_MS;
  #lastCallSucceeded = false;
  /** The last call that was not aborted failed. */
  #lastCallFailed = false;
  /** Set while calls are paused. `ended` resolves when they resume. */
  #pause:
    | { readonly ended: Promise<void>; readonly end: () => void }
    | undefined;
  /** Duration of the last list call. */
  #lastListMs: Millis = 0;
  /** With `latestOnly`: the last call returned a change, so the next call is a list. */
  #relistNext = false;

  readonly onUpdate = this.#onUpdate.event;
  readonly onFailure = this.#onFailure.event;
  /**
   * Fires after each successful call, with the earliest time at which its answer
   * can have been sent.
   */
  readonly onAnswer = this.#onAnswer.event;
  /** Fires with the epoch of each answer, before its update. */
  readonly onEpoch = this.#onEpoch.event;

  /**
   * @param random Uniform in [0, 1), for the jitter of retries.
   * @param latestOnly Only the newest state matters. After a change or a failed
   *   call the collection is listed instead of watched, because a watch returns
   *   each intermediate version of a large object that changes often.
   * @param earliestSentMs Returns the earliest time at which an answer can have
   *   been sent that is read now, from the time at which its call began.
   */
  constructor(
    collection: Collection<T>,
    random: () => number,
    latestOnly = false,
    earliestSentMs: (awaitedSinceMs: Millis) => Millis = () =>
      performance.now(),
  ) {
    this.#latestOnly = latestOnly;
    this.#earliestSentMs = earliestSentMs;
    this.#collection = collection;
    this.#random = random;
  }

  /** Position up to which the items are known; undefined before the first list. */
  get position(): DirectoryPosition | undefined {
    return this.#position;
  }

  /**
   * Time within which a change usually arrives: the last list call and the delay
   * before the next one.
   */
  get usualChangeMs(): Millis {
    return this.#lastListMs + this.#relistDelayMs;
  }

  /** Whether the watcher is not paused and its last call succeeded. */
  get isFollowing(): boolean {
    return this.#lastCallSucceeded && this.#pause === undefined;
  }

  /** Sets the pace of all further calls. */
  setPace(pace: WatchPace): void {
    this.#pace = pace;
  }

  start(): void {
    void this.#run();
  }

  /**
   * Aborts the pending call; no call is made until {@link resume}. Returns false
   * if the watcher was paused already.
   */
  pause(): boolean {
    if (this.#pause !== undefined) {
      return false;
    }
    let end = () => {};
    const ended = new Promise<void>((resolve) => {
      end = resolve;
    });
    this.#pause = { ended, end };
    this.#lastCallSucceeded = false;
    this.#callController.abort();
    return true;
  }

  /** Continues to watch from the latest known revision. */
  resume(): void {
    this.#pause?.end();
    this.#pause = undefined;
  }

  /** Aborts the pending watch and makes the next one; a list is completed. */
  restart(): void {
    if (!this.#listsNext) {
      this.#callController.abort();
    }
  }

  /** Continues from a later position, whose items another router sent. */
  advanceTo(position: DirectoryPosition): void {
    if (
      this.#position === undefined || !isLaterPosition(position, this.#position)
    ) {
      return;
    }
    this.#position = position;
    this.#epoch = Math.max(this.#epoch, position.epoch);
  }

  /**
   * Lists the collection again if it was read in an earlier epoch than this one.
   * The pending call is aborted, since the directory may have forgotten it.
   */
  advanceToEpoch(epoch: number): void {
    this.#epoch = Math.max(this.#epoch, epoch);
    if (this.#position !== undefined && this.#position.epoch < epoch) {
      this.#position = undefined;
      this.#callController.abort();
    }
  }

  dispose(): void {
    this.#disposed.abort();
    this.resume();
    this.#callController.abort();
    this.#onUpdate.dispose();
    this.#onFailure.dispose();
    this.#onAnswer.dispose();
    this.#onEpoch.dispose();
  }

  async #run(): Promise<void> {
    for (;;) {
      await this.#pause?.ended;
      if (this.#disposed.signal.aborted) {
        return;
      }
      this.#callController = new AbortController();
      const startedMs = performance.now();
      try {
        const sentMs = await this.#callOnce();
        this.#retryMs = FIRST_RETRY_MS;
        this.#answerMarginMs = MIN_ANSWER_MARGIN_MS;
        this.#lastCallFailed = false;
        this.#lastCallSucceeded = this.#pause === undefined;
        this.#onAnswer.fire(sentMs);
      } catch (error) {
        if (this.#disposed.signal.aborted) {
          return;
        }
        if (this.#callController.signal.aborted) {
          continue;
        }
        this.#lastCallSucceeded = false;
        this.#lastCallFailed = true;
        await this.#handleFailure(error, performance.now() - startedMs);
      }
    }
  }

  /** Returns the earliest time at which the answer can have been sent. */
  async #callOnce(): Promise<Millis> {
    const { signal } = this.#callController;
    const position = this.#position;
    if (position === undefined || this.#listsNext) {
      return await this.#list(position, signal);
    }
    const startedMs = performance.now();
    const update = await this.#collection.watch(
      position.revision,
      {
        waitMs: this.#lastCallFailed
          ? Math.min(WAIT_AFTER_FAILURE_MS, this.#pace.waitMs)
          : this.#pace.waitMs,
        answerMarginMs: this.#answerMarginMs,
      },
      signal,
    );
    const sentMs = this.#earliestSentMs(startedMs);
    if (this.#position !== position) {
      // advanceTo() was called meanwhile, so this response is outdated.
      return sentMs;
    }
    this.#checkEpoch(update);
    if (update.epoch !== position.epoch) {
      throw new HistoryGoneError("the directory was restored from a copy");
    }
    this.#position = {
      epoch: position.epoch,
      revision: Math.max(position.revision, update.revision),
    };
    this.#lastChange = Math.max(this.#lastChange, update.lastChange);
    if (update.upserts.length + update.removed.length > 0) {
      this.#relistNext = this.#latestOnly;
      this.#onUpdate.fire({ ...update, isSnapshot: false });
      if (!this.#latestOnly) {
        await sleep(this.#pace.batchDelayMs);
      }
    }
    return sentMs;
  }

  async #list(
    position: DirectoryPosition | undefined,
    signal: AbortSignal,
  ): Promise<Millis> {
    if (this.#relistNext && !this.#lastCallFailed) {
      await sleep(this.#relistDelayMs);
    }
    const startedMs = performance.now();
    const update = await this.#collection.list(signal);
    const sentMs = this.#earliestSentMs(startedMs);
    this.#lastListMs = performance.now() - startedMs;
    this.#checkEpoch(update);
    // The revision of the directory is no measure here, because it also rises
    // with changes of other collections.
    this.#relistNext = this.#latestOnly && position?.epoch === update.epoch &&
      update.lastChange > this.#lastChange;
    this.#position = { epoch: update.epoch, revision: update.revision };
    this.#lastChange = update.lastChange;
    this.#onUpdate.fire({ ...update, isSnapshot: true });
    return sentMs;
  }

  /**
   * Whether the next call is a list. With `latestOnly`, that is the case after a
   * failed call: the answer to a watch grows with each version that was missed
   * and may have become too large to be read.
   */
  get #listsNext(): boolean {
    return this.#position === undefined || this.#relistNext ||
      this.#latestOnly && this.#lastCallFailed;
  }

  /**
   * Reading a large collection takes at most about half of the time, so that a
   * slow link has capacity left while the collection changes often.
   */
  get #relistDelayMs(): Millis {
    return Math.min(
      MAX_RELIST_DELAY_MS,
      Math.max(MIN_RELIST_DELAY_MS, this.#lastListMs),
    );
  }

  /** Throws if an answer was given before the directory was last restored. */
  #checkEpoch({ epoch }: DirectoryPosition): void {
    if (epoch < this.#epoch) {
      throw new DirectoryCallError(
        `the answer is of epoch ${epoch}, before epoch ${this.#epoch}`,
      );
    }
    this.#epoch = epoch;
    this.#onEpoch.fire(epoch);
  }

  async #handleFailure(error: unknown, waitedMs: Millis): Promise<void> {
    const call = this.#position === undefined ? "list" : "watch";
    const detail = error instanceof Error ? error.message : String(error);
    const historyGone = error instanceof HistoryGoneError;
    this.#onFailure.fire({
      label: this.#collection.label,
      call,
      detail,
      waitedMs: Math.round(waitedMs),
      historyGone,
    });
    if (historyGone) {
      this.#position = undefined;
      return;
    }
    this.#answerMarginMs = Math.min(
      this.#pace.maxCallAfterFailureMs - WAIT_AFTER_FAILURE_MS,
      this.#answerMarginMs * ANSWER_MARGIN_FACTOR,
    );
    if (waitedMs > RETRY_RESET_AFTER_MS) {
      this.#retryMs = FIRST_RETRY_MS;
    }
    const delayMs = this.#retryMs * (0.5 + this.#random());
    this.#retryMs = Math.min(MAX_RETRY_MS, this.#retryMs * RETRY_FACTOR);
    await sleep(delayMs);
  }
}
