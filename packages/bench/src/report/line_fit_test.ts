import { describe, expect, it } from "vitest";
import { fitLine } from "./line_fit.js";

describe("fitLine", () => {
  it("recovers an exact line and reports the largest residual", () => {
    const pointsOnLine = [1, 2, 4, 8].map((x) => ({ x, y: 3 * x + 5 }));
    expect(fitLine(pointsOnLine)).toEqual({
      slope: 3,
      intercept: 5,
      max_residual: 0,
    });
    const pointsOffLine = [{ x: 0, y: 0 }, { x: 1, y: 3 }, { x: 2, y: 0 }];
    expect(fitLine(pointsOffLine)).toEqual({
      slope: 0,
      intercept: 1,
      max_residual: 2,
    });
  });
});
