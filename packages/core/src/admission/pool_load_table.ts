import type { Millis } from "../clock.js";
import type { LoadTableEntry } from "../wire/messages.js";

/** Entries older than this are excluded from the mean load and from digests. */
export const LOAD_ENTRY_FRESH_MS: Millis = 5_000;

/** Maximum number of entries in one load digest. */
export const MAX_DIGEST_ENTRIES = 32;

/**
 * A peer that the instance list does not name is removed when its newest entry
 * is older than this. The time is long enough for a new peer to appear in the
 * list first.
 */
export const LOAD_ENTRY_RETENTION_MS: Millis = 30_000;

/** State and load of an endpoint as its sidecar reported them. */
export type EndpointLoad = Omit<LoadTableEntry, "ageMs">;

/** Peer counts and load of a pool, without the local endpoint. */
export interface PoolSummary {
  /** Number of active peers, plus listed peers that have not reported yet. */
  readonly knownPeers: number;
  /** Number of active peers with a fresh entry. */
  readonly freshPeers: number;
  /** Sum of the loads of the peers counted in `freshPeers`. */
  readonly freshLoadTokens: number;
}

interface TableEntry {
  readonly entry: Omit<LoadTableEntry, "ageMs">;
  /** Local monotonic time at which the peer reported the load. */
  readonly reportedAtMs: Millis;
}

/**
 * Last reported loads of the other endpoints in the pool of a sidecar.
 *
 * Messages carry ages instead of times, so clocks of different instances are
 * never compared. Of two entries for one peer, the table keeps the one with the
 * newer incarnation, or with the later report if the incarnations are equal.
 */
export class PoolLoadTable {
  readonly #localId: string;
  readonly #entries = new Map<string, TableEntry>();
  #listedIds: ReadonlySet<string> = new Set();

  constructor(localId: string) {
    this.#localId = localId;
  }

  /**
   * Sets the ids of the pool's endpoints that the instance list names as live.
   */
  setListedPeers(endpointIds: Iterable<string>): void {
    const listed = new Set(endpointIds);
    listed.delete(this.#localId);
    this.#listedIds = listed;
  }

  /**
   * Applies the entries of a received load digest. An entry that is not newer
   * than the known entry of the same peer is ignored.
   */
  merge(entries: readonly LoadTableEntry[], nowMs: Millis): void {
    for (const { ageMs, ...entry } of entries) {
      if (
        entry.endpointId === this.#localId || ageMs > LOAD_ENTRY_RETENTION_MS
      ) {
        continue;
      }
      const reportedAtMs = nowMs - ageMs;
      const known = this.#entries.get(entry.endpointId);
      if (known === undefined || isNewer(entry, reportedAtMs, known)) {
        this.#entries.set(entry.endpointId, {
          entry,
          reportedAtMs,
        });
      }
    }
    this.#removeExpired(nowMs);
  }

  /**
   * Entries to send to a peer: the local one and the freshest others, at most
   * 32 in all.
   */
  digest(local: EndpointLoad, nowMs: Millis): LoadTableEntry[] {
    const fresh = this.#freshEntries(nowMs)
      .sort((a, b) => b.reportedAtMs - a.reportedAtMs)
      .slice(0, MAX_DIGEST_ENTRIES - 1)
      .map(({ entry, reportedAtMs }) => ({
        ...entry,
        ageMs: Math.max(0, nowMs - reportedAtMs),
      }));
    return [{ ...local, ageMs: 0 }, ...fresh];
  }

  /** Up to `count` active peers with a fresh entry, least loaded first. */
  leastLoaded(count: number, nowMs: Millis): EndpointLoad[] {
    return this.#freshEntries(nowMs)
      .map(({ entry }) => entry)
      .filter((entry) => entry.state === "active")
      .sort((a, b) => a.loadTokens - b.loadTokens)
      .slice(0, count);
  }

  /** Addresses of the peers to which a load digest can be sent. */
  addresses(): string[] {
    return [...this.#entries.values()]
      .filter(({ entry }) => entry.state !== "down")
      .map(({ entry }) => entry.address);
  }

  summarize(nowMs: Millis): PoolSummary {
    let knownPeers = 0;
    let freshPeers = 0;
    let freshLoadTokens = 0;
    for (const id of this.#listedIds) {
      // The peer is listed, but has not reported yet.
      if (!this.#entries.has(id)) {
        knownPeers++;
      }
    }
    for (const { entry, reportedAtMs } of this.#entries.values()) {
      if (
        entry.state !== "active" || this.#isExpired(entry, reportedAtMs, nowMs)
      ) {
        continue;
      }
      knownPeers++;
      if (nowMs - reportedAtMs <= LOAD_ENTRY_FRESH_MS) {
        freshPeers++;
        freshLoadTokens += entry.loadTokens;
      }
    }
    return { knownPeers, freshPeers, freshLoadTokens };
  }

  #freshEntries(nowMs: Millis): TableEntry[] {
    return [...this.#entries.values()]
      .filter(({ reportedAtMs }) =>
        nowMs - reportedAtMs <= LOAD_ENTRY_FRESH_MS
      );
  }

  #isExpired(
    entry: TableEntry["entry"],
    reportedAtMs: Millis,
    nowMs: Millis,
  ): boolean {
    return nowMs - reportedAtMs > LOAD_ENTRY_RETENTION_MS &&
      !this.#listedIds.has(entry.endpointId);
  }

  #removeExpired(nowMs: Millis): void {
    for (const [id, { entry, reportedAtMs }] of this.#entries) {
      if (this.#isExpired(entry, reportedAtMs, nowMs)) {
        this.#entries.delete(id);
      }
    }
  }
}

function isNewer(
  entry: TableEntry["entry"],
  reportedAtMs: Millis,
  known: TableEntry,
): boolean {
  if (entry.incarnation !== known.entry.incarnation) {
    return entry.incarnation > known.entry.incarnation;
  }
  return reportedAtMs > known.reportedAtMs;
}
