import type { Fleet } from "../fleet/fleet.js";
import { callJson } from "../fleet/json_client.js";
import { percentile } from "../percentile.js";
import { round } from "../report/load_summary.js";
import { configVersionOf } from "./config_convergence.js";

const POLL_MS = 50;

export interface ConfigSummary {
  /** Number of times a router reported a lower version than before. */
  readonly reverts: number;
  /** Pairs of a router and a version in force there that was never accepted. */
  readonly versions_never_accepted: number;
  readonly converge_p50_ms: number;
  /** Excludes changes that overlap a store outage, and paused routers. */
  readonly converge_max_ms: number;
  readonly never_converged: number;
  readonly changes_measured: number;
}

interface Change {
  readonly version: number;
  readonly acceptedMs: number;
  /** False if the store was unavailable before the change converged. */
  isMeasured: boolean;
  convergedMs: number | undefined;
}

/** Polls the versions in force on all routers and measures convergence. */
export class ConfigMonitor {
  readonly #timer: NodeJS.Timeout;
  readonly #changes = new Map<number, Change>();
  readonly #versions = new Map<string, number>();
  /** Pairs `router version` that were reported. */
  readonly #reportedVersions = new Set<string>();
  readonly #excluded = new Set<string>();
  #highestAccepted = 0;
  #isStoreAvailable = true;
  #reverts = 0;
  #isPolling = false;
  #storeReads = 0;

  constructor(private readonly fleet: Fleet) {
    this.#timer = setInterval(() => void this.#poll(), POLL_MS);
  }

  /** Number of reads of the object API by the monitor itself. */
  get storeReads(): number {
    return this.#storeReads;
  }

  /** Changes that have not converged when this is set are not measured. */
  set isStoreAvailable(isAvailable: boolean) {
    this.#isStoreAvailable = isAvailable;
    for (const change of this.#changes.values()) {
      if (change.convergedMs === undefined) {
        change.isMeasured = false;
      }
    }
  }

  /** Records an accepted change; repeated calls for a version are harmless. */
  recordAccepted(version: number): void {
    this.#highestAccepted = Math.max(this.#highestAccepted, version);
    if (!this.#changes.has(version)) {
      this.#changes.set(version, {
        version,
        acceptedMs: performance.now(),
        isMeasured: this.#isStoreAvailable,
        convergedMs: undefined,
      });
    }
  }

  /**
   * Leaves a paused router out of the polls until {@link include}. A revert is
   * counted by the first poll after that.
   */
  exclude(routerId: string): void {
    this.#excluded.add(routerId);
  }

  include(routerId: string): void {
    this.#excluded.delete(routerId);
  }

  summarize(): ConfigSummary {
    const measured = [...this.#changes.values()]
      .filter((change) => change.isMeasured);
    const times = measured.flatMap((change) =>
      change.convergedMs === undefined
        ? []
        : [change.convergedMs - change.acceptedMs]
    );
    // Version numbers have no gaps, so every version up to the highest accepted
    // one was accepted.
    const neverAccepted = [...this.#reportedVersions].filter((pair) =>
      Number(pair.split(" ")[1]) > this.#highestAccepted
    );
    return {
      reverts: this.#reverts,
      versions_never_accepted: neverAccepted.length,
      converge_p50_ms: round(percentile(times, 50)),
      converge_max_ms: round(Math.max(...times)),
      never_converged: [...this.#changes.values()]
        .filter((change) => change.convergedMs === undefined).length,
      changes_measured: measured.length,
    };
  }

  dispose(): void {
    clearInterval(this.#timer);
  }

  async #poll(): Promise<void> {
    if (this.#isPolling) {
      return;
    }
    this.#isPolling = true;
    await this.#readActiveVersion();
    const routers = this.fleet.routers.filter((router) =>
      !this.#excluded.has(router.id)
    );
    const versions = await Promise.all(routers.map(configVersionOf));
    routers.forEach((router, i) => this.#recordVersion(router.id, versions[i]));
    const known = versions.filter((version) => version !== undefined);
    if (known.length === routers.length) {
      this.#markConverged(Math.min(...known));
    }
    this.#isPolling = false;
  }

  /** Records accepted changes whose answer to the operator was lost. */
  async #readActiveVersion(): Promise<void> {
    const { controlUrl } = this.fleet.objectApi;
    this.#storeReads++;
    try {
      const answer = await callJson(`${controlUrl}/objects/config/active`);
      const object = answer.body as { readonly value: { version: number } };
      this.recordAccepted(object.value.version);
    } catch {
      // The control port stays reachable in an outage; the next poll retries.
    }
  }

  #recordVersion(routerId: string, version: number | undefined): void {
    if (version === undefined) {
      return;
    }
    this.#reportedVersions.add(`${routerId} ${version}`);
    if (version < (this.#versions.get(routerId) ?? 0)) {
      this.#reverts++;
    }
    this.#versions.set(routerId, version);
  }

  #markConverged(lowest: number): void {
    const nowMs = performance.now();
    for (const change of this.#changes.values()) {
      if (change.version <= lowest && change.convergedMs === undefined) {
        change.convergedMs = nowMs;
      }
    }
  }
}
