import { describe, expect, it } from "vitest";
import { EndpointBackoff } from "./endpoint_backoff.js";

describe("EndpointBackoff", () => {
  // Guards against an end that a later answer brings forward.
  it("ends when the latest of the named times ends", () => {
    const backoff = new EndpointBackoff();
    expect(backoff.observe(0, 3000)).toBe(true);
    expect(backoff.observe(100, 500)).toBe(false);
    expect(backoff.waitMs(1000)).toBe(2000);
    expect(backoff.waitMs(3000)).toBe(0);
  });

  // Guards against a request that was under way and ends a backoff.
  it("holds although a request that was sent before is served", () => {
    const backoff = new EndpointBackoff();
    backoff.observe(100, 3000);
    backoff.recordSuccess(50);
    backoff.recordSuccess(150);
    expect(backoff.waitMs(200)).toBe(2900);
  });

  describe("with a doubtful time", () => {
    // Guards against more requests than the platform allows in a backoff.
    it("lets two requests try the endpoint", () => {
      const backoff = new EndpointBackoff();
      backoff.observe(0, 1e15);
      expect(backoff.waitMs(0)).toBe(5000);
      let trials = 0;
      for (let nowMs = 0; nowMs < 300_000; nowMs += 1000) {
        if (backoff.waitMs(nowMs) === 0) {
          trials++;
          backoff.recordRequest(nowMs);
          backoff.observe(nowMs, Infinity);
        }
      }
      expect(trials).toBe(2);
    });

    // Guards against the loss of an endpoint that serves again.
    it("ends if a request that tries the endpoint is served", () => {
      const backoff = new EndpointBackoff();
      backoff.observe(0, 1e15);
      backoff.recordRequest(5000);
      backoff.recordSuccess(5000);
      expect(backoff.waitMs(5001)).toBe(0);
    });

    // Guards against an answer to an earlier request that is taken for a trial's.
    it("holds although a request that was sent before is served", () => {
      const backoff = new EndpointBackoff();
      backoff.observe(100, 1e15);
      backoff.recordSuccess(50);
      expect(backoff.waitMs(1000)).toBe(4100);
    });
  });
});
