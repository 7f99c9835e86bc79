import * as fc from "fast-check";
import { describe, expect, it } from "vitest";
import type { LoadTableEntry } from "../wire/messages.js";
import { JOIN_GRACE_MS, LoadBound } from "./load_bound.js";
import {
  LOAD_ENTRY_FRESH_MS,
  LOAD_ENTRY_RETENTION_MS,
  MAX_DIGEST_ENTRIES,
  PoolLoadTable,
} from "./pool_load_table.js";

const PROPERTY_OPTIONS = { seed: 20_262, numRuns: 300 };
const NOW_MS = 1_000_000;

function entry(
  endpointId: string,
  loadTokens: number,
  overrides: Partial<LoadTableEntry> = {},
): LoadTableEntry {
  return {
    endpointId,
    incarnation: 1,
    loadTokens,
    state: "active",
    address: `${endpointId}:1`,
    ageMs: 0,
    ...overrides,
  };
}

function tableOf(...entries: LoadTableEntry[]): PoolLoadTable {
  const table = new PoolLoadTable("self");
  table.merge(entries, NOW_MS);
  return table;
}

function boundOf(table: PoolLoadTable, joinedAtMs = 0): LoadBound {
  const options = { multiple: 1.25, floorTokens: 100, capacityTokens: 10_000 };
  return new LoadBound(options, table, joinedAtMs);
}

describe("PoolLoadTable", () => {
  describe("merge", () => {
    // Entries arrive through several peers, in any order and repeatedly.
    it("keeps the newest incarnation and lowest age in any order", () => {
      const arbitrary = fc.array(
        fc.record({
          endpointId: fc.constantFrom("p", "q", "self"),
          incarnation: fc.integer({ min: 1, max: 3 }),
          ageMs: fc.integer({ min: 0, max: 4_000 }),
        }),
        { maxLength: 12, size: "max" },
      );
      fc.assert(
        fc.property(arbitrary, (reported) => {
          const table = new PoolLoadTable("self");
          reported.forEach(({ ageMs, endpointId, incarnation }, n) => {
            const report = entry(endpointId, n, {
              incarnation,
              ageMs: ageMs + n,
            });
            // Digests arrive 1 ms apart, so the age at arrival differs.
            table.merge([report], NOW_MS + n);
          });
          const known = table.digest(entry("self", 0), NOW_MS + 100).slice(1);
          for (const id of ["p", "q"]) {
            const recency = (row: { incarnation: number; ageMs: number }) =>
              row.incarnation * 1e6 - row.ageMs;
            const best = reported.filter((row) => row.endpointId === id)
              .sort((a, b) => recency(b) - recency(a))[0];
            const row = known.find((other) => other.endpointId === id);
            expect(row?.incarnation).toBe(best?.incarnation);
            expect(row?.ageMs).toBe(best && best.ageMs + 100);
          }
          expect(known.some((row) => row.endpointId === "self")).toBe(false);
        }),
        PROPERTY_OPTIONS,
      );
    });
  });

  describe("digest", () => {
    it("contains the local entry and the 31 freshest others", () => {
      const entries = Array.from(
        { length: 50 },
        (_, n) => entry(`p${n}`, n, { ageMs: (n * 37) % 50 }),
      );
      const digest = tableOf(...entries).digest(entry("self", 7), NOW_MS);
      expect(digest).toHaveLength(MAX_DIGEST_ENTRIES);
      expect(digest[0]).toMatchObject({ endpointId: "self", ageMs: 0 });
      const ages = digest.slice(1).map(({ ageMs }) => ageMs);
      expect(ages).toEqual(Array.from({ length: 31 }, (_, n) => n));
    });

    it("omits entries that are not fresh", () => {
      const table = tableOf(entry("p", 1));
      const lateMs = NOW_MS + LOAD_ENTRY_FRESH_MS + 1;
      expect(table.digest(entry("self", 0), lateMs)).toHaveLength(1);
    });
  });

  describe("summarize", () => {
    it("counts listed peers and removes unlisted ones without reports", () => {
      const table = tableOf(entry("p", 10), entry("q", 20));
      table.setListedPeers(["q", "r", "self"]);
      expect(table.summarize(NOW_MS)).toEqual({
        knownPeers: 3,
        freshPeers: 2,
        freshLoadTokens: 30,
      });
      const lateMs = NOW_MS + LOAD_ENTRY_RETENTION_MS + 1;
      expect(table.summarize(lateMs)).toEqual({
        knownPeers: 2,
        freshPeers: 0,
        freshLoadTokens: 0,
      });
    });

    it("omits peers that accept no work", () => {
      const table = tableOf(
        entry("p", 10),
        entry("q", 0, { state: "draining" }),
        entry("r", 0, { state: "down" }),
      );
      expect(table.summarize(NOW_MS)).toMatchObject({
        knownPeers: 1,
        freshLoadTokens: 10,
      });
      expect(table.leastLoaded(3, NOW_MS).map((row) => row.endpointId))
        .toEqual(["p"]);
    });
  });
});

