import { describe, expect, it } from "vitest";
import xxhash from "xxhash-wasm";
import {
  BLOCK_CHARS,
  createPrefixHasher,
  estimateTokens,
} from "./prefix_hasher.js";

const page = { role: "user", content: "p".repeat(3 * BLOCK_CHARS) };

describe("PrefixHasher", () => {
  describe("blockHashes", () => {
    it("chains 64-bit xxHash over blocks as the design page defines", async () => {
      const api = await xxhash();
      const text = `user\n${page.content}\n`;
      const first = api.h64(text.slice(0, BLOCK_CHARS), 0n);
      const second = api.h64(text.slice(BLOCK_CHARS, 2 * BLOCK_CHARS), first);
      const hashes = (await createPrefixHasher()).blockHashes([page]);
      expect(hashes.slice(0, 2)).toEqual([first, second]);
    });

    it("omits an incomplete block, which engines do not cache", async () => {
      const hasher = await createPrefixHasher();
      const short = { role: "user", content: "x".repeat(BLOCK_CHARS - 7) };
      expect(hasher.blockHashes([short])).toEqual([]);
      const exact = { role: "user", content: "x".repeat(BLOCK_CHARS - 6) };
      expect(hasher.blockHashes([exact])).toHaveLength(1);
    });

    it("keeps the hashes of earlier blocks when a chat grows", async () => {
      const hasher = await createPrefixHasher();
      const before = hasher.blockHashes([page]);
      const after = hasher.blockHashes([page, page]);
      expect(after.slice(0, before.length)).toEqual(before);
      expect(after.length).toBeGreaterThan(before.length);
    });

    it("hashes equal blocks differently after different prefixes", async () => {
      const hasher = await createPrefixHasher();
      const other = { ...page, content: `q${page.content.slice(1)}` };
      const common = new Set(hasher.blockHashes([page]));
      const shared = hasher.blockHashes([other]).filter((h) => common.has(h));
      expect(shared).toEqual([]);
    });
  });

  describe("estimateTokens", () => {
    it("rounds a partial token up", () => {
      expect([0, 1, 4, 5].map((n) => estimateTokens("x".repeat(n)))).toEqual(
        [0, 1, 1, 2],
      );
    });
  });
});
