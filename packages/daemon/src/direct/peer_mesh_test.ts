import { setTimeout as sleep } from "node:timers/promises";
import type { Clock, MessageOf } from "@anvildeal/core";
import { reservePorts, TcpProxy } from "@anvildeal/stand-ins";
import { afterEach, describe, expect, it } from "vitest";
import { ManualClock } from "../manual_clock_fixture.js";
import { SystemClock } from "../system_clock.js";
import { PeerMesh } from "./peer_mesh.js";

const HOST = "127.0.0.1";

const STATE: MessageOf<"fleet_state"> = {
  type: "fleet_state",
  configVersion: 1,
  directoryRevision: 1,
  directoryEpoch: 1,
  inFlight: {},
  routers: [],
};

/** A router of the fleet under test. */
interface TestRouter {
  readonly mesh: PeerMesh;
  readonly nodeId: string;
  readonly address: string;
  readonly disconnected: string[];
  readonly received: string[];
}

describe("PeerMesh", () => {
  const routers: TestRouter[] = [];

  afterEach(() => {
    for (const { mesh } of routers.splice(0)) {
      mesh.dispose();
    }
  });

  /** @param address Where the others reach the router; its port if left out. */
  async function start(
    nodeId: string,
    clock: Clock = new SystemClock(),
    port?: number,
    address?: string,
  ): Promise<TestRouter> {
    port ??= (await reservePorts(HOST, 1))[0]!;
    address ??= `${HOST}:${port}`;
    const mesh = new PeerMesh({
      openingMessage: () => STATE,
      identity: {
        role: "router",
        nodeId,
        incarnation: 1,
        failureDomain: "a",
        fleetKey: "key",
      },
      address,
      clock,
    });
    await mesh.listen(HOST, port);
    const member = {
      mesh,
      nodeId,
      address,
      disconnected: [],
      received: [],
    } as TestRouter;
    mesh.onPeer(({ connected, nodeId: peer }) => {
      if (!connected) {
        member.disconnected.push(peer);
      }
    });
    mesh.onMessage(({ message, nodeId: from }) => {
      if (message.type === "fleet_state") {
        member.received.push(from);
        mesh.mergeRouters(message.routers);
      }
    });
    routers.push(member);
    return member;
  }

  function maintainAndBroadcast(): void {
    for (const { mesh } of routers) {
      mesh.maintain();
      mesh.broadcast({ ...STATE, routers: mesh.knownRouters() });
    }
  }

  it("discovers and connects all routers through one seed address", async () => {
    const seed = await start("b");
    for (const id of ["a", "c", "d"]) {
      (await start(id)).mesh.setSeeds([seed.address]);
    }
    for (let i = 0; i < 100 && routers.some(isNotFullyConnected); i++) {
      maintainAndBroadcast();
      await sleep(20);
    }
    expect(routers.filter(isNotFullyConnected)).toEqual([]);
    expect(routers.map(({ mesh }) => mesh.hasLowestNodeId))
      .toEqual([false, true, false, false]);
  });

  it("keeps two routers connected that dialled each other at the same time", async () => {
    const a = await start("a");
    const b = await start("b");
    a.mesh.setSeeds([b.address]);
    b.mesh.setSeeds([a.address]);
    // Longer than the time after which a stalled connection is closed.
    for (let i = 0; i < 60; i++) {
      maintainAndBroadcast();
      await sleep(50);
    }
    expect(a.disconnected).toEqual([]);
    expect(b.disconnected).toEqual([]);
    expect(a.received.length).toBeGreaterThan(10);
    expect(b.received.length).toBeGreaterThan(10);
  });

  describe("when connections fall silent without a reset", () => {
    const STEP_MS = 400;
    const clock = new ManualClock();
    const proxies: TcpProxy[] = [];

    afterEach(async () => {
      await Promise.all(proxies.splice(0).map((proxy) => proxy.dispose()));
    });

    async function startBehindProxy(nodeId: string): Promise<TestRouter> {
      const [port] = await reservePorts(HOST, 1);
      const proxy = new TcpProxy({ targetPort: port! });
      await proxy.start();
      proxies.push(proxy);
      return start(nodeId, clock, port!, `${HOST}:${proxy.port}`);
    }

    /** Lets the routers act in turn, so that one notices the silence first. */
    async function run(steps: number): Promise<void> {
      for (let i = 0; i < steps; i++) {
        for (const { mesh } of routers) {
          clock.timeMs += STEP_MS / routers.length;
          mesh.maintain();
          mesh.broadcast({ ...STATE, routers: mesh.knownRouters() });
          await sleep(15);
        }
      }
    }

    // Guards against a router that goes on sending on the silent connection
    // after the other one has opened a new one.
    it.each(["both", "to_client", "to_target"] as const)(
      "both routers use the new connection (%s)",
      async (direction) => {
        const a = await startBehindProxy("a");
        const b = await startBehindProxy("b");
        a.mesh.setSeeds([b.address]);
        await run(10);
        proxies.forEach((proxy) => proxy.stallConnections(direction));
        await run(12);
        for (const router of routers) {
          router.disconnected.length = 0;
          router.received.length = 0;
        }
        await run(20);
        expect([a, b].map(({ disconnected }) => disconnected))
          .toEqual([[], []]);
        expect([a, b].map(({ received }) => received.length > 10))
          .toEqual([true, true]);
      },
    );
  });
});

function isNotFullyConnected({ mesh }: TestRouter): boolean {
  return mesh.routerCount !== 4 || mesh.connectedCount !== 3;
}
