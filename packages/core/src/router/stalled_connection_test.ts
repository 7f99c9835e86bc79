import { describe, expect, it } from "vitest";
import { FACTS, RouterDriver } from "./router_driver_fixture.js";

const HELLO = {
  type: "hello",
  protocolVersion: 1,
  role: "sidecar",
  nodeId: "e1",
  incarnation: 1,
  failureDomain: "a",
  configVersion: 1,
  nonce: new Uint8Array(16),
} as const;

/** A request whose answer goes on while time passes in ticks of 100 ms. */
function runStream(answersPings: boolean): RouterDriver {
  const router = new RouterDriver();
  router.addEndpoint();
  const attemptId = router.submit("q1", 100_000);
  router.run({ type: "connected", nowMs: 10, endpointId: "e1", hello: HELLO });
  router.receive(20, { type: "accepted", attemptId, facts: FACTS });
  for (let nowMs = 100; nowMs <= 900; nowMs += 100) {
    router.run({ type: "tick", nowMs });
    if (answersPings) {
      router.receive(nowMs, { type: "pong" });
    }
    router.receive(nowMs, { type: "accepted", attemptId, facts: FACTS });
  }
  return router;
}

describe("silent connections", () => {
  it("are noticed within 3 s although frames still arrive from the peer", () => {
    // Frames of the answer used to count as proof that both directions work.
    const router = runStream(false);
    for (let nowMs = 1000; nowMs <= 3000; nowMs += 100) {
      router.run({ type: "tick", nowMs });
    }
    expect(router.closedIds).toEqual(["e1"]);
  });

  it("are not seen where each ping is answered", () => {
    const router = runStream(true);
    expect(router.closedIds).toEqual([]);
  });

  it("are not seen after a pause of the router itself", () => {
    const router = runStream(false);
    router.run({ type: "tick", nowMs: 60_000 });
    expect(router.closedIds).toEqual([]);
  });
});
