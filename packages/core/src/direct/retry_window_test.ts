import * as fc from "fast-check";
import { describe, expect, it } from "vitest";
import { RetryWindow } from "./retry_window.js";

const WINDOW_MS = 10_000;

describe("RetryWindow", () => {
  it("never exceeds the budget in any window", () => {
    const budget = { retriesPerRequest: 0.2, fixedRetries: 3 };
    fc.assert(
      fc.property(
        fc.array(
          fc.record({
            gapMs: fc.integer({ min: 0, max: 1500 }),
            retries: fc.integer({ min: 0, max: 4 }),
          }),
          { maxLength: 200 },
        ),
        (steps) => {
          const window = new RetryWindow(WINDOW_MS);
          const requestTimesMs: number[] = [];
          const retryTimesMs: number[] = [];
          let nowMs = 0;
          for (const { gapMs, retries: wanted } of steps) {
            nowMs += gapMs;
            window.recordRequest(nowMs);
            requestTimesMs.push(nowMs);
            for (let i = 0; i < wanted; i++) {
              if (window.tryConsumeRetry(nowMs, budget)) {
                retryTimesMs.push(nowMs);
              }
            }
            const countWithin = (times: number[], spanMs: number) =>
              times.filter((time) => time > nowMs - spanMs).length;
            expect(countWithin(retryTimesMs, WINDOW_MS * 0.9))
              .toBeLessThanOrEqual(
                budget.retriesPerRequest *
                    countWithin(requestTimesMs, WINDOW_MS * 1.1) +
                  budget.fixedRetries,
              );
          }
        },
      ),
      { seed: 1, numRuns: 200 },
    );
  });

  it("allows retries again once the window has passed", () => {
    const window = new RetryWindow(WINDOW_MS);
    const budget = { retriesPerRequest: 0, fixedRetries: 1 };
    expect(window.tryConsumeRetry(0, budget)).toBe(true);
    expect(window.tryConsumeRetry(5000, budget)).toBe(false);
    expect(window.tryConsumeRetry(11_000, budget)).toBe(true);
  });
});
