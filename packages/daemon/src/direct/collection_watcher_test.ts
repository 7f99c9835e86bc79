import { afterEach, describe, expect, it } from "vitest";
import {
  Collection,
  type CollectionUpdate,
  DirectoryCallError,
  HistoryGoneError,
  type WatchTimes,
} from "./collection.js";
import { CollectionWatcher, type WatchedUpdate } from "./collection_watcher.js";

type Step = CollectionUpdate<string> | Error | "wait";

/** Returns scripted results; further calls stay pending until they are aborted. */
class ScriptedCollection extends Collection<string> {
  readonly label = "scripted";
  readonly calls: string[] = [];
  readonly waitsMs: number[] = [];
  readonly marginsMs: number[] = [];
  readonly #steps: Step[];

  constructor(steps: Step[]) {
    super();
    this.#steps = steps;
  }

  list(signal: AbortSignal): Promise<CollectionUpdate<string>> {
    this.calls.push("list");
    return this.#next(signal);
  }

  watch(
    afterRevision: number,
    { answerMarginMs, waitMs }: WatchTimes,
    signal: AbortSignal,
  ): Promise<CollectionUpdate<string>> {
    this.waitsMs.push(waitMs);
    this.marginsMs.push(answerMarginMs);
    this.calls.push(`watch ${afterRevision}`);
    return this.#next(signal);
  }

  #next(signal: AbortSignal): Promise<CollectionUpdate<string>> {
    const step = this.#steps.shift() ?? "wait";
    if (step instanceof Error) {
      return Promise.reject(step);
    }
    if (step !== "wait") {
      return Promise.resolve(step);
    }
    return new Promise((_resolve, reject) =>
      signal.addEventListener(
        "abort",
        () => reject(new DirectoryCallError("aborted")),
      )
    );
  }
}

function update(revision: number, ...upserts: string[]) {
  return {
    epoch: 1,
    revision,
    lastChange: upserts.length > 0 ? revision : 0,
    upserts,
    removed: [],
    ignored: [],
  };
}

