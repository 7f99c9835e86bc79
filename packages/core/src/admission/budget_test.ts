import * as fc from "fast-check";
import { describe, expect, it } from "vitest";
import { RetryBudget } from "./retry_budget.js";
import { ServiceRateEstimator } from "./service_rate_estimator.js";
import { TokenBucket } from "./token_bucket.js";

const PROPERTY_OPTIONS = { seed: 20_263, numRuns: 300 };

describe("TokenBucket", () => {
  it("never grants more than the burst and the rate allow", () => {
    const consumptions = fc.array(
      fc.record({
        stepMs: fc.integer({ min: -50, max: 500 }),
        count: fc.integer({ min: 1, max: 4 }),
      }),
      { maxLength: 100, size: "max" },
    );
    fc.assert(
      fc.property(consumptions, (steps) => {
        const bucket = new TokenBucket(10, 5, 0);
        let nowMs = 0;
        let latestMs = 0;
        let granted = 0;
        for (const { count, stepMs } of steps) {
          nowMs += stepMs;
          latestMs = Math.max(latestMs, nowMs);
          granted += bucket.tryConsume(count, nowMs) ? count : 0;
          expect(granted).toBeLessThanOrEqual(5 + latestMs / 100 + 1e-6);
        }
      }),
      PROPERTY_OPTIONS,
    );
  });

  it("returns the time after which consuming succeeds", () => {
    const bucket = new TokenBucket(10, 5, 0);
    bucket.tryConsume(5, 0);
    expect(bucket.waitMs(3, 0)).toBe(300);
    expect(bucket.tryConsume(3, 299)).toBe(false);
    expect(bucket.tryConsume(3, 300)).toBe(true);
    expect(bucket.waitMs(6, 300)).toBe(Infinity);
  });

  it("grants no more than a lowered limit allows", () => {
    const bucket = new TokenBucket(10, 5, 0);
    bucket.setLimit(1, 2, 0);
    expect(bucket.tryConsume(3, 0)).toBe(false);
    expect(bucket.tryConsume(2, 0)).toBe(true);
    expect(bucket.waitMs(1, 0)).toBe(1_000);
  });
});

describe("RetryBudget", () => {
  it("limits retries to the initial ones and a tenth of the requests", () => {
    const events = fc.array(
      fc.tuple(fc.constantFrom("a", "b", "c"), fc.boolean()),
      { maxLength: 400, size: "max" },
    );
    fc.assert(
      fc.property(events, (steps) => {
        const budget = new RetryBudget({
          accountLimits: { initialRetries: 1, maxRetries: 10 },
          routerLimits: { initialRetries: 2, maxRetries: 10 },
        });
        const requests: Record<string, number> = {};
        const retries: Record<string, number> = {};
        const total = (counts: Record<string, number>) =>
          Object.values(counts).reduce((sum, n) => sum + n, 0);
        for (const [account, isRetry] of steps) {
          if (!isRetry) {
            budget.recordRequest(account);
            requests[account] = (requests[account] ?? 0) + 1;
          } else if (budget.tryConsumeRetry(account)) {
            retries[account] = (retries[account] ?? 0) + 1;
          }
          expect(retries[account] ?? 0)
            .toBeLessThanOrEqual(1 + 0.1 * (requests[account] ?? 0) + 1e-6);
          expect(total(retries))
            .toBeLessThanOrEqual(2 + 0.1 * total(requests) + 1e-6);
        }
      }),
      PROPERTY_OPTIONS,
    );
  });

  it("limits the burst of retries after many requests without any", () => {
    const budget = new RetryBudget();
    for (let n = 0; n < 10_000; n++) {
      budget.recordRequest("a");
    }
    const granted = Array.from(
      { length: 50 },
      () => budget.tryConsumeRetry("a"),
    );
    expect(granted.filter(Boolean)).toHaveLength(10);
  });
});

describe("ServiceRateEstimator", () => {
  const initial = { prefillTokensPerS: 8_000, decodeTokensPerS: 50 };

  it("uses the initial rates until the first observation", () => {
    const rates = new ServiceRateEstimator(initial);
    rates.observeDecode(0, 100);
    rates.observePrefill(100, 0);
    expect(rates).toMatchObject(initial);
    expect(rates.serviceMs(8_000, 50)).toBe(2_000);
  });

  it("adapts to an engine that becomes slower", () => {
    const rates = new ServiceRateEstimator(initial);
    for (let n = 0; n < 20; n++) {
      rates.observePrefill(800, 100);
    }
    expect(rates.prefillTokensPerS).toBeCloseTo(8_000, 6);
    for (let n = 0; n < 50; n++) {
      rates.observePrefill(800, 400);
    }
    expect(rates.prefillTokensPerS).toBeLessThan(2_100);
  });

  it("gives a short answer little weight", () => {
    const rates = new ServiceRateEstimator(initial);
    rates.observeDecode(1_000, 20_000);
    rates.observeDecode(1, 1);
    expect(rates.decodeTokensPerS).toBeCloseTo(50, 0);
  });
});
