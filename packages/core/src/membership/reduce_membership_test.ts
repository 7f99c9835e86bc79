import { beforeEach, describe, expect, it } from "vitest";
import type { EndpointState } from "../wire/messages.js";
import {
  createMembershipState,
  endpointPenaltyMs,
  type InstanceRow,
  liveRouters,
  type MembershipEffect,
  type MembershipEvent,
  type MembershipState,
  reduceMembership,
  unusableReason,
  usableEndpoints,
  watchersOf,
} from "./index.js";

type EventInput = MembershipEvent extends infer E
  ? E extends MembershipEvent ? Omit<E, "nowMs"> : never
  : never;

function row(id: string, change: Partial<InstanceRow> = {}): InstanceRow {
  return {
    instanceId: id,
    role: id.startsWith("r") ? "router" : "endpoint",
    pool: id.startsWith("r") ? "" : "chat",
    address: "127.0.0.1:7000",
    failureDomain: "a",
    state: "live",
    ...change,
  };
}

describe("reduceMembership", () => {
  let state: MembershipState;
  const endpoints = ["e1", "e2", "e3", "e4"].map((id) => row(id));

  beforeEach(() => {
    state = createMembershipState({
      nodeId: "r1",
      role: "router",
      failureDomain: "a",
      seed: 1,
    });
  });

  const at = (nowMs: number, input: EventInput): MembershipEffect[] =>
    reduceMembership(state, { ...input, nowMs });
  const list = (nowMs: number, listVersion: number, instances: InstanceRow[]) =>
    at(nowMs, { type: "list_received", listVersion, instances });
  const answer = (
    nowMs: number,
    instanceId: string,
    incarnation = 1,
    reported: EndpointState = "active",
  ) =>
    at(nowMs, {
      type: "answered",
      instanceId,
      status: { incarnation, state: reported },
    });
  const fail = (nowMs: number, instanceId: string) =>
    at(nowMs, { type: "connect_failed", instanceId });
  const query = (nowMs: number, listVersion: number) =>
    at(nowMs, {
      type: "message_received",
      peerId: "r2",
      message: {
        type: "config_query",
        configVersion: 0,
        haveSections: [],
        wantContent: false,
        listVersion,
      },
    });
  const usable = (nowMs: number) =>
    usableEndpoints(state, "chat", nowMs).map((view) => view.endpointId);

  describe("with the instance list", () => {
    it("ignores a list that is older than the one applied", () => {
      list(0, 7, endpoints.slice(0, 2));
      list(1, 6, endpoints);
      expect(usable(1)).toEqual(["e1", "e2"]);
    });

    it("uses an unlisted endpoint only while it answers", () => {
      list(0, 1, endpoints);
      answer(1000, "e1");
      list(1001, 2, []);
      expect(usable(2000)).toEqual(["e1"]);
      expect(unusableReason(state, "e1", 11_001)).toBe("unlisted");
    });

    it("relays only changes, but the complete list to a peer without one", () => {
      list(0, 1, [row("r1"), row("r2"), ...endpoints]);
      const sent = list(1, 2, [row("r1"), row("r2"), ...endpoints.slice(1)])
        .find((effect) => effect.type === "send");
      expect(sent).toMatchObject({
        peerId: "r2",
        message: { baseVersion: 1, instances: [], removedIds: ["e1"] },
      });
      const reply = query(2, -1).find((effect) => effect.type === "send");
      expect(reply?.message.instances).toHaveLength(5);
    });

    it("does not apply changes to a list version that it does not have", () => {
      list(0, 1, endpoints);
      at(1, {
        type: "message_received",
        peerId: "r2",
        message: {
          type: "instances",
          listVersion: 4,
          baseVersion: 3,
          instances: [],
          removedIds: ["e1"],
        },
      });
      expect(state.listVersion).toBe(1);
      expect(usable(1)).toContain("e1");
    });
  });

  describe("with leaving endpoints", () => {
    it("stops offering an endpoint on its draining frame", () => {
      list(0, 1, endpoints);
      answer(1, "e1", 1, "draining");
      list(2, 2, endpoints);
      answer(3, "e1", 1, "active");
      expect(usable(3)).not.toContain("e1");
    });

    it("does not offer a drained endpoint that an outdated list names again", () => {
      list(0, 1, endpoints);
      answer(1, "e1", 1, "draining");
      list(2, 2, endpoints.slice(1));
      list(60_000, 3, endpoints);
      expect(usable(120_000)).not.toContain("e1");
    });

    it("offers a drained endpoint once a later incarnation is active", () => {
      list(0, 1, endpoints);
      answer(1, "e1", 1, "draining");
      answer(2, "e1", 2);
      expect(usable(2)).toContain("e1");
      answer(3, "e1", 1, "draining");
      expect(usable(3)).toContain("e1");
    });

    it("never offers a leaving endpoint, even if all others fail", () => {
      list(0, 1, [row("e1", { state: "leaving" }), row("e2")]);
      answer(1, "e1");
      fail(2, "e2");
      expect(usable(3)).toEqual(["e2"]);
    });
  });

  describe("with failures", () => {
    beforeEach(() => {
      list(0, 1, endpoints);
    });

    it("doubles suspicion to 10 s and halves it with each success", () => {
      const delays: number[] = [];
      let nowMs = 0;
      for (let i = 0; i < 6; i++) {
        fail(nowMs, "e1");
        delays.push(endpointPenaltyMs(state, "e1"));
        expect(usable(nowMs + delays[i]! - 1)).not.toContain("e1");
        nowMs += delays[i]!;
        expect(usable(nowMs)).toContain("e1");
      }
      expect(delays).toEqual([500, 1000, 2000, 4000, 8000, 10_000]);
      answer(nowMs, "e1");
      expect(endpointPenaltyMs(state, "e1")).toBe(5000);
      for (let i = 0; i < 4; i++) {
        answer(nowMs, "e1");
      }
      expect(endpointPenaltyMs(state, "e1")).toBe(0);
    });

    it("offers suspected endpoints when the pool has no others", () => {
      list(1, 2, [row("e1")]);
      fail(2, "e1");
      expect(usable(3)).toEqual(["e1"]);
    });

    it("uses an unstable endpoint again only after 5 s without a change", () => {
      fail(1000, "e1");
      answer(2000, "e1");
      expect(usable(2000)).toContain("e1");
      answer(3000, "e1", 2);
      expect(usable(7999)).not.toContain("e1");
      expect(usable(8000)).toContain("e1");
      answer(62_500, "e1", 3);
      expect(usable(62_500)).toContain("e1");
    });

    it("suspects a domain if more than half of it fails within 2 s", () => {
      fail(0, "e1");
      fail(2000, "e2");
      fail(2100, "e3");
      expect(usable(2100)).toContain("e4");
      fail(2200, "e1");
      expect(unusableReason(state, "e4", 2200)).toBe("domain_suspected");
      const probes = (nowMs: number) =>
        at(nowMs, { type: "tick" })
          .filter((effect) => effect.type === "probe_instance").length;
      expect([2300, 3200, 3700, 4200].map(probes)).toEqual([0, 1, 0, 1]);
      answer(4300, "e4");
      expect(usable(4300)).toContain("e4");
    });

    it("offers endpoints of suspected domains when the pool has no others", () => {
      // Otherwise, a router whose connections all stall at once would refuse
      // every request until a probe is answered.
      for (const id of ["e1", "e2", "e3", "e4"]) {
        fail(2000, id);
      }
      expect(unusableReason(state, "e1", 2100)).toBe("domain_suspected");
      expect(usable(2100)).toHaveLength(4);
    });

    it("probes an endpoint that is not ready until it is active", () => {
      answer(1, "e1", 1, "starting");
      expect(usable(1)).not.toContain("e1");
      expect(at(2, { type: "tick" }))
        .toContainEqual({ type: "probe_instance", instanceId: "e1" });
      answer(3, "e1");
      expect(usable(3)).toContain("e1");
    });
  });

  describe("with the election of watchers", () => {
    const routers = ["r1", "r2", "r3"].map((id) => row(id));

    it("elects two live routers and replaces one that fails", () => {
      list(0, 1, [...routers, row("r4", { failureDomain: "b" })]);
      const elected = watchersOf(state, "a", 0);
      expect(elected).toHaveLength(2);
      const otherWatcher = elected.find((id) => id !== "r1")!;
      fail(1, otherWatcher);
      expect(watchersOf(state, "a", 1)).toContain("r1");
      expect(watchersOf(state, "a", 1)).not.toContain(otherWatcher);
      expect(liveRouters(state, 1)).toHaveLength(3);
    });

    it("keeps polling while the list names no watcher of its domain", () => {
      // Routers with the same empty list must not postpone each other's polls.
      at(0, { type: "tick" });
      list(100, 1, []);
      query(900, 1);
      expect(at(1700, { type: "tick" })).toContainEqual({ type: "poll_list" });
    });

    it("polls each second when elected, otherwise only when stale", () => {
      const polls = (nowMs: number) =>
        at(nowMs, { type: "tick" })
          .filter((effect) => effect.type === "poll_list").length;
      expect(polls(0)).toBe(1);
      expect(list(1, 1, [row("r1")]))
        .toContainEqual({ type: "election_changed", elected: true });
      expect(polls(1000)).toBe(0);
      expect(polls(1001)).toBe(1);
      list(1002, 2, [row("r1", { state: "leaving" }), row("r2"), row("r3")]);
      const receiveQuery = (nowMs: number) =>
        query(nowMs, 2).filter((effect) => effect.type === "poll_list");
      expect([2100, 6000].map(polls)).toEqual([0, 0]);
      expect(polls(10_000)).toBe(1);
      at(10_000, { type: "list_not_modified" });
      for (let nowMs = 11_000; nowMs < 70_000; nowMs += 1000) {
        expect(receiveQuery(nowMs)).toEqual([]);
      }
      // Peers that agree on a version may all have missed a change.
      receiveQuery(75_000);
      expect(polls(80_000)).toBe(1);
    });
  });
});
