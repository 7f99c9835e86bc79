import { describe, expect, it } from "vitest";
import {
  DirectoryWatcherElection,
  type WatchRole,
} from "./directory_watcher_election.js";

const ROUND_MS = 400;

/** A fleet in which each watcher reports to its neighbours once a round. */
class Fleet {
  readonly #elections: Map<string, DirectoryWatcherElection>;
  readonly #reaches: (from: string, to: string) => boolean;
  readonly stalled = new Set<string>();
  watching: string[];
  #nowMs = 0;

  constructor(
    size: number,
    reaches: (from: string, to: string) => boolean = () => true,
  ) {
    const ids = Array.from({ length: size }, (_, i) => `router-${i}`);
    this.#elections = new Map(
      ids.map((id) => [id, new DirectoryWatcherElection(id)]),
    );
    this.#reaches = reaches;
    this.watching = ids;
  }

  run(rounds: number): void {
    for (let i = 0; i < rounds; i++) {
      this.#nowMs += ROUND_MS;
      for (const from of this.watching) {
        for (const [to, election] of this.#elections) {
          if (
            from !== to && !this.stalled.has(from) && this.#reaches(from, to)
          ) {
            election.recordWatcher(from, this.#nowMs);
          }
        }
      }
      this.watching = [...this.#elections]
        .filter(([, election]) =>
          election.decide(this.#elections.size, this.#nowMs) !== "follower"
        )
        .map(([id]) => id);
    }
  }

  get roles(): WatchRole[] {
    return [...this.#elections.values()].map(({ role }) => role);
  }

  /** Number of working watchers whose reports reach a router. */
  watchersReaching(to: string): number {
    return this.watching.filter((from) =>
      from !== to && !this.stalled.has(from) && this.#reaches(from, to)
    ).length;
  }
}

describe("DirectoryWatcherElection", () => {
  it("elects one watcher in a small fleet and keeps it", () => {
    const fleet = new Fleet(8);
    fleet.run(10);
    const elected = fleet.watching;
    fleet.run(50);
    expect(elected).toHaveLength(1);
    expect(fleet.watching).toEqual(elected);
  });

  // A silent connection is noticed only by routers that ask often.
  it("replaces the watcher of a small fleet three rounds after it stalls", () => {
    const fleet = new Fleet(4);
    fleet.run(10);
    for (let i = 0; i < 3; i++) {
      fleet.stalled.add(fleet.watching.find((id) => !fleet.stalled.has(id))!);
      fleet.run(3);
      const working = fleet.watching.filter((id) => !fleet.stalled.has(id));
      expect(working.length).toBeGreaterThanOrEqual(1);
    }
  });

  it("has one first watcher in a connected fleet of any size", () => {
    for (const size of [1, 3, 8, 9, 28]) {
      const fleet = new Fleet(size);
      fleet.run(10);
      expect(fleet.roles.filter((role) => role === "first")).toHaveLength(1);
    }
  });

  it("elects four watchers in a large fleet and keeps them", () => {
    const fleet = new Fleet(28);
    fleet.run(10);
    const elected = fleet.watching;
    fleet.run(50);
    expect(elected).toHaveLength(4);
    expect(fleet.watching).toEqual(elected);
  });

  it("has two working watchers three rounds after any one stalls", () => {
    const fleet = new Fleet(21);
    fleet.run(10);
    for (let i = 0; i < 12; i++) {
      fleet.stalled.add(fleet.watching.find((id) => !fleet.stalled.has(id))!);
      fleet.run(3);
      const working = fleet.watching.filter((id) => !fleet.stalled.has(id));
      expect(working.length).toBeGreaterThanOrEqual(2);
    }
  });

  it("gives every router two watchers in a partially connected fleet", () => {
    const size = 390;
    const indexOf = (id: string) => Number(id.split("-")[1]);
    const fleet = new Fleet(size, (from, to) => {
      const distance = (indexOf(from) - indexOf(to) + size) % size;
      return Math.min(distance, size - distance) <= 16;
    });
    fleet.run(20);
    expect(fleet.watching.length).toBeLessThan(size / 4);
    for (let i = 0; i < size; i++) {
      const id = `router-${i}`;
      expect(fleet.watching.includes(id) || fleet.watchersReaching(id) >= 2)
        .toBe(true);
    }
  });

  it("watches at once after a pause in which no watcher reported", () => {
    const fleet = new Fleet(9);
    fleet.run(10);
    const nonWatching = new DirectoryWatcherElection("router-8");
    const watchers = Array.from({ length: 8 }, (_, i) => `router-${i}`);
    for (const id of watchers) {
      nonWatching.recordWatcher(id, 0);
    }
    expect(nonWatching.decide(9, 0)).toBe("follower");
    expect(nonWatching.decide(9, 30_000)).toBe("first");
  });
});
