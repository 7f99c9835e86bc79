import { describe, expect, it } from "vitest";
import { PromptCacheIndex } from "./warmth_index.js";

const PARTS = [{ id: "system", tokens: 100 }, { id: "page", tokens: 900 }];

describe("WarmthIndex", () => {
  it("counts parts only while all parts before them are held", () => {
    const index = new PromptCacheIndex();
    index.note("e", 1, [PARTS[1]!], undefined);
    expect(index.cachedTokens("e", 1, PARTS)).toBe(0);
    index.note("e", 1, [PARTS[0]!], undefined);
    expect(index.cachedTokens("e", 1, PARTS)).toBe(1000);
  });

  it("names a part as new once, so that news stay small", () => {
    const index = new PromptCacheIndex();
    expect(index.note("e", 1, PARTS, undefined)).toEqual(PARTS);
    expect(index.note("e", 1, PARTS, undefined)).toEqual([]);
  });

  it("forgets what an endpoint held before it started again", () => {
    const index = new PromptCacheIndex();
    index.note("e", 1, PARTS, undefined);
    expect(index.cachedTokens("e", 2, PARTS)).toBe(0);
    index.note("e", 2, [PARTS[0]!], undefined);
    expect(index.cachedTokens("e", 2, PARTS)).toBe(100);
  });

  it("ignores late news of an earlier start", () => {
    const index = new PromptCacheIndex();
    index.note("e", 2, [PARTS[0]!], undefined);
    index.note("e", 1, PARTS, undefined);
    expect(index.cachedTokens("e", 2, PARTS)).toBe(100);
  });

  it("drops the least recently used parts beyond the cache", () => {
    const index = new PromptCacheIndex();
    for (let i = 0; i < 20; i++) {
      index.note("e", 1, [{ id: `page-${i}`, tokens: 100 }], 1000);
    }
    const held = (i: number) =>
      index.cachedTokens("e", 1, [{ id: `page-${i}`, tokens: 100 }]);
    expect(held(0)).toBe(0);
    expect(held(19)).toBe(100);
    expect(index.entries()[0]!.parts.length).toBe(6);
  });
});