describe("CollectionWatcher", () => {
  let watcher: CollectionWatcher<string> | undefined;

  afterEach(() => watcher?.dispose());

  /** Starts a watcher and waits until it has made `count` calls. */
  async function run(
    steps: Step[],
    count: number,
    latestOnly = false,
  ): Promise<{
    calls: string[];
    updates: WatchedUpdate<string>[];
    failures: boolean[];
  }> {
    const collection = new ScriptedCollection(steps);
    const updates: WatchedUpdate<string>[] = [];
    const failures: boolean[] = [];
    watcher = new CollectionWatcher(collection, () => 0, latestOnly);
    watcher.onUpdate((item) => updates.push(item));
    watcher.onFailure(({ historyGone }) => failures.push(historyGone));
    watcher.start();
    while (collection.calls.length < count) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    return { calls: collection.calls, updates, failures };
  }

  it("lists once, then watches from the revision of each response", async () => {
    const { calls, updates } = await run(
      [update(5, "a"), update(6, "b"), update(9)],
      4,
    );
    expect(calls).toEqual(["list", "watch 5", "watch 6", "watch 9"]);
    expect(updates.map(({ isSnapshot }) => isSnapshot)).toEqual([
      true,
      false,
    ]);
  });

  it("lists again when the history is gone, and does not report an outage", async () => {
    const { calls, failures } = await run(
      [update(5), new HistoryGoneError("gone"), update(20, "a")],
      4,
    );
    expect(calls).toEqual(["list", "watch 5", "list", "watch 20"]);
    expect(failures).toEqual([true]);
  });

  // Guards against a call that is still pending on a path that carries nothing
  // when the platform expects the router to have recovered, 3 s after the path
  // has healed: calls after failures lasted 3.8 s.
  it("makes only calls after failures that end within the bound", async () => {
    const failures = Array.from(
      { length: 5 },
      () => new DirectoryCallError("no answer"),
    );
    const collection = new ScriptedCollection([update(5), ...failures]);
    watcher = new CollectionWatcher(collection, () => 0);
    watcher.start();
    while (collection.calls.length < 7) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    const durationsMs = collection.waitsMs.map((waitMs, i) =>
      waitMs + collection.marginsMs[i]!
    );
    expect(Math.max(...durationsMs.slice(1))).toBeLessThanOrEqual(2100);
  });

  // Guards against repeating a watch whose answer cannot be read.
  it("lists after a failed call if only the newest state matters", async () => {
    const { calls } = await run(
      [update(5, "a"), new DirectoryCallError("too large"), update(9, "b")],
      4,
      true,
    );
    expect(calls).toEqual(["list", "watch 5", "list", "list"]);
  });

  it("watches from the same revision after a failed call", async () => {
    const { calls, failures } = await run(
      [update(5), new DirectoryCallError("reset")],
      3,
    );
    expect(calls).toEqual(["list", "watch 5", "watch 5"]);
    expect(failures).toEqual([false]);
  });

  // A call that waits 25 s for changes would tell as late as that whether the
  // directory is available again.
  it("waits only briefly in the first call after a failed call", async () => {
    const collection = new ScriptedCollection([
      update(5),
      new DirectoryCallError("reset"),
      update(5),
    ]);
    watcher = new CollectionWatcher(collection, () => 0);
    watcher.setPace({
      waitMs: 25_000,
      batchDelayMs: 0,
      maxCallAfterFailureMs: 2100,
    });
    watcher.start();
    while (collection.calls.length < 4) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    expect(collection.waitsMs).toEqual([25_000, 200, 25_000]);
  });

  // With a fixed margin, every call to a directory that is slower would fail.
  it("gives a slow directory more time after each failed call", async () => {
    const collection = new ScriptedCollection([
      update(5),
      new DirectoryCallError("no response"),
      new DirectoryCallError("no response"),
      new DirectoryCallError("no response"),
      update(5),
    ]);
    watcher = new CollectionWatcher(collection, () => 0);
    watcher.start();
    while (collection.calls.length < 6) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    expect(collection.marginsMs).toEqual([700, 1400, 1900, 1900, 700]);
  });

  it("makes a new call when it is told that the pending one may be silent", async () => {
    const { calls, failures } = await run([update(5)], 2);
    watcher!.restart();
    await new Promise((resolve) => setTimeout(resolve, 20));
    expect(calls).toEqual(["list", "watch 5", "watch 5"]);
    expect(failures).toEqual([]);
  });

  it("combines changes in quick succession if only the newest state matters", async () => {
    const { calls, updates } = await run(
      [update(5, "v1"), update(6, "v2"), update(9, "v5"), update(9, "v5")],
      5,
      true,
    );
    expect(calls).toEqual(["list", "watch 5", "list", "list", "watch 9"]);
    expect(updates.map(({ upserts }) => upserts[0])).toEqual([
      "v1",
      "v2",
      "v5",
      "v5",
    ]);
  });

  // The revision of the directory also rises with changes of other collections,
  // such as the router's own documents. Each list call would then be followed by
  // another one, and each of them reads the whole collection.
  it("stops listing when only other collections have changed since", async () => {
    const { calls } = await run(
      [
        update(5, "v1"),
        update(6, "v2"),
        { ...update(9, "v2"), lastChange: 6 },
      ],
      4,
      true,
    );
    expect(calls).toEqual(["list", "watch 5", "list", "watch 9"]);
  });

  describe("when the directory was restored from an older copy", () => {
    const restored = { epoch: 2 };

    it("lists again if the revision that it watched was given out again", async () => {
      const { calls, updates, failures } = await run(
        [
          update(5, "a"),
          { ...update(6, "lost history"), ...restored },
          { ...update(6, "b"), ...restored },
        ],
        4,
      );
      expect(calls).toEqual(["list", "watch 5", "list", "watch 6"]);
      expect(updates.map(({ upserts }) => upserts[0])).toEqual(["a", "b"]);
      expect(failures).toEqual([true]);
    });

    it("continues from the lower revision of the copy", async () => {
      const { calls } = await run(
        [
          update(50, "a"),
          new HistoryGoneError("unknown revision"),
          { ...update(6, "b"), ...restored },
          { ...update(7), ...restored },
        ],
        5,
      );
      expect(calls).toEqual(["list", "watch 50", "list", "watch 6", "watch 7"]);
    });

    it("reports the epoch of an answer before its update", async () => {
      const collection = new ScriptedCollection([update(5, "a")]);
      const seen: (number | string)[] = [];
      watcher = new CollectionWatcher(collection, () => 0);
      watcher.onEpoch((epoch) => seen.push(epoch));
      watcher.onUpdate(({ upserts }) => seen.push(...upserts));
      watcher.start();
      while (collection.calls.length < 2) {
        await new Promise((resolve) => setTimeout(resolve, 5));
      }
      expect(seen).toEqual([1, "a"]);
    });

    it("lists again at once when another router noticed it", async () => {
      const collection = new ScriptedCollection([update(5), "wait", {
        ...update(3),
        ...restored,
      }]);
      watcher = new CollectionWatcher(collection, () => 0);
      watcher.start();
      while (collection.calls.length < 2) {
        await new Promise((resolve) => setTimeout(resolve, 5));
      }
      watcher.advanceToEpoch(2);
      while (collection.calls.length < 4) {
        await new Promise((resolve) => setTimeout(resolve, 5));
      }
      expect(collection.calls).toEqual(["list", "watch 5", "list", "watch 3"]);
    });

    it("ignores an answer that was given before", async () => {
      const { updates, failures } = await run(
        [
          { ...update(5, "copy"), ...restored },
          update(9, "lost history"),
        ],
        3,
      );
      expect(updates.map(({ upserts }) => upserts[0])).toEqual(["copy"]);
      expect(failures).toEqual([false]);
    });
  });

  it("makes no call while paused, and resumes from the revision of a peer", async () => {
    const collection = new ScriptedCollection([update(5)]);
    watcher = new CollectionWatcher(collection, () => 0);
    watcher.start();
    while (collection.calls.length < 2) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    expect(watcher.isFollowing).toBe(true);
    watcher.pause();
    watcher.advanceTo({ epoch: 1, revision: 8 });
    await new Promise((resolve) => setTimeout(resolve, 30));
    expect(watcher.isFollowing).toBe(false);
    expect(collection.calls).toEqual(["list", "watch 5"]);
    watcher.resume();
    while (collection.calls.length < 3) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    expect(collection.calls).toEqual(["list", "watch 5", "watch 8"]);
  });

  it("restarts the watch from the later revision that a peer sent", async () => {
    const collection = new ScriptedCollection([update(5)]);
    watcher = new CollectionWatcher(collection, () => 0);
    watcher.start();
    while (collection.calls.length < 2) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    watcher.advanceTo({ epoch: 1, revision: 8 });
    watcher.restart();
    while (collection.calls.length < 3) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    expect(collection.calls).toEqual(["list", "watch 5", "watch 8"]);
  });
});
