import * as fc from "fast-check";
import { describe, expect, it } from "vitest";
import { RetryBalance } from "./retry_balance.js";

const LIMITS = { retriesPerRequest: 0.2, maxRetries: 5 };

describe("RetryBalance", () => {
  // Guards against a limit that holds only over windows aligned to its buckets.
  it("never exceeds the budget in any window", () => {
    fc.assert(
      fc.property(
        fc.array(fc.boolean(), { maxLength: 400, size: "max" }),
        fc.nat(399),
        (steps, windowStart) => {
          const balance = new RetryBalance(1);
          let requests = 0;
          let retries = 0;
          steps.forEach((isRetry, index) => {
            const counts = index >= windowStart ? 1 : 0;
            if (!isRetry) {
              balance.recordRequest(LIMITS);
              requests += counts;
            } else if (balance.tryConsumeRetry(LIMITS)) {
              retries += counts;
            }
          });
          expect(retries).toBeLessThanOrEqual(
            LIMITS.maxRetries + LIMITS.retriesPerRequest * requests + 1e-6,
          );
        },
      ),
      { seed: 1, numRuns: 300 },
    );
  });

  it("allows the first rejected request to be retried", () => {
    const balance = new RetryBalance(1);
    balance.recordRequest(LIMITS);
    expect(balance.tryConsumeRetry(LIMITS)).toBe(true);
    expect(balance.tryConsumeRetry(LIMITS)).toBe(false);
  });

  it("allows retries again after further requests", () => {
    const balance = new RetryBalance(1);
    balance.tryConsumeRetry(LIMITS);
    for (let i = 0; i < 5; i++) {
      expect(balance.allowsRetry(LIMITS)).toBe(false);
      balance.recordRequest(LIMITS);
    }
    expect(balance.allowsRetry(LIMITS)).toBe(true);
  });

  // Guards against a balance that was stored while fewer routers were known.
  it("drops what exceeds a maximum that has become lower", () => {
    const balance = new RetryBalance(1);
    for (let i = 0; i < 100; i++) {
      balance.recordRequest(LIMITS);
    }
    expect(balance.remaining(LIMITS)).toBe(5);
    const lower = { ...LIMITS, maxRetries: 2 };
    expect(balance.tryConsumeRetry(lower)).toBe(true);
    expect(balance.remaining(LIMITS)).toBe(1);
  });
});
