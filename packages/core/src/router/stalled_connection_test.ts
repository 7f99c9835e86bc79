import { describe, expect, it } from "vitest";
import { ENDPOINT_STATUS, RouterDriver } from "./router_driver_fixture.js";

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

/** Runs a request whose endpoint sends a frame every 100 ms until 900 ms. */
function runStream(answersPings: boolean): RouterDriver {
  const router = new RouterDriver();
  router.addEndpoint();
  const attemptId = router.submitRequest("q1", 100_000);
  router.run({ type: "connected", nowMs: 10, endpointId: "e1", hello: HELLO });
  router.receive(20, { type: "accepted", attemptId, facts: ENDPOINT_STATUS });
  for (let nowMs = 100; nowMs <= 900; nowMs += 100) {
    router.run({ type: "tick", nowMs });
    if (answersPings) {
      router.receive(nowMs, { type: "pong" });
    }
    router.receive(nowMs, {
      type: "accepted",
      attemptId,
      facts: ENDPOINT_STATUS,
    });
  }
  return router;
}

describe("stalled connections", () => {
  it("are closed within 3 s of an unanswered ping although other frames arrive", () => {
    // Answer frames prove only that the direction from the sidecar to the
    // router works; they must not count as a reply to the ping.
    const router = runStream(false);
    for (let nowMs = 1000; nowMs <= 3000; nowMs += 100) {
      router.run({ type: "tick", nowMs });
    }
    expect(router.closedEndpointIds).toEqual(["e1"]);
  });

  it("are not detected while each ping is answered", () => {
    const router = runStream(true);
    expect(router.closedEndpointIds).toEqual([]);
  });

  it("are not detected after a pause of the router process", () => {
    const router = runStream(false);
    router.run({ type: "tick", nowMs: 60_000 });
    expect(router.closedEndpointIds).toEqual([]);
  });
});
