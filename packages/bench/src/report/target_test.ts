import { describe, expect, it } from "vitest";
import { atLeast, atMost, below, exactly } from "./target.js";

describe("targets", () => {
  it("include the limit in atMost and atLeast and exclude it in below", () => {
    expect(atMost("x", 2, 2).met).toBe(true);
    expect(atMost("x", 2.001, 2).met).toBe(false);
    expect(atLeast("x", 0.95, 0.95).met).toBe(true);
    expect(atLeast("x", 0.9499, 0.95).met).toBe(false);
    expect(below("x", 150, 150).met).toBe(false);
    expect(exactly("x", 1, 0).met).toBe(false);
  });

  it("are not met by a figure that could not be measured", () => {
    for (const check of [atMost, atLeast, below, exactly]) {
      expect(check("x", NaN, 1)).toMatchObject({ measured: null, met: false });
    }
    expect(atMost("x", Infinity, 1)).toMatchObject({
      measured: null,
      met: false,
    });
  });
});
