import * as fc from "fast-check";
import { describe, expect, it } from "vitest";
import type { EndpointState } from "../wire/messages.js";
import {
  createMembershipState,
  type InstanceRow,
  type MembershipEffect,
  type MembershipEvent,
  type MembershipState,
  reduceMembership,
  usableEndpoints,
} from "./index.js";

const SEED = 20_261_203;
const ROUTER_IDS = ["r0", "r1", "r2"];
const ENDPOINT_IDS = ["e0", "e1", "e2", "e3"];

type EventInput = MembershipEvent extends infer E
  ? E extends MembershipEvent ? Omit<E, "nowMs"> : never
  : never;

/**
 * Incarnations that instances reported to a router, by instance id. The test
 * records them independently of the code under test.
 */
interface ReceivedReports {
  readonly incarnations: Map<string, number>;
  /** Incarnations that reported that they are draining. */
  readonly draining: Map<string, number>;
}

interface Router {
  readonly id: string;
  state: MembershipState;
  received: ReceivedReports;
}

function rowOf(id: string, state: InstanceRow["state"]): InstanceRow {
  return {
    instanceId: id,
    role: id.startsWith("r") ? "router" : "endpoint",
    pool: id.startsWith("r") ? "" : "chat",
    address: "127.0.0.1:7000",
    failureDomain: `domain-${id.slice(1)}`,
    state,
  };
}

/** Simulates routers, the history of the instance list and frames in flight. */
class SimulatedFleet {
  readonly history: InstanceRow[][] = [
    [...ROUTER_IDS, ...ENDPOINT_IDS].map((id) => rowOf(id, "live")),
  ];
  readonly incarnations = new Map(ENDPOINT_IDS.map((id) => [id, 1]));
  readonly deliveries: { router: number; input: EventInput }[] = [];
  readonly routers: Router[];
  nowMs = 0;

  constructor(readonly seed: number) {
    this.routers = ROUTER_IDS.map((id) => this.#newRouter(id));
  }

  changeList(index: number): void {
    const rows = this.history[this.history.length - 1]!;
    const id = ENDPOINT_IDS[index % ENDPOINT_IDS.length]!;
    const otherRows = rows.filter((row) => row.instanceId !== id);
    const currentRow = rows.find((row) => row.instanceId === id);
    const nextRows = currentRow === undefined
      ? [...otherRows, rowOf(id, "live")]
      : currentRow.state === "live"
      ? [...otherRows, rowOf(id, "leaving")]
      : otherRows;
    this.history.push(nextRows);
  }

  poll(router: number, versionsBack: number): void {
    const listVersion = Math.max(0, this.history.length - 1 - versionsBack);
    const instances = this.history[listVersion]!;
    const input = { type: "list_received", listVersion, instances } as const;
    this.deliveries.push({ router, input });
  }

  /**
   * Queues a report of an endpoint's state for separate delivery to each
   * router.
   */
  announce(index: number, state: EndpointState): void {
    const instanceId = ENDPOINT_IDS[index % ENDPOINT_IDS.length]!;
    const incarnation = this.incarnations.get(instanceId)!;
    this.routers.forEach((_, router) => {
      const status = { incarnation, state };
      const input = { type: "answered", instanceId, status } as const;
      this.deliveries.push({ router, input });
    });
  }

  restartEndpoint(index: number): void {
    const id = ENDPOINT_IDS[index % ENDPOINT_IDS.length]!;
    this.incarnations.set(id, this.incarnations.get(id)! + 1);
    this.announce(index, "active");
  }

  restartRouter(index: number): void {
    const { id } = this.routers[index]!;
    this.routers[index] = this.#newRouter(id);
  }

  failConnection(router: number, index: number): void {
    const instanceId = ENDPOINT_IDS[index % ENDPOINT_IDS.length]!;
    this.handle(router, { type: "connect_failed", instanceId });
  }

  deliver(index: number, keepDelivery: boolean): void {
    const delivery =
      this.deliveries[index % Math.max(1, this.deliveries.length)];
    if (delivery === undefined) {
      return;
    }
    if (!keepDelivery) {
      this.deliveries.splice(this.deliveries.indexOf(delivery), 1);
    }
    this.handle(delivery.router, delivery.input);
  }

  handle(index: number, input: EventInput): void {
    const router = this.routers[index]!;
    const previousListVersion = router.state.listVersion;
    const event = { ...input, nowMs: this.nowMs } as MembershipEvent;
    const effects = reduceMembership(router.state, event);
    expect(router.state.listVersion).toBeGreaterThanOrEqual(
      previousListVersion,
    );
    this.#recordReceived(router, event);
    this.#send(router, effects);
    this.#checkRows(router);
    this.#checkOfferedEndpoints(router);
  }

  /** Lets every router query all others often enough to converge. */
  settle(): void {
    this.deliveries.length = 0;
    for (let round = 0; round < 4; round++) {
      this.nowMs += 1000;
      this.routers.forEach((from) =>
        this.routers.forEach((_, to) => this.#query(from, to))
      );
      for (let n = 0; n < 200 && this.deliveries.length > 0; n++) {
        this.deliver(0, false);
      }
    }
  }

  #newRouter(id: string): Router {
    const failureDomain = `domain-${id.slice(1)}`;
    const state = createMembershipState({
      nodeId: id,
      role: "router",
      failureDomain,
      seed: this.seed,
    });
    return {
      id,
      state,
      received: { incarnations: new Map(), draining: new Map() },
    };
  }

  #query(from: Router, to: number): void {
    const message = {
      type: "config_query" as const,
      configVersion: 0,
      haveSections: [],
      wantContent: false,
      listVersion: from.state.listVersion,
    };
    const peerId = from.id;
    const input = { type: "message_received", peerId, message } as const;
    this.deliveries.push({ router: to, input });
  }

