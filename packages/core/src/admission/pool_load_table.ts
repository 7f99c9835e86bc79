import type { Millis } from "../clock.js";
import type { LoadTableEntry } from "../wire/messages.js";

/** Entries older than this are left out of the mean. */
export const LOAD_ENTRY_FRESH_MS: Millis = 5_000;

/** Most entries in one digest. */
export const MAX_DIGEST_ENTRIES = 32;

/**
 * Time after which a peer that nobody hears of is forgotten unless the
 * instance list names it. Longer than the list lags behind.
 */
export const LOAD_ENTRY_FORGET_MS: Millis = 30_000;

/** What a sidecar says of its own endpoint. */
export type EndpointLoad = Omit<LoadTableEntry, "ageMs">;

/** Load of the fresh, active peers of a pool, own endpoint not counted. */
export interface PoolSummary {
  /** Peers that may take work, as far as is known. */
  readonly knownPeers: number;
  /** Those of them whose entry is fresh. */
  readonly freshPeers: number;
  /** Sum of the load of the fresh peers. */
  readonly freshLoadTokens: number;
}

interface TableEntry {
  readonly entry: Omit<LoadTableEntry, "ageMs">;
  /** Local monotonic time at which the peer stated the load. */
  readonly statedAtMs: Millis;
}

/**
 * What a sidecar knows of the load of the other endpoints of its pool.
 *
 * Ages travel instead of times, so clocks of different instances are never
 * compared. Of two entries of a peer the newer incarnation wins, and within an
 * incarnation the lower age.
 */
export class PoolLoadTable {
  readonly #selfId: string;
  readonly #entries = new Map<string, TableEntry>();
  #listed: ReadonlySet<string> = new Set();

  constructor(selfId: string) {
    this.#selfId = selfId;
  }

  /** Sets the endpoints of the pool that the instance list names as live. */
  setListedPeers(endpointIds: Iterable<string>): void {
    const listed = new Set(endpointIds);
    listed.delete(this.#selfId);
    this.#listed = listed;
  }

  /** Takes over the entries of a digest that are newer than those held. */
  merge(entries: readonly LoadTableEntry[], nowMs: Millis): void {
    for (const { ageMs, ...entry } of entries) {
      if (entry.endpointId === this.#selfId || ageMs > LOAD_ENTRY_FORGET_MS) {
        continue;
      }
      const statedAtMs = nowMs - ageMs;
      const held = this.#entries.get(entry.endpointId);
      if (held === undefined || isNewer(entry, statedAtMs, held)) {
        this.#entries.set(entry.endpointId, { entry, statedAtMs });
      }
    }
    this.#forgetOld(nowMs);
  }

  /** The own entry and the freshest others, at most 32 in all. */
  digest(own: EndpointLoad, nowMs: Millis): LoadTableEntry[] {
    const fresh = this.#fresh(nowMs)
      .sort((a, b) => b.statedAtMs - a.statedAtMs)
      .slice(0, MAX_DIGEST_ENTRIES - 1)
      .map(({ entry, statedAtMs }) => ({
        ...entry,
        ageMs: Math.max(0, nowMs - statedAtMs),
      }));
    return [{ ...own, ageMs: 0 }, ...fresh];
  }

  /** Fresh, active peers with the least load first. */
  leastLoaded(count: number, nowMs: Millis): EndpointLoad[] {
    return this.#fresh(nowMs)
      .map(({ entry }) => entry)
      .filter((entry) => entry.state === "active")
      .sort((a, b) => a.loadTokens - b.loadTokens)
      .slice(0, count);
  }

  /** Addresses of the peers that may be asked for a digest. */
  addresses(): string[] {
    return [...this.#entries.values()]
      .filter(({ entry }) => entry.state !== "down")
      .map(({ entry }) => entry.address);
  }

  summarize(nowMs: Millis): PoolSummary {
    let knownPeers = 0;
    let freshPeers = 0;
    let freshLoadTokens = 0;
    for (const id of this.#listed) {
      // Listed, but nothing was heard of it yet.
      if (!this.#entries.has(id)) {
        knownPeers++;
      }
    }
    for (const { entry, statedAtMs } of this.#entries.values()) {
      if (
        entry.state !== "active" || this.#isForgotten(entry, statedAtMs, nowMs)
      ) {
        continue;
      }
      knownPeers++;
      if (nowMs - statedAtMs <= LOAD_ENTRY_FRESH_MS) {
        freshPeers++;
        freshLoadTokens += entry.loadTokens;
      }
    }
    return { knownPeers, freshPeers, freshLoadTokens };
  }

  #fresh(nowMs: Millis): TableEntry[] {
    return [...this.#entries.values()]
      .filter(({ statedAtMs }) => nowMs - statedAtMs <= LOAD_ENTRY_FRESH_MS);
  }

  #isForgotten(
    entry: TableEntry["entry"],
    statedAtMs: Millis,
    nowMs: Millis,
  ): boolean {
    return nowMs - statedAtMs > LOAD_ENTRY_FORGET_MS &&
      !this.#listed.has(entry.endpointId);
  }

  #forgetOld(nowMs: Millis): void {
    for (const [id, { entry, statedAtMs }] of this.#entries) {
      if (this.#isForgotten(entry, statedAtMs, nowMs)) {
        this.#entries.delete(id);
      }
    }
  }
}

function isNewer(
  entry: TableEntry["entry"],
  statedAtMs: Millis,
  held: TableEntry,
): boolean {
  if (entry.incarnation !== held.entry.incarnation) {
    return entry.incarnation > held.entry.incarnation;
  }
  return statedAtMs > held.statedAtMs;
}
