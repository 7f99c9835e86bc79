import { describe, expect, it } from "vitest";
import { DirectoryWatcherElection } from "./watch_duty.js";

const ROUND_MS = 400;

/** A fleet in which each router hears its neighbours once a round. */
class Fleet {
  readonly #duties: Map<string, DirectoryWatcherElection>;
  readonly #hears: (from: string, to: string) => boolean;
  readonly silent = new Set<string>();
  watching: string[];
  #nowMs = 0;

  constructor(
    size: number,
    hears: (from: string, to: string) => boolean = () => true,
  ) {
    const ids = Array.from({ length: size }, (_, i) => `router-${i}`);
    this.#duties = new Map(
      ids.map((id) => [id, new DirectoryWatcherElection(id)]),
    );
    this.#hears = hears;
    this.watching = ids;
  }

  run(rounds: number): void {
    for (let i = 0; i < rounds; i++) {
      this.#nowMs += ROUND_MS;
      for (const from of this.watching) {
        for (const [to, duty] of this.#duties) {
          if (from !== to && !this.silent.has(from) && this.#hears(from, to)) {
            duty.recordWatcher(from, this.#nowMs);
          }
        }
      }
      this.watching = [...this.#duties]
        .filter(([, duty]) => duty.decide(this.#duties.size, this.#nowMs))
        .map(([id]) => id);
    }
  }

  /** Watchers that answer, as one router hears them. */
  heardBy(to: string): number {
    return this.watching.filter((from) =>
      from !== to && !this.silent.has(from) && this.#hears(from, to)
    ).length;
  }
}

describe("WatchDuty", () => {
  it("lets every router of a small fleet watch", () => {
    const fleet = new Fleet(8);
    fleet.run(10);
    expect(fleet.watching).toHaveLength(8);
  });

  it("leaves four watchers of a large fleet, and keeps them", () => {
    const fleet = new Fleet(28);
    fleet.run(10);
    const first = fleet.watching;
    fleet.run(50);
    expect(first).toHaveLength(4);
    expect(fleet.watching).toEqual(first);
  });

  it("keeps two watchers that answer within three rounds, whichever stop", () => {
    const fleet = new Fleet(21);
    fleet.run(10);
    for (let lost = 0; lost < 12; lost++) {
      fleet.silent.add(fleet.watching.find((id) => !fleet.silent.has(id))!);
      fleet.run(3);
      const answering = fleet.watching.filter((id) => !fleet.silent.has(id));
      expect(answering.length).toBeGreaterThanOrEqual(2);
    }
  });

  it("gives every router two watchers in a fleet that is not fully connected", () => {
    const size = 390;
    const number = (id: string) => Number(id.split("-")[1]);
    const fleet = new Fleet(size, (from, to) => {
      const distance = (number(from) - number(to) + size) % size;
      return Math.min(distance, size - distance) <= 16;
    });
    fleet.run(20);
    expect(fleet.watching.length).toBeLessThan(size / 4);
    for (let i = 0; i < size; i++) {
      const id = `router-${i}`;
      expect(fleet.watching.includes(id) || fleet.heardBy(id) >= 2).toBe(true);
    }
  });

  it("watches at once after a pause in which nobody was heard", () => {
    const fleet = new Fleet(9);
    fleet.run(10);
    const resting = new DirectoryWatcherElection("router-8");
    const watchers = Array.from({ length: 8 }, (_, i) => `router-${i}`);
    for (const id of watchers) {
      resting.recordWatcher(id, 0);
    }
    expect(resting.decide(9, 0)).toBe(false);
    expect(resting.decide(9, 30_000)).toBe(true);
  });
});
