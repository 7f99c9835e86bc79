import { describe, expect, it } from "vitest";
import { PrefillBacklog } from "./prefill_backlog.js";
import { PrefillRate } from "./prefill_rate.js";

const TOKENS_PER_MS = 50;

describe("PrefillBacklog", () => {
  it("falls at the rate of the engine and is never negative", () => {
    const backlog = new PrefillBacklog();
    backlog.add(100, 10_000, TOKENS_PER_MS);
    expect(backlog.remaining(200, TOKENS_PER_MS)).toBe(5000);
    backlog.add(200, 1000, TOKENS_PER_MS);
    expect(backlog.remaining(220, TOKENS_PER_MS)).toBe(5000);
    expect(backlog.remaining(900, TOKENS_PER_MS)).toBe(0);
  });

  // A peer that reconnects sends entries again that it sent before.
  it("ends in bounded time whatever peers report", () => {
    const backlog = new PrefillBacklog();
    backlog.add(0, 10_000_000, TOKENS_PER_MS);
    expect(backlog.remaining(2000, TOKENS_PER_MS)).toBe(0);
  });
});

describe("PrefillRate", () => {
  it("approaches the rate that is observed", () => {
    const rate = new PrefillRate();
    for (let i = 0; i < 10; i++) {
      rate.record(10_000, 100);
    }
    expect(rate.tokensPerMs).toBeGreaterThan(95);
    expect(rate.tokensPerMs).toBeLessThanOrEqual(100);
  });
});
