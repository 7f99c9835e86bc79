import { connect } from "node:net";
import { describe, expect, it } from "vitest";
import { PeerServer } from "./peer_server.js";
import { TrafficMeter } from "./traffic_meter.js";

describe("PeerServer", () => {
  it("reports a peer that sends an invalid frame", async () => {
    let resolveReason = (_reason: string) => {};
    const rejected = new Promise<string>((resolve) => {
      resolveReason = resolve;
    });
    const server = new PeerServer(() => ({
      identity: {
        role: "router",
        nodeId: "r1",
        incarnation: 1,
        failureDomain: "a",
        fleetKey: "key-of-the-test-fleet",
      },
      configVersion: 0,
      meter: new TrafficMeter(),
      onRejected: (_peer, reason) => resolveReason(reason),
    }));
    const port = await server.listen("127.0.0.1", 0);
    const socket = connect(port, "127.0.0.1");
    socket.on("error", () => {});
    // A frame of 3 bytes that do not decode to a message.
    socket.write(Uint8Array.of(0, 0, 0, 3, 0xff, 0xff, 0xff));
    try {
      expect(await rejected).not.toBe("");
    } finally {
      socket.destroy();
      server.dispose();
    }
  });
});
