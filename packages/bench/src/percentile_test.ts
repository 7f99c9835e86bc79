import { describe, expect, it } from "vitest";
import { percentile } from "./percentile.js";

describe("percentile", () => {
  it("returns the sample at the nearest rank, not the one above it", () => {
    const samples = [5, 1, 4, 2, 3];
    expect(percentile(samples, 50)).toBe(3);
    expect(percentile(samples, 80)).toBe(4);
    expect(percentile(samples, 81)).toBe(5);
    expect(percentile(samples, 100)).toBe(5);
  });

  it("returns NaN without samples, so that no target is met", () => {
    expect(percentile([], 99)).toBeNaN();
  });
});
