import {
  type DirectoryPosition,
  laterPosition,
  type Millis,
} from "@anvildeal/core";
import { setTimeout as sleep } from "node:timers/promises";
import type { Disposable } from "../net/index.js";
import type { Collection, CollectionUpdate } from "./collection.js";

/** Each call is charged, so a watch without a change waits long. */
const WATCH_WAIT_MS: Millis = 25_000;

/**
 * Wait of a first watch, and of one after a change, which ends both watches at the
 * same time. They then end in turn, so that one that gets no answer shows sooner
 * that both connections are silent.
 */
const OFFSET_WAIT_MS: Millis = 12_500;

const ANSWER_MARGIN_MS: Millis = 700;

/** Time within which the first watch returns a change that this one returned. */
const LAG_MS: Millis = 50;

/** Delay after a change; changes within this time are read with one call. */
const BATCH_DELAY_MS: Millis = 1000;

const RETRY_DELAY_MS: Millis = 5000;

export interface StandbyWatchOptions<T> {
  readonly collection: Collection<T>;
  /** Position of the first watch; undefined if it must list the items again. */
  readonly position: () => DirectoryPosition | undefined;
  /** Called if the first watch has not returned a change. */
  readonly onMissed: () => void;
  /** Called with the epoch of each answer. */
  readonly onEpoch: (epoch: number) => void;
  /** Called if an answer shows that there was no change. */
  readonly onUnchanged: () => void;
  /** Called with the result of each call. */
  readonly onCall: (result: "ok" | "failed") => void;
}

/**
 * Second pending watch of a collection that is watched already. The calls use
 * different connections, so a change that one silent connection hides is noticed.
 * The items are not read from this watch: it only shows that the first one missed
 * a change.
 */
export class StandbyWatch<T> implements Disposable {
  readonly #options: StandbyWatchOptions<T>;
  #controller: AbortController | undefined;

  constructor(options: StandbyWatchOptions<T>) {
    this.#options = options;
  }

  resume(): void {
    if (!this.#controller) {
      this.#controller = new AbortController();
      void this.#run(this.#controller.signal);
    }
  }

  pause(): void {
    this.#controller?.abort();
    this.#controller = undefined;
  }

  dispose(): void {
    this.pause();
  }

  async #run(signal: AbortSignal): Promise<void> {
    let waitMs = OFFSET_WAIT_MS;
    let known: DirectoryPosition | undefined;
    while (!signal.aborted) {
      const first = this.#options.position();
      const from = known && first ? laterPosition(known, first) : first;
      const update = from && await this.#watch(from, waitMs, signal);
      if (signal.aborted) {
        return;
      }
      const isUnchanged = update && !hasChange(update);
      known = isUnchanged ? update : undefined;
      waitMs = isUnchanged ? WATCH_WAIT_MS : OFFSET_WAIT_MS;
      if (isUnchanged) {
        this.#options.onUnchanged();
      } else if (update) {
        await pause(LAG_MS, signal);
        this.#reportMissed(update, signal);
        await pause(BATCH_DELAY_MS, signal);
      } else {
        await pause(RETRY_DELAY_MS, signal);
      }
    }
  }

  /** Returns undefined if the call failed or shows another epoch. */
  async #watch(
    from: DirectoryPosition,
    waitMs: Millis,
    signal: AbortSignal,
  ): Promise<CollectionUpdate<T> | undefined> {
    const { collection, onCall, onEpoch } = this.#options;
    try {
      const update = await collection.watch(
        from.revision,
        { waitMs, answerMarginMs: ANSWER_MARGIN_MS },
        signal,
      );
      onCall("ok");
      onEpoch(update.epoch);
      return update.epoch === from.epoch ? update : undefined;
    } catch {
      if (!signal.aborted) {
        onCall("failed");
      }
      return undefined;
    }
  }

  #reportMissed(update: CollectionUpdate<T>, signal: AbortSignal): void {
    const { onMissed, position } = this.#options;
    const known = position();
    // A deletion has no revision of its own.
    const revision = update.removed.length > 0
      ? update.revision
      : update.lastChange;
    if (
      !signal.aborted && known?.epoch === update.epoch &&
      known.revision < revision
    ) {
      onMissed();
    }
  }
}

function hasChange<T>({ removed, upserts }: CollectionUpdate<T>): boolean {
  return removed.length + upserts.length > 0;
}

/** Waits; returns early if the signal is aborted. */
async function pause(delayMs: Millis, signal: AbortSignal): Promise<void> {
  await sleep(delayMs, undefined, { signal }).catch(() => {});
}