describe("LoadBound", () => {
  describe("when the bound is enforced", () => {
    it("admits exactly requests within the bound and oversize ones", () => {
      const load = fc.integer({ min: 0, max: 2_000 });
      fc.assert(
        fc.property(
          fc.array(load, { minLength: 2, maxLength: 12 }),
          load,
          load,
          (loads, loadTokens, workTokens) => {
            const table = tableOf(...loads.map((l, n) => entry(`p${n}`, l)));
            const bound = boundOf(table);
            const decision = bound.decide({ loadTokens, workTokens }, NOW_MS);
            const total = loadTokens + workTokens;
            const mean = (loads.reduce((sum, l) => sum + l, 0) + total) /
              (loads.length + 1);
            const isWithin = total <= Math.max(1.25 * mean, 100);
            // A request larger than the floor must be admitted where the load
            // is at most the mean; otherwise every endpoint could refuse it.
            const meanBefore = mean - workTokens / (loads.length + 1);
            const isOversize = !isWithin && workTokens > 100 &&
              loadTokens <= meanBefore + 1e-9;
            expect(decision.rule).toBe(isOversize ? "oversize" : "enforced");
            expect(decision.admitted).toBe(isWithin || isOversize);
            const { admitted, exceeded, refusedByBound } = bound.counters;
            expect(admitted.enforced + admitted.oversize + refusedByBound)
              .toBe(1);
            expect(exceeded.enforced).toBe(0);
            expect(exceeded.oversize).toBe(isOversize ? 1 : 0);
            const alternativeLoads = decision.alternatives.map((row) =>
              row.loadTokens
            );
            const lowestLoads = [...loads].sort((a, b) => a - b).slice(0, 3);
            expect(alternativeLoads).toEqual(
              decision.admitted ? [] : lowestLoads,
            );
          },
        ),
        PROPERTY_OPTIONS,
      );
    });

    it("admits a request above the floor in an idle pool", () => {
      // Otherwise a request larger than the floor would be refused by every
      // endpoint, even by an idle one.
      const bound = boundOf(tableOf(entry("p", 0), entry("q", 0)));
      expect(bound.decide({ loadTokens: 0, workTokens: 1_000 }, NOW_MS))
        .toMatchObject({ admitted: true, rule: "oversize" });
      expect(bound.decide({ loadTokens: 50, workTokens: 1_000 }, NOW_MS))
        .toMatchObject({ admitted: false, rule: "enforced" });
    });

    it("excludes entries older than 5 s from the mean", () => {
      const old = entry("old", 9_000, { ageMs: LOAD_ENTRY_FRESH_MS });
      const bound = boundOf(tableOf(entry("p", 0), entry("q", 0), old));
      const request = { loadTokens: 1, workTokens: 1_000 };
      expect(bound.decide(request, NOW_MS).admitted).toBe(true);
      expect(bound.decide(request, NOW_MS + 1).admitted).toBe(false);
    });
  });

  describe("when only the capacity limit applies", () => {
    const above = { loadTokens: 0, workTokens: 5_000 };
    const cases = {
      small_pool: boundOf(tableOf(entry("p", 0))),
      after_join: boundOf(
        tableOf(entry("p", 0), entry("q", 0)),
        NOW_MS - JOIN_GRACE_MS + 1,
      ),
      unknown_pool: boundOf(tableOf(
        entry("p", 0),
        entry("q", 0, { ageMs: LOAD_ENTRY_FRESH_MS + 1 }),
        entry("r", 0, { ageMs: LOAD_ENTRY_FRESH_MS + 1 }),
      )),
      ignored: boundOf(tableOf(entry("p", 0), entry("q", 0))),
    } as const;
    it.each(Object.entries(cases))(
      "admits up to the capacity and counts the rule: %s",
      (rule, bound) => {
        const ignoreBound = rule === "ignored";
        expect(bound.decide({ ...above, ignoreBound }, NOW_MS))
          .toMatchObject({ admitted: true, rule, aboveBound: true });
        expect(
          bound.decide(
            { loadTokens: 9_000, workTokens: 1_001, ignoreBound },
            NOW_MS,
          )
            .admitted,
        ).toBe(false);
        expect(bound.counters).toMatchObject({
          admitted: { [rule]: 1 },
          exceeded: { [rule]: 1 },
          refusedByCapacity: 1,
          refusedByBound: 0,
        });
      },
    );

    it("enforces the bound with half of the peers fresh", () => {
      const bound = boundOf(tableOf(
        entry("p", 0),
        entry("q", 0, { ageMs: LOAD_ENTRY_FRESH_MS + 1 }),
      ));
      expect(bound.decide({ ...above, loadTokens: 1 }, NOW_MS)).toMatchObject({
        admitted: false,
        rule: "enforced",
      });
    });
  });
});
