import { beforeEach, describe, expect, it } from "vitest";
import type { Millis } from "../clock.js";
import type { DirectEffect, DirectEvent } from "./direct_event.js";
import type { DirectState } from "./direct_state.js";
import {
  ACCEPTED_HEAD,
  configReceived,
  endpointsListed,
  poolCall,
  poolConfig,
  poolEndpoint,
  poolState,
  refusalOf,
  startedEndpointId,
} from "./pool_fixture.js";
import { reduceDirect } from "./reduce_direct.js";

/** Time after which a process knows by itself which versions served of late. */
const RETENTION_MS: Millis = 60_000;

const V1 = { service: "pool", softwareVersion: "v1" };

describe("a stream that a caller takes up", () => {
  let state: DirectState;

  beforeEach(() => {
    state = poolState();
    reduceDirect(
      state,
      configReceived(poolConfig({ resumable: true, maxAttempts: 2 })),
    );
  });

  function setVersions(nowMs: Millis, ...versions: string[]): DirectEffect[] {
    const records = versions.map((softwareVersion, i) =>
      poolEndpoint(`e${i}`, { softwareVersion })
    );
    return reduceDirect(state, endpointsListed(nowMs, records));
  }

  function takeUp(nowMs: Millis, key = 1): DirectEffect[] {
    return reduceDirect(state, {
      type: "call_received",
      nowMs,
      key,
      call: poolCall({
        callId: "again",
        lastEventId: "4",
        continuedCallId: "first",
      }),
    });
  }

  function answerOfPeers(
    nowMs: Millis,
    isFleetConnected = true,
  ): DirectEffect[] {
    return reduceDirect(state, {
      type: "stream_origin_answered",
      nowMs,
      key: 1,
      origin: undefined,
      isFleetConnected,
    });
  }

  /** The directory answers which versions serve, or not at all. */
  function answerOfDirectory(
    nowMs: Millis,
    ...versions: string[]
  ): DirectEffect[] {
    return reduceDirect(state, {
      type: "versions_checked",
      nowMs,
      key: 1,
      ...(versions.length > 0
        ? { services: [{ service: "pool", versions }] }
        : {}),
    });
  }

  function passTime(nowMs: Millis): DirectEffect[] {
    return reduceDirect(state, {
      type: "timer_fired",
      nowMs,
      key: 1,
      timer: "attempt",
    });
  }

  function read(
    nowMs: Millis,
    records: Extract<DirectEvent, { type: "stream_records_read" }>["records"],
  ): DirectEffect[] {
    return reduceDirect(state, {
      type: "stream_records_read",
      nowMs,
      ...(records ? { records } : {}),
    });
  }

  const types = (effects: readonly DirectEffect[]) =>
    effects.map(({ type }) => type);

  const reasonOf = (effects: readonly DirectEffect[]) =>
    refusalOf(effects)?.reason;

  describe("at a process that has just started", () => {
    // Guards against a wait for routers that know as little.
    it("waits for the routers and the store at once", () => {
      setVersions(0, "v1", "v2");
      const effects = types(takeUp(100));
      expect(effects).toContain("find_stream_origin");
      expect(effects).toContain("read_stream_records");
    });

    // Guards against a sound stream that is refused.
    it("goes on at the version that the store names", () => {
      setVersions(0, "v2", "v1");
      takeUp(100);
      const effects = read(110, {
        versions: [],
        streams: [{ callId: "first", origin: V1 }],
      });
      expect(startedEndpointId(effects)).toBe("e1");
    });

    // Guards against a stream of a version that left with the routers.
    it("is refused if another version served of late", () => {
      setVersions(0, "v2");
      takeUp(100);
      expect(answerOfPeers(105)).toEqual([]);
      const effects = read(110, {
        versions: [{ service: "pool", versions: ["v1"] }],
        streams: [],
      });
      expect(reasonOf(effects)).toBe("stream_version_unknown");
    });

    // Guards against a guess.
    it("is refused if the store cannot be read", () => {
      setVersions(0, "v2");
      takeUp(100);
      answerOfPeers(105);
      expect(reasonOf(read(110, undefined))).toBe("stream_version_unknown");
    });

    // Guards against sound streams that are refused for want of records.
    it("goes on if the store names no other version", () => {
      setVersions(0, "v1");
      takeUp(100);
      read(110, {
        versions: [{ service: "pool", versions: ["v1"] }],
        streams: [],
      });
      expect(startedEndpointId(answerOfPeers(120))).toBe("e0");
    });

    // Guards against calls that wait for an answer that never comes.
    it("does not wait longer than a read of the records may take", () => {
      setVersions(0, "v1");
      takeUp(100);
      expect(passTime(500)).toContainEqual(
        expect.objectContaining({ type: "set_timer", delayMs: 1100 }),
      );
      expect(reasonOf(passTime(1600))).toBe("stream_version_unknown");
    });

    // Guards against streams that are refused while their records are being read.
    it("waits for records whose read takes long", () => {
      setVersions(0, "v1", "v2");
      takeUp(100);
      expect(reasonOf(passTime(500))).toBeUndefined();
      const effects = read(1000, {
        versions: [],
        streams: [{ callId: "first", origin: V1 }],
      });
      expect(startedEndpointId(effects)).toBe("e0");
    });

    // Guards against refusals whose cause no log tells.
    it.each<[string, () => DirectEffect[]]>([
      ["records_awaited", () => [...passTime(500), ...passTime(1600)]],
      ["records_failed", () => [...read(110, undefined), ...passTime(500)]],
      ["no_record", () => [
        ...read(110, { versions: [], streams: [] }),
        ...answerOfPeers(120),
      ]],
      ["uncertain", () =>
        read(110, {
          versions: [],
          streams: [{ callId: "first", origin: { ...V1, isUncertain: true } }],
        })],
    ])("is refused with the cause %s in the log", (cause, end) => {
      setVersions(0, "v1", "v2");
      takeUp(100);
      answerOfPeers(105);
      expect(end()).toContainEqual(expect.objectContaining({
        event: "stream_origin_unknown",
        fields: expect.objectContaining({ cause, continues: "first" }),
      }));
    });
  });

  describe("at a process that has run for long", () => {
    // Guards against calls to the store that tell nothing new.
    it("goes on at the only version without a call to the store", () => {
      setVersions(0, "v1");
      expect(types(takeUp(RETENTION_MS))).not.toContain("read_stream_records");
      expect(startedEndpointId(answerOfPeers(RETENTION_MS + 5))).toBe("e0");
    });

    // Guards against streams that are refused though the store knows them.
    it("looks in the store if the other routers do not know it", () => {
      setVersions(0, "v1", "v2");
      expect(types(takeUp(RETENTION_MS))).not.toContain("read_stream_records");
      expect(types(answerOfPeers(RETENTION_MS + 5))).toEqual([
        "read_stream_records",
      ]);
      const effects = read(RETENTION_MS + 10, {
        versions: [],
        streams: [{ callId: "first", origin: V1 }],
      });
      expect(startedEndpointId(effects)).toBe("e0");
    });
  });

  describe("at a process that may be cut off from others", () => {
    beforeEach(() => {
      setVersions(0, "v1");
      takeUp(RETENTION_MS);
    });

    // Guards against a version that came while the router was cut off: its streams
    // went on at the only version that the router knew of.
    it("waits until the directory tells which versions serve", () => {
      expect(types(answerOfPeers(RETENTION_MS + 5, false)))
        .toContain("check_versions");
      expect(startedEndpointId(answerOfDirectory(RETENTION_MS + 10, "v1")))
        .toBe("e0");
    });

    it("asks the directory if the other routers are silent", () => {
      expect(types(passTime(RETENTION_MS + 400))).toContain("check_versions");
      expect(startedEndpointId(answerOfDirectory(RETENTION_MS + 410, "v1")))
        .toBe("e0");
    });

    it("is refused if the directory lists another version", () => {
      answerOfPeers(RETENTION_MS + 5, false);
      expect(types(answerOfDirectory(RETENTION_MS + 10, "v1", "v2")))
        .toContain("read_stream_records");
      const effects = read(RETENTION_MS + 20, { versions: [], streams: [] });
      expect(reasonOf(effects)).toBe("stream_version_unknown");
    });

    it("goes on at the version that another router tells late", () => {
      passTime(RETENTION_MS + 400);
      const effects = reduceDirect(state, {
        type: "stream_origin_answered",
        nowMs: RETENTION_MS + 410,
        key: 1,
        origin: V1,
        isFleetConnected: false,
      });
      expect(startedEndpointId(effects)).toBe("e0");
    });

    // Guards against a guess.
    it.each([
      ["does not answer", answerOfDirectory],
      ["is silent", passTime],
    ])("is refused as not run if the directory %s", (_what, end) => {
      passTime(RETENTION_MS + 400);
      expect(end(RETENTION_MS + 800)).toContainEqual(
        expect.objectContaining({
          type: "refuse",
          refusal: expect.objectContaining({
            reason: "stream_version_unknown",
            outcome: "not-run",
          }),
        }),
      );
    });
  });

  describe("after it began at this router", () => {
    function begin(nowMs: Millis): DirectEffect[] {
      const [attempt] = reduceDirect(state, {
        type: "call_received",
        nowMs,
        key: 7,
        call: poolCall({ callId: "first" }),
      }).filter((effect) => effect.type === "start_attempt");
      const fields = { nowMs, key: 7, attemptNumber: attempt!.attemptNumber };
      reduceDirect(state, {
        type: "attempt_head",
        ...fields,
        head: { ...ACCEPTED_HEAD, callId: "first" },
      });
      return reduceDirect(state, { type: "attempt_progress", ...fields });
    }

    const stored = (effects: readonly DirectEffect[]) =>
      effects.flatMap((effect) =>
        effect.type === "store_stream_records" ? effect.records : []
      );

    // Guards against writes to the store all day.
    it("is not stored while one version serves", () => {
      setVersions(0, "v1");
      expect(stored(begin(100))).toEqual([]);
    });

    // Guards against streams that are lost with all routers.
    it("is stored while several versions serve", () => {
      setVersions(0, "v1", "v2");
      expect(stored(begin(100)).map(({ callId }) => callId)).toEqual([
        "first",
      ]);
    });

    // Guards against streams that began before the second version came.
    it("is stored when a second version appears", () => {
      setVersions(0, "v1");
      begin(100);
      expect(stored(setVersions(200, "v1", "v2"))).toEqual([
        { callId: "first", origin: V1 },
      ]);
      expect(stored(setVersions(300, "v1", "v2"))).toEqual([]);
    });

    // Guards against streams that broke off before the second version was seen.
    it("is stored if it broke off just before", () => {
      setVersions(0, "v1");
      begin(100);
      reduceDirect(state, {
        type: "attempt_failed",
        nowMs: 150,
        key: 7,
        attemptNumber: 1,
        failure: { kind: "reset", sent: true },
        canResume: false,
      });
      expect(stored(setVersions(200, "v1", "v2"))).toEqual([
        { callId: "first", origin: V1 },
      ]);
    });
  });
});
