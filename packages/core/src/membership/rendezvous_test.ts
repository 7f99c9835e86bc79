import { describe, expect, it } from "vitest";
import { rankByRendezvous, rendezvousScore } from "./rendezvous.js";

const ids = Array.from({ length: 12 }, (_, i) => `endpoint-${i}`);
const keys = Array.from({ length: 12_000 }, (_, i) => `chat-${i}`);

describe("rankByRendezvous", () => {
  it("ignores the order and repetition of the ids", () => {
    const reversed = ids.toReversed();
    expect(rankByRendezvous("chat", [...reversed, ...ids]))
      .toEqual(rankByRendezvous("chat", ids));
  });

  it("keeps the order of the other ids when one is removed", () => {
    for (const key of keys.slice(0, 200)) {
      const ranked = rankByRendezvous(key, ids);
      const without = ids.filter((id) => id !== "endpoint-5");
      expect(rankByRendezvous(key, without))
        .toEqual(ranked.filter((id) => id !== "endpoint-5"));
    }
  });

  it("returns the same first ids with a limit as without", () => {
    for (const key of keys.slice(0, 200)) {
      for (const limit of [0, 1, 3, 12, 20]) {
        expect(rankByRendezvous(key, ids, limit))
          .toEqual(rankByRendezvous(key, ids).slice(0, limit));
      }
    }
  });

  // Weak mixing of ids that differ in one digit would overload one endpoint.
  it.each([0, 1, 2])("spreads choice %i evenly over similar ids", (rank) => {
    const counts = new Map<string, number>();
    for (const key of keys) {
      const id = rankByRendezvous(key, ids, 3)[rank]!;
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    const expected = keys.length / ids.length;
    let chiSquared = 0;
    for (const id of ids) {
      chiSquared += ((counts.get(id) ?? 0) - expected) ** 2 / expected;
    }
    // The 0.999 quantile of chi-squared with 11 degrees of freedom.
    expect(chiSquared).toBeLessThan(31.26);
  });

  it("gives different scores for different splits of the same text", () => {
    expect(rendezvousScore("ab", "c")).not.toBe(rendezvousScore("a", "bc"));
  });
});
