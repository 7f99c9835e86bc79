import { setTimeout as sleep } from "node:timers/promises";
import { reservePorts } from "@anvildeal/stand-ins";
import { afterEach, describe, expect, it } from "vitest";
import { SystemClock } from "../system_clock.js";
import { PeerMesh } from "./peer_mesh.js";

const HOST = "127.0.0.1";

interface Member {
  readonly mesh: PeerMesh;
  readonly nodeId: string;
  readonly address: string;
  readonly lost: string[];
  readonly received: string[];
}

describe("PeerMesh", () => {
  const members: Member[] = [];

  afterEach(() => {
    for (const { mesh } of members.splice(0)) {
      mesh.dispose();
    }
  });

  async function start(nodeId: string): Promise<Member> {
    const [port] = await reservePorts(HOST, 1);
    const address = `${HOST}:${port}`;
    const mesh = new PeerMesh({
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
    const member = { mesh, nodeId, address, lost: [], received: [] } as Member;
    mesh.onPeer(({ connected, nodeId: peer }) => {
      if (!connected) {
        member.lost.push(peer);
      }
    });
    mesh.onMessage(({ message, nodeId: from }) => {
      if (message.type === "fleet_state") {
        member.received.push(from);
        mesh.learn(message.routers);
      }
    });
    members.push(member);
    return member;
  }

  function round(): void {
    for (const { mesh } of members) {
      mesh.maintain();
      mesh.broadcast({
        type: "fleet_state",
        configVersion: 1,
        directoryRevision: 1,
        inFlight: {},
        routers: mesh.knownRouters(),
      });
    }
  }

  it("finds all routers through one seed", async () => {
    const seed = await start("b");
    for (const id of ["a", "c", "d"]) {
      (await start(id)).mesh.setSeeds([seed.address]);
    }
    for (let i = 0; i < 100 && members.some(notFull); i++) {
      round();
      await sleep(20);
    }
    expect(members.filter(notFull)).toEqual([]);
    expect(members.map(({ mesh }) => mesh.isFirst))
      .toEqual([false, true, false, false]);
  });

  it("keeps a pair connected that dialled each other at once", async () => {
    const a = await start("a");
    const b = await start("b");
    a.mesh.setSeeds([b.address]);
    b.mesh.setSeeds([a.address]);
    // Longer than the silence after which a connection is given up.
    for (let i = 0; i < 60; i++) {
      round();
      await sleep(50);
    }
    expect(a.lost).toEqual([]);
    expect(b.lost).toEqual([]);
    expect(a.received.length).toBeGreaterThan(10);
    expect(b.received.length).toBeGreaterThan(10);
  });
});

function notFull({ mesh }: Member): boolean {
  return mesh.routerCount !== 4 || mesh.connectedCount !== 3;
}
