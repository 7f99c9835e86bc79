import { describe, expect, it } from "vitest";
import { ENDPOINT_STATUS, RouterDriver } from "./router_driver_fixture.js";

describe("request_ended effect", () => {
  it("is emitted once, with the times of the answer and whether the deadline was met", () => {
    const router = new RouterDriver();
    router.addEndpoint();
    const attemptId = router.submitRequest("q1");
    const data = new Uint8Array([1]);
    router.receive(20, { type: "accepted", attemptId, facts: ENDPOINT_STATUS });
    const headers = { "content-type": "text/event-stream" };
    router.receive(20, {
      type: "head",
      attemptId,
      seq: 0,
      status: 200,
      headers,
    });
    router.receive(30, { type: "chunk", attemptId, seq: 1, data });
    router.receive(50, { type: "chunk", attemptId, seq: 2, data });
    router.receive(70, {
      type: "end",
      attemptId,
      seq: 3,
      facts: ENDPOINT_STATUS,
    });
    expect(router.results).toEqual([{
      account: "wiki",
      pool: "chat",
      elapsedMs: 60,
      firstTokenMs: 20,
      meanInterTokenMs: 40,
      deadlineMet: true,
      whole: true,
      available: true,
      reason: "answered",
    }]);
  });

  it("reports a failed attempt with unknown outcome as neither whole nor available", () => {
    const router = new RouterDriver();
    router.addEndpoint();
    const attemptId = router.submitRequest("q1");
    router.receive(20, { type: "accepted", attemptId, facts: ENDPOINT_STATUS });
    router.receive(30, {
      type: "failed",
      attemptId,
      seq: 0,
      outcome: "unknown",
      reason: "reset",
      facts: ENDPOINT_STATUS,
    });
    expect(router.results).toMatchObject([
      { whole: false, available: false, reason: "outcome_unknown" },
    ]);
  });

  it("has no value for whole and available when the caller disconnects", () => {
    const router = new RouterDriver();
    router.addEndpoint();
    router.submitRequest("q1");
    router.run({ type: "caller_gone", nowMs: 40, requestId: "q1" });
    expect(router.results).toEqual([{
      account: "wiki",
      pool: "chat",
      elapsedMs: 30,
      reason: "caller_gone",
    }]);
  });

  it("reports a request without a usable endpoint as unavailable", () => {
    const router = new RouterDriver();
    router.submitRequest("q1");
    expect(router.results).toMatchObject([
      { available: false, deadlineMet: false, reason: "overloaded" },
    ]);
    expect(router.results[0].whole).toBeUndefined();
  });
});
