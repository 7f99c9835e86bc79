import { setTimeout as sleep } from "node:timers/promises";
import type { MessageOf } from "@anvildeal/core";
import { reservePorts } from "@anvildeal/stand-ins";
import { afterEach, describe, expect, it } from "vitest";
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

  async function start(nodeId: string): Promise<TestRouter> {
    const [port] = await reservePorts(HOST, 1);
    const address = `${HOST}:${port}`;
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
      clock: new SystemClock(),
    });
    await mesh.listen(HOST, port!);
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
});

function isNotFullyConnected({ mesh }: TestRouter): boolean {
  return mesh.routerCount !== 4 || mesh.connectedCount !== 3;
}
