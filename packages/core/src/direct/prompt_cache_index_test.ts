import { describe, expect, it } from "vitest";
import { PromptCacheIndex } from "./prompt_cache_index.js";

const PARTS = [{ id: "system", tokens: 100 }, { id: "page", tokens: 900 }];

describe("PromptCacheIndex", () => {
  it("counts a part only if all parts before it are cached", () => {
    const index = new PromptCacheIndex();
    index.record("e", 1, [PARTS[1]!], undefined);
    expect(index.cachedTokens("e", 1, PARTS)).toBe(0);
    index.record("e", 1, [PARTS[0]!], undefined);
    expect(index.cachedTokens("e", 1, PARTS)).toBe(1000);
  });

  it("returns a part as new only once, so that updates stay small", () => {
    const index = new PromptCacheIndex();
    expect(index.record("e", 1, PARTS, undefined)).toEqual(PARTS);
    expect(index.record("e", 1, PARTS, undefined)).toEqual([]);
  });

  it("discards the parts of an endpoint that was restarted", () => {
    const index = new PromptCacheIndex();
    index.record("e", 1, PARTS, undefined);
    expect(index.cachedTokens("e", 2, PARTS)).toBe(0);
    index.record("e", 2, [PARTS[0]!], undefined);
    expect(index.cachedTokens("e", 2, PARTS)).toBe(100);
  });

  it("ignores a late update of an older incarnation", () => {
    const index = new PromptCacheIndex();
    index.record("e", 2, [PARTS[0]!], undefined);
    index.record("e", 1, PARTS, undefined);
    expect(index.cachedTokens("e", 2, PARTS)).toBe(100);
  });

  it("evicts the least recently used parts beyond the cache size", () => {
    const index = new PromptCacheIndex();
    for (let i = 0; i < 20; i++) {
      index.record("e", 1, [{ id: `page-${i}`, tokens: 100 }], 1000);
    }
    const cached = (i: number) =>
      index.cachedTokens("e", 1, [{ id: `page-${i}`, tokens: 100 }]);
    expect(cached(0)).toBe(0);
    expect(cached(19)).toBe(100);
    expect(index.entries()[0]!.parts.length).toBe(6);
  });
});
