import { createMembershipState, type Message } from "@anvildeal/core";
import { reservePorts, TcpProxy } from "@anvildeal/stand-ins";
import { afterEach, describe, expect, it } from "vitest";
import { PeerDialer, type PeerIdentity, TrafficMeter } from "../net/index.js";
import type { NodeServices } from "../node_services.js";
import { SidecarConnections } from "./sidecar_connections.js";

const HOST = "127.0.0.1";
const PING: Message = { type: "ping" };

function peerOptions(role: PeerIdentity["role"], nodeId: string) {
  return {
    identity: {
      role,
      nodeId,
      incarnation: 1,
      failureDomain: "a",
      fleetKey: "key-of-the-test-fleet",
    },
    configVersion: 0,
    meter: new TrafficMeter(),
  };
}

describe("SidecarConnections", () => {
  const disposables: { dispose(): unknown }[] = [];

  afterEach(async () => {
    for (const item of disposables.splice(0)) {
      await item.dispose();
    }
  });

  async function startSidecar(): Promise<[SidecarConnections, number]> {
    const services = {
      peerOptions: () => peerOptions("sidecar", "s1"),
      logger: { log: () => {} },
    } as unknown as NodeServices;
    const membership = createMembershipState(
      { role: "sidecar", seed: 1 } as Parameters<
        typeof createMembershipState
      >[0],
    );
    const sidecar = new SidecarConnections(services, membership, () => 0);
    disposables.push(sidecar);
    const [port] = await reservePorts(HOST, 1);
    return [sidecar, await sidecar.listen(HOST, port!)];
  }

  /** Connects a router; resolves when the sidecar knows the connection. */
  async function connectRouter(
    sidecar: SidecarConnections,
    port: number,
  ): Promise<PeerDialer> {
    const dialer = new PeerDialer(() => peerOptions("router", "r1"));
    disposables.push(dialer);
    const known = new Promise((resolve) => sidecar.onConnected(resolve));
    dialer.send("s1", `${HOST}:${port}`, PING);
    await known;
    return dialer;
  }

  // Guards against answers on a connection that fell silent, which the router
  // has replaced.
  it("sends to a router on the latest connection from it", async () => {
    const [sidecar, port] = await startSidecar();
    const proxy = new TcpProxy({ targetPort: port });
    await proxy.start();
    disposables.push(proxy);
    await connectRouter(sidecar, proxy.port);
    proxy.stallConnections("both");
    const latest = await connectRouter(sidecar, port);
    const received = new Promise((resolve) => latest.onMessage(resolve));
    sidecar.send("r1", PING);
    expect(await received).toMatchObject({ message: PING });
  });
});
