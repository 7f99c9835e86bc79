import type {
  DirectEvent,
  EndpointRecord,
  Message,
  MessageOf,
} from "@anvildeal/core";
import { afterEach, describe, expect, it } from "vitest";
import { ManualClock } from "../manual_clock_fixture.js";
import { Collection, type CollectionUpdate } from "./collection.js";
import { CollectionWatcher } from "./collection_watcher.js";
import { EndpointSync } from "./endpoint_sync.js";

/** Answers the next call when the test says so. */
class HeldCollection extends Collection<EndpointRecord> {
  readonly label = "held";
  calls = 0;
  #waiting = false;
  #answer: (update: CollectionUpdate<EndpointRecord>) => void = () => {};

  list(signal: AbortSignal): Promise<CollectionUpdate<EndpointRecord>> {
    return this.#wait(signal);
  }

  watch(
    _afterRevision: number,
    _waitMs: number,
    signal: AbortSignal,
  ): Promise<CollectionUpdate<EndpointRecord>> {
    return this.#wait(signal);
  }

  async answer(revision: number, ...ids: string[]): Promise<void> {
    this.#waiting = false;
    this.#answer({
      revision,
      lastChange: ids.length > 0 ? revision : 0,
      upserts: ids.map(record),
      removed: [],
      ignored: [],
    });
    await settle();
  }

  /** Resolves when a call waits for its answer. */
  async nextCall(): Promise<void> {
    while (!this.#waiting) {
      await settle();
    }
  }

  #wait(signal: AbortSignal): Promise<CollectionUpdate<EndpointRecord>> {
    this.calls++;
    this.#waiting = true;
    return new Promise((resolve, reject) => {
      this.#answer = resolve;
      signal.addEventListener("abort", () => reject(new Error("aborted")));
    });
  }
}

function record(id: string): EndpointRecord {
  return {
    id,
    service: "s",
    address: "10.0.0.1:80",
    failureDomain: "a",
    state: "ready",
    incarnation: 1,
  };
}

function settle(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, 10));
}

const FLEET = 20;

describe("EndpointSync", () => {
  const syncs: EndpointSync[] = [];

  afterEach(() => {
    for (const sync of syncs.splice(0)) {
      sync.dispose();
    }
  });

  async function start(nodeId: string) {
    const clock = new ManualClock();
    const collection = new HeldCollection();
    const events: DirectEvent[] = [];
    const sent: Message[] = [];
    const sync = new EndpointSync({
      nodeId,
      watcher: new CollectionWatcher(collection, () => 0),
      logger: { log: () => {} },
      clock,
      push: (event) => events.push(event),
      isSettled: () => true,
      broadcast: (message) => sent.push(message),
      onRest: () => {},
    });
    syncs.push(sync);
    sync.start();
    await collection.nextCall();
    await collection.answer(10, "a");
    return { collection, events, sent, sync };
  }

  /** A router that leaves the watch to others. */
  async function startResting() {
    const member = await start("resting");
    for (let i = 0; i < FLEET; i++) {
      member.sync.noteWatcher(`router-${i}`);
    }
    member.sync.tick(FLEET);
    return member;
  }

  function changeOf(
    afterRevision: number,
    revision: number,
    endpoint: string,
  ): MessageOf<"fleet_change"> {
    return {
      type: "fleet_change",
      afterRevision,
      revision,
      lastChange: revision,
      settled: true,
      endpoints: [record(endpoint)],
      removedIds: [],
    };
  }

  function added(events: readonly DirectEvent[]): string[] {
    return events.flatMap((event) =>
      event.type === "endpoints_changed"
        ? event.change.upserts.map(({ id }) => id)
        : []
    );
  }

  it("tells a change to the others of a large fleet only", async () => {
    const { collection, sent, sync } = await start("a");
    sync.tick(4);
    await collection.answer(12, "b");
    expect(sent).toEqual([]);
    await collection.nextCall();
    sync.tick(FLEET);
    await collection.answer(15, "c");
    expect(sent.map(({ type }) => type))
      .toEqual(["fleet_watching", "fleet_change"]);
    expect(sent[1]).toMatchObject({ afterRevision: 12, revision: 15 });
  });

  it("takes over changes that follow what it knows, in their order", async () => {
    const { events, sync } = await startResting();
    sync.takeChange("w", changeOf(10, 12, "b"));
    sync.takeChange("x", changeOf(10, 12, "b"));
    sync.takeChange("w", changeOf(12, 15, "c"));
    expect(added(events)).toEqual(["a", "b", "c"]);
    expect(sync.lastChange).toBe(15);
  });

  it("leaves out a change when an earlier one was missed", async () => {
    const { events, sync } = await startResting();
    sync.takeChange("w", changeOf(12, 15, "c"));
    expect(added(events)).toEqual(["a"]);
    expect(sync.revision).toBe(10);
    sync.takeContent("w", {
      revision: 16,
      lastChange: 15,
      settled: true,
      endpoints: [record("a"), record("c")],
    });
    expect(sync.revision).toBe(16);
  });

  it("watches again when the watchers fall silent", async () => {
    const { collection, sync } = await startResting();
    const { calls } = collection;
    await settle();
    expect(collection.calls).toBe(calls);
    for (let i = 0; i < FLEET; i++) {
      sync.forgetWatcher(`router-${i}`);
    }
    sync.tick(FLEET);
    await settle();
    expect(collection.calls).toBe(calls + 1);
  });

  it("does not tell a list as a change, which others would take for news", async () => {
    const { sent, sync } = await start("a");
    sync.tick(FLEET);
    expect(sent.filter(({ type }) => type === "fleet_change")).toEqual([]);
    expect(sync.lastChange).toBe(10);
  });
});
