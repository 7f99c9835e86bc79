import {
  type EndpointRecord,
  rankByRendezvous,
  type RoutingConfig,
} from "@anvildeal/core";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { ManualClock } from "../manual_clock_fixture.js";
import {
  Collection,
  type CollectionUpdate,
  DirectoryCallError,
  type WatchTimes,
} from "./collection.js";
import { CollectionWatcher } from "./collection_watcher.js";
import { WatchDuty } from "./watch_duty.js";

const SMALL_FLEET = 4;
const LARGE_FLEET = 20;
const MAX_AGE_MS = 3000;

/** Node ids in the order of the election, so that each one's role is known. */
const NODE_IDS = rankByRendezvous(
  "directory watch",
  Array.from({ length: LARGE_FLEET }, (_, i) => `router-${i}`),
);

/** The wait of a watch that confirms, and that of the others. */
const OFTEN_MS = 1000;
const RARELY_MS = 25_000;

/** Lists at once; a watch stays pending until it is aborted or answered. */
class PendingWatches<T> extends Collection<T> {
  readonly label = "pending";
  readonly waitsMs: number[] = [];
  #answer = () => {};

  list(): Promise<CollectionUpdate<T>> {
    return Promise.resolve(unchanged());
  }

  watch(
    _afterRevision: number,
    { waitMs }: WatchTimes,
    signal: AbortSignal,
  ): Promise<CollectionUpdate<T>> {
    this.waitsMs.push(waitMs);
    return new Promise((resolve, reject) => {
      this.#answer = () => resolve(unchanged());
      signal.addEventListener(
        "abort",
        () => reject(new DirectoryCallError("aborted")),
      );
    });
  }

  /** Answers the pending watch, as if its wait were over. */
  async answer(): Promise<void> {
    this.#answer();
    await settle();
  }
}

function unchanged<T>(): CollectionUpdate<T> {
  return {
    epoch: 1,
    revision: 1,
    lastChange: 0,
    upserts: [],
    removed: [],
    ignored: [],
  };
}

function settle(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, 5));
}

describe("WatchDuty", () => {
  let clock: ManualClock;
  let configs: PendingWatches<RoutingConfig>;
  let endpoints: PendingWatches<EndpointRecord>;
  let watchers: CollectionWatcher<never>[];
  let renewals: string[];
  let duty: WatchDuty;

  beforeEach(() => start(NODE_IDS.at(-1)!));

  async function start(nodeId: string): Promise<void> {
    clock = new ManualClock();
    configs = new PendingWatches();
    endpoints = new PendingWatches();
    renewals = [];
    const configWatcher = new CollectionWatcher(configs, () => 0, true);
    const endpointWatcher = new CollectionWatcher(endpoints, () => 0);
    watchers = [configWatcher, endpointWatcher] as never[];
    duty = new WatchDuty({
      nodeId,
      maxDirectoryAgeMs: MAX_AGE_MS,
      configs: configWatcher,
      endpoints: endpointWatcher,
      logger: { log: () => {} },
      clock,
      renewConnections: (reason) => renewals.push(reason),
      onWatchPaused: () => {},
    });
    configWatcher.start();
    endpointWatcher.start();
    await settle();
  }

  afterEach(stop);

  function stop(): void {
    watchers.forEach((watcher) => watcher.dispose());
  }

  async function answerAll(): Promise<void> {
    await configs.answer();
    await endpoints.answer();
  }

  /** Reports of the first routers of the ranking. */
  function reportFrom(count: number): void {
    NODE_IDS.slice(0, count).forEach((nodeId) => duty.recordWatcher(nodeId));
  }

  it("asks often and reports while no other router does", async () => {
    duty.tick(SMALL_FLEET);
    await answerAll();
    expect(configs.waitsMs).toEqual([OFTEN_MS, OFTEN_MS]);
    expect(endpoints.waitsMs).toEqual([OFTEN_MS, OFTEN_MS]);
    expect(duty.isConfirmed).toBe(true);
  });

  describe("with reports of other routers", () => {
    it("keeps a long watch in a small fleet", async () => {
      reportFrom(1);
      duty.tick(SMALL_FLEET);
      await answerAll();
      expect(configs.waitsMs.at(-1)).toBe(RARELY_MS);
      expect(endpoints.waitsMs.at(-1)).toBe(RARELY_MS);
      expect(duty.isConfirmed).toBe(false);
    });

    it("does not watch the endpoints in a large fleet", async () => {
      reportFrom(4);
      duty.tick(LARGE_FLEET);
      await answerAll();
      expect(configs.waitsMs.at(-1)).toBe(RARELY_MS);
      expect(endpoints.waitsMs).toHaveLength(1);
    });
  });

  // Guards against a router that trusts its pending watches after the
  // connections to the store and to its peers fell silent together.
  it.each([SMALL_FLEET, LARGE_FLEET])(
    "asks on new connections when the reports end (%i routers)",
    async (routerCount) => {
      reportFrom(4);
      duty.tick(routerCount);
      await answerAll();
      clock.timeMs += 1000;
      duty.tick(routerCount);
      expect(renewals).toEqual([]);
      clock.timeMs += 400;
      duty.tick(routerCount);
      duty.tick(routerCount);
      await settle();
      expect(renewals).toHaveLength(1);
      expect(endpoints.waitsMs.at(-1)).toBe(
        routerCount === SMALL_FLEET ? RARELY_MS : OFTEN_MS,
      );
    },
  );

  it("watches again when the watching routers disconnect", async () => {
    reportFrom(4);
    duty.tick(LARGE_FLEET);
    await settle();
    const { length } = endpoints.waitsMs;
    duty.tick(LARGE_FLEET);
    await settle();
    expect(endpoints.waitsMs).toHaveLength(length);
    NODE_IDS.slice(0, 4).forEach((nodeId) => duty.removeWatcher(nodeId));
    duty.tick(LARGE_FLEET);
    await settle();
    expect(endpoints.waitsMs.slice(length)).toEqual([OFTEN_MS]);
  });

  it("asks for the configuration at once when it becomes the first watcher", async () => {
    stop();
    await start(NODE_IDS[1]!);
    duty.recordWatcher(NODE_IDS[0]!);
    duty.tick(LARGE_FLEET);
    await answerAll();
    const { length } = configs.waitsMs;
    duty.removeWatcher(NODE_IDS[0]!);
    duty.tick(LARGE_FLEET);
    await settle();
    expect(configs.waitsMs.slice(length)).toEqual([OFTEN_MS]);
  });
});