  #send(from: Router, effects: readonly MembershipEffect[]): void {
    for (const effect of effects) {
      if (effect.type === "send") {
        const router = ROUTER_IDS.indexOf(effect.peerId);
        const message = structuredClone(effect.message);
        const input = { type: "message_received", peerId: from.id, message };
        this.deliveries.push({ router, input: input as EventInput });
      }
    }
  }

  #recordReceived(
    { state, received }: Router,
    event: MembershipEvent,
  ): void {
    if (event.type !== "answered" || !state.instances.has(event.instanceId)) {
      return;
    }
    const { instanceId: id } = event;
    const { incarnation, state: reported } = event.status!;
    if (incarnation >= (received.incarnations.get(id) ?? 0)) {
      received.incarnations.set(id, incarnation);
      if (reported === "draining") {
        received.draining.set(id, incarnation);
      }
    }
  }

  /** Checks the rows of a router against the list of the same version. */
  #checkRows({ state }: Router): void {
    if (state.listVersion < 0) {
      return;
    }
    const listedRows = [...state.instances.values()].filter((item) =>
      item.listed
    )
      .map((item) => item.row);
    const byId = (a: InstanceRow, b: InstanceRow) =>
      a.instanceId < b.instanceId ? -1 : 1;
    expect(listedRows.sort(byId))
      .toEqual([...this.history[state.listVersion]!].sort(byId));
  }

  #checkOfferedEndpoints({ state, received }: Router): void {
    const rows = this.history[state.listVersion] ?? [];
    const leavingIds = rows.filter((row) => row.state === "leaving")
      .map((row) => row.instanceId);
    for (const [id, incarnation] of received.draining) {
      if (received.incarnations.get(id) === incarnation) {
        leavingIds.push(id);
      }
    }
    const offeredIds = usableEndpoints(state, "chat", this.nowMs)
      .map((view) => view.endpointId);
    expect(offeredIds.filter((id) => leavingIds.includes(id))).toEqual([]);
  }
}

const operations =
  "deliver deliver deliver deliver deliver repeat drop change poll " +
  "poll drain answer restart_endpoint restart_router fail wait";
const step = fc.record({
  op: fc.constantFrom(...operations.split(" ")),
  index: fc.nat({ max: 30 }),
  router: fc.nat({ max: 2 }),
});

function applyStep(
  fleet: SimulatedFleet,
  action: { op: string; index: number; router: number },
): void {
  const { op, index, router } = action;
  switch (op) {
    case "deliver":
      return fleet.deliver(index, false);
    case "repeat":
      return fleet.deliver(index, true);
    case "drop":
      return void fleet.deliveries.splice(index, 1);
    case "change":
      return fleet.changeList(index);
    case "poll":
      return fleet.poll(router, index % 4);
    case "drain":
      return fleet.announce(index, "draining");
    case "answer":
      return fleet.announce(index, "active");
    case "restart_endpoint":
      return fleet.restartEndpoint(index);
    case "restart_router":
      return fleet.restartRouter(router);
    case "fail":
      return fleet.failConnection(router, index);
    case "wait":
      fleet.nowMs += 100 * 4 ** (index % 6);
      return fleet.handle(router, { type: "tick" });
  }
}

describe("reduceMembership in a fleet", () => {
  // After each event, `handle` also checks that the list version has not
  // fallen, that the rows match that version and that no leaving endpoint is
  // offered.
  it("never offers a leaving endpoint and converges on the newest list", () => {
    const property = fc.property(
      fc.nat({ max: 1000 }),
      fc.array(step, { minLength: 20, maxLength: 150, size: "max" }),
      (seed, steps) => {
        const fleet = new SimulatedFleet(seed);
        steps.forEach((item) => applyStep(fleet, item));
        const versions = () =>
          fleet.routers.map(({ state }) => state.listVersion);
        const newest = Math.max(...versions());
        fleet.settle();
        expect(versions()).toEqual([newest, newest, newest]);
      },
    );
    fc.assert(property, { seed: SEED, numRuns: 500, endOnFailure: true });
  });
});
