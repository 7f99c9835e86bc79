import { beforeEach, describe, expect, it } from "vitest";
import type { Message } from "../wire/messages.js";
import { ACTIVE_KEY, sectionKey, versionKey } from "./config_sync_objects.js";
import { contentOf, testDigest } from "./config_sync_test_bundles.js";
import {
  type ConfigSyncEffect,
  type ConfigSyncEvent,
  type ConfigSyncOptions,
  type ConfigSyncState,
  createConfigSyncState,
  hasVersionInForce,
  highestKnownVersion,
  reduceConfigSync,
  versionInForce,
} from "./index.js";

type EventInput = ConfigSyncEvent extends infer E
  ? E extends ConfigSyncEvent ? Omit<E, "nowMs"> : never
  : never;
type EffectOf<T extends ConfigSyncEffect["type"]> = Extract<
  ConfigSyncEffect,
  { type: T }
>;

function stateMessage(version: number): Message & { type: "config_state" } {
  const { manifest, sections } = contentOf(version);
  return {
    type: "config_state",
    configVersion: version,
    manifest: { ...manifest },
    sections: { ...sections },
  };
}

function storeObjects(version: number): Map<string, unknown> {
  const content = contentOf(version);
  const objects = new Map<string, unknown>([
    [ACTIVE_KEY, { version, digest: content.digest }],
    [versionKey(version), { version, manifest: content.manifest }],
  ]);
  for (const [name, text] of Object.entries(content.sections)) {
    objects.set(sectionKey(name), text);
  }
  return objects;
}

/**
 * Wraps a value as the store returns it; the store version is the value's own
 * `version` field, or 1 without one.
 */
function versioned(value: unknown) {
  const { version } = value as { version?: number };
  return { version: version ?? 1, value };
}

describe("reduceConfigSync", () => {
  let state: ConfigSyncState;

  const create = (options: Partial<ConfigSyncOptions> = {}) => {
    state = createConfigSyncState({
      role: "router",
      seed: 1,
      digest: testDigest,
      watchMode: "elected",
      ...options,
    });
  };
  const at = (nowMs: number, input: EventInput): ConfigSyncEffect[] =>
    reduceConfigSync(state, { ...input, nowMs } as ConfigSyncEvent);
  const receive = (
    nowMs: number,
    peerId: string,
    message: Message & { type: "config_query" | "config_state" },
  ) => at(nowMs, { type: "message_received", peerId, message });
  const tick = (nowMs: number, peerIds: string[] = []) =>
    at(nowMs, { type: "tick", peerIds });
  const effectsOfType = <T extends ConfigSyncEffect["type"]>(
    effects: ConfigSyncEffect[],
    type: T,
  ) => effects.filter((effect): effect is EffectOf<T> => effect.type === type);
  /**
   * Answers the store reads in `effects` and the further reads that these
   * answers cause. Returns all effects.
   */
  const serveReads = (
    nowMs: number,
    effects: ConfigSyncEffect[],
    objects: Map<string, unknown>,
  ): ConfigSyncEffect[] => {
    const allEffects = [...effects];
    for (const effect of allEffects) {
      if (effect.type === "read_objects") {
        const found = effect.keys.filter((key) => objects.has(key)).map((key) =>
          [key, versioned(objects.get(key))] as const
        );
        const { requestId } = effect;
        allEffects.push(...at(nowMs, {
          type: "objects_read",
          requestId,
          objects: new Map(found),
        }));
      }
    }
    return allEffects;
  };
  const startAt = (version: number) => {
    const effects = at(0, { type: "started", seedPeerIds: [] });
    serveReads(0, effects, storeObjects(version));
    expect(versionInForce(state)).toBe(version);
  };

  beforeEach(() => create());

  describe("during startup", () => {
    it("reads the accepted version from the store", () => {
      const effects = serveReads(
        0,
        at(0, { type: "started", seedPeerIds: [] }),
        storeObjects(3),
      );
      expect(effectsOfType(effects, "apply")).toMatchObject([
        { version: 3, bundle: contentOf(3).bundle },
      ]);
      expect(hasVersionInForce(state)).toBe(true);
    });

    it("does not serve while the store fails and no peer names a version", () => {
      const started = at(0, { type: "started", seedPeerIds: ["p1", "p2"] });
      expect(
        effectsOfType(started, "send").map((effect) => effect.peerId).sort(),
      )
        .toEqual(["p1", "p2"]);
      const [read] = effectsOfType(started, "read_objects");
      at(1, { type: "read_failed", requestId: read!.requestId });
      const emptyState = { type: "config_state", configVersion: 0 } as const;
      receive(2, "p1", emptyState);
      receive(2, "p2", emptyState);
      tick(900);
      expect(hasVersionInForce(state)).toBe(false);
    });

    it("uses the highest version of the answers, not the first", () => {
      at(0, { type: "started", seedPeerIds: ["p1", "p2", "p3"] });
      receive(1, "p1", { type: "config_state", configVersion: 4 });
      const effects = receive(2, "p2", {
        type: "config_state",
        configVersion: 5,
      });
      expect(effectsOfType(effects, "send")).toEqual([]);
      const [query] = effectsOfType(tick(600), "send");
      expect(query).toMatchObject({
        peerId: "p2",
        message: { type: "config_query", wantContent: true },
      });
      receive(601, "p2", stateMessage(5));
      expect(versionInForce(state)).toBe(5);
    });

    it("queries again while no peer answers", () => {
      at(0, { type: "started", seedPeerIds: ["p1"] });
      expect(effectsOfType(tick(500), "send")).toHaveLength(0);
      expect(effectsOfType(tick(1000), "send")).toHaveLength(1);
    });
  });

  describe("with a newer version", () => {
    beforeEach(() => startAt(1));

    it("fetches only changed sections from the peer that advertised it", () => {
      const [query] = effectsOfType(
        at(10, {
          type: "peer_version_observed",
          peerId: "p1",
          configVersion: 2,
        }),
        "send",
      );
      expect(query).toMatchObject({ peerId: "p1" });
      const heldPrefixes =
        (query!.message as Message & { type: "config_query" })
          .haveSections;
      expect(heldPrefixes).toHaveLength(
        Object.keys(contentOf(1).sections).length,
      );

      const responder = createConfigSyncState(state.options);
      const requester = state;
      state = responder;
      startAt(2);
      const [answer] = effectsOfType(
        receive(
          11,
          "self",
          query!.message as Message & {
            type: "config_query";
          },
        ),
        "send",
      );
      state = requester;
      const message = answer!.message as Message & { type: "config_state" };
      expect(Object.keys(message.sections!)).toHaveLength(1);
      expect(effectsOfType(receive(12, "p1", message), "apply"))
        .toMatchObject([{ version: 2, bundle: contentOf(2).bundle }]);
    });

    // Parsing all accounts for each change would block the event loop.
    it("parses only changed sections", () => {
      const accountsAfter = (version: number) => {
        const message = stateMessage(version);
        const [apply] = effectsOfType(receive(10, "p1", message), "apply");
        expect(apply!.bundle).toEqual(contentOf(version).bundle);
        const { accounts } = apply!.bundle;
        return new Map(accounts.map((account) => [account.name, account]));
      };
      const before = accountsAfter(2);
      const after = accountsAfter(3);
      expect(after.get("grants")).toBe(before.get("grants"));
      expect(after.get("wiki")).not.toBe(before.get("wiki"));
    });

    it("queries another peer, then the store, if the first does not answer", () => {
      tick(0, ["p1", "p2"]);
      at(10, { type: "peer_version_observed", peerId: "p1", configVersion: 2 });
      const effectsAfterTimeout = tick(1010, ["p1", "p2"]);
      expect(
        effectsOfType(effectsAfterTimeout, "send").filter((effect) =>
          effect.message.type === "config_query" && effect.message.wantContent
        ),
      ).toMatchObject([{ peerId: "p2" }]);
      const reads = tick(2010, ["p1", "p2"]);
      serveReads(2011, reads, storeObjects(2));
      expect(versionInForce(state)).toBe(2);
    });

    it("announces the new version to four peers", () => {
      tick(0, ["p1", "p2", "p3", "p4", "p5", "p6"]);
      const effects = receive(10, "p1", stateMessage(2));
      const announcements = effectsOfType(effects, "send");
      expect(announcements).toHaveLength(4);
      expect(announcements[0]!.message)
        .toEqual({ type: "config_state", configVersion: 2 });
    });

    it("rejects a section that does not match its digest", () => {
      const message = stateMessage(2);
      const changed = Object.keys(message.sections!).find((name) =>
        !(name in contentOf(1).sections)
      )!;
      message.sections![changed] = "[]";
      const effects = receive(10, "p1", message);
      expect(effects).toContainEqual({
        type: "count",
        counter: "digest_mismatch",
        amount: 1,
      });
      expect(versionInForce(state)).toBe(1);
    });

    it("keeps its version when a newer one cannot be parsed", () => {
      const content = "[{}]";
      const unreadable = {
        type: "config_state" as const,
        configVersion: 2,
        manifest: { pools: testDigest(content) },
        sections: { [testDigest(content)]: content },
      };
      const effects = receive(10, "p1", unreadable);
      expect(effectsOfType(effects, "log").map((effect) => effect.level))
        .toEqual(["error"]);
      expect(effectsOfType(effects, "apply")).toEqual([]);
      expect(versionInForce(state)).toBe(1);
      // An unreadable version is not parsed again when another peer sends it.
      expect(effectsOfType(receive(11, "p2", unreadable), "log")).toEqual([]);
      receive(20, "p1", stateMessage(3));
      expect(versionInForce(state)).toBe(3);
    });

    it("never applies an older version that arrives late or after a pause", () => {
      receive(10, "p1", stateMessage(5));
      receive(20, "p2", stateMessage(4));
      at(1e7, {
        type: "peer_version_observed",
        peerId: "p2",
        configVersion: 4,
      });
      receive(1e7, "p2", stateMessage(4));
      expect(versionInForce(state)).toBe(5);
      expect(highestKnownVersion(state)).toBe(5);
    });

    it("rejects a manifest that differs from the accepted digest", () => {
      at(10, { type: "election_changed", elected: true });
      const effects = at(11, {
        type: "watch_returned",
        watchId: state.watch.activeId!,
        object: { version: 2, value: { version: 2, digest: "other" } },
      });
      const effectsAfterReads = serveReads(12, effects, storeObjects(2));
      expect(effectsOfType(effectsAfterReads, "apply")).toEqual([]);
      receive(13, "p1", stateMessage(2));
      expect(versionInForce(state)).toBe(1);
    });
  });

  describe("with the store", () => {
    it("watches only while elected", () => {
      startAt(1);
      expect(effectsOfType(tick(100), "start_watch")).toEqual([]);
      const [watch] = effectsOfType(
        at(200, { type: "election_changed", elected: true }),
        "start_watch",
      );
      expect(watch).toMatchObject({ key: ACTIVE_KEY, afterVersion: 1 });
      expect(at(300, { type: "election_changed", elected: false }))
        .toContainEqual({ type: "stop_watch", watchId: watch!.watchId });
      at(400, {
        type: "watch_returned",
        watchId: watch!.watchId,
        object: { version: 2, value: { version: 2, digest: "" } },
      });
      expect(highestKnownVersion(state)).toBe(1);
    });

    it("always watches if so configured, except in a sidecar", () => {
      create({ watchMode: "always" });
      const started = at(0, { type: "started", seedPeerIds: [] });
      expect(effectsOfType(started, "start_watch")).toHaveLength(1);
      create({ watchMode: "always", role: "sidecar" });
      const sidecar = at(0, { type: "started", seedPeerIds: [] });
      expect(effectsOfType(sidecar, "start_watch")).toHaveLength(0);
    });

    it("cancels a watch that never returns", () => {
      create({ watchMode: "always" });
      const started = at(0, { type: "started", seedPeerIds: [] });
      const { watchId } = effectsOfType(started, "start_watch")[0]!;
      expect(tick(4900)).not.toContainEqual({ type: "stop_watch", watchId });
      expect(tick(5000)).toContainEqual({ type: "stop_watch", watchId });
    });

    it("restarts a failed watch after a growing delay", () => {
      create({ watchMode: "always" });
      at(0, { type: "started", seedPeerIds: [] });
      const delays: number[] = [];
      for (let nowMs = 0, since = 0; delays.length < 3; nowMs += 50) {
        if (nowMs === since) {
          at(nowMs, { type: "watch_failed", watchId: state.watch.activeId! });
        } else if (effectsOfType(tick(nowMs), "start_watch").length > 0) {
          delays.push(nowMs - since);
          since = nowMs + 50;
        }
      }
      expect(delays[0]).toBeGreaterThanOrEqual(500);
      expect(delays[1]).toBeGreaterThan(delays[0]!);
      expect(delays[2]).toBeGreaterThan(delays[1]!);
    });

    it("reads the pointer after 5 s without a known check of the store", () => {
      startAt(1);
      const query = {
        type: "config_query",
        configVersion: 1,
        haveSections: [] as string[],
        wantContent: false,
      } as const;
      receive(3500, "p1", { ...query, checkedMsAgo: 500 });
      expect(effectsOfType(tick(7900), "read_objects")).toEqual([]);
      // The store check that this peer reports is not more recent than the one
      // already known, so the next read stays on schedule.
      receive(10_000, "p1", { ...query, checkedMsAgo: 7000 });
      at(10_000, {
        type: "peer_version_observed",
        peerId: "s1",
        configVersion: 1,
      });
      expect(effectsOfType(tick(10_100), "read_objects"))
        .toMatchObject([{ keys: [ACTIVE_KEY] }]);
    });

    it("compares versions with two random peers each second", () => {
      startAt(1);
      const peers = ["p1", "p2", "p3", "p4"];
      expect(effectsOfType(tick(0, peers), "send")).toHaveLength(2);
      expect(effectsOfType(tick(500, peers), "send")).toHaveLength(0);
      expect(effectsOfType(tick(1000, peers), "send")).toHaveLength(2);
    });

    it("discards the answer to a read that has timed out", () => {
      const [read] = effectsOfType(
        at(0, { type: "started", seedPeerIds: [] }),
        "read_objects",
      );
      tick(3000);
      at(3001, {
        type: "objects_read",
        requestId: read!.requestId,
        objects: new Map([[ACTIVE_KEY, {
          version: 1,
          value: { version: 1, digest: "" },
        }]]),
      });
      expect(highestKnownVersion(state)).toBe(0);
    });
  });
});
