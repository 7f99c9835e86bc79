import type { Fleet } from "../fleet/fleet.js";
import { callJson } from "../fleet/json_client.js";
import { percentile } from "../percentile.js";
import { round } from "../report/load_summary.js";
import { configVersionOf } from "./config_convergence.js";

const POLL_MS = 50;

export interface ConfigSummary {
  /** Number of times a router reported a lower version than before. */
  readonly reverts: number;
  /**
   * Number of versions that were in force on a router but never accepted. Each
   * version counts once per router.
   */
  readonly versions_never_accepted: number;
  readonly converge_p50_ms: number;
  /** Excludes paused routers and the changes that overlap a store outage. */
  readonly converge_max_ms: number;
  /**
   * Number of accepted changes that were never seen in force on all polled
   * routers.
   */
  readonly never_converged: number;
  readonly changes_measured: number;
}

interface Change {
  readonly version: number;
  readonly acceptedMs: number;
  /** False if the store was unavailable between acceptance and convergence. */
  isMeasured: boolean;
  convergedMs: number | undefined;
}

/** Polls the versions in force on all routers and measures convergence. */
export class ConfigMonitor {
  readonly #timer: NodeJS.Timeout;
  readonly #changes = new Map<number, Change>();
  readonly #versionByRouterId = new Map<string, number>();
  /**
   * Pairs of a router ID and a version that the router reported, in the form
   * `ID VERSION`.
   */
  readonly #reportedVersions = new Set<string>();
  readonly #excludedRouterIds = new Set<string>();
  #highestAccepted = 0;
  #isStoreAvailable = true;
  #reverts = 0;
  #isPolling = false;
  #storeReads = 0;

  constructor(private readonly fleet: Fleet) {
    this.#timer = setInterval(() => void this.#poll(), POLL_MS);
  }

  /** Number of reads of the object API that the monitor has made. */
  get storeReads(): number {
    return this.#storeReads;
  }

  /**
   * Set this when the store becomes unavailable and when it becomes available
   * again. Each assignment excludes from the measurement the changes that have
   * not converged by then.
   */
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
   * Leaves a paused router out of the polls until {@link include}. If the
   * router reverts in this time, the first poll after `include` counts the
   * revert.
   */
  exclude(routerId: string): void {
    this.#excludedRouterIds.add(routerId);
  }

  include(routerId: string): void {
    this.#excludedRouterIds.delete(routerId);
  }

  summarize(): ConfigSummary {
    const measuredChanges = [...this.#changes.values()]
      .filter((change) => change.isMeasured);
    const convergenceTimes = measuredChanges.flatMap((change) =>
      change.convergedMs === undefined
        ? []
        : [change.convergedMs - change.acceptedMs]
    );
    // Version numbers have no gaps, so every version up to the highest accepted
    // one was accepted.
    const neverAcceptedVersions = [...this.#reportedVersions].filter((pair) =>
      Number(pair.split(" ")[1]) > this.#highestAccepted
    );
    return {
      reverts: this.#reverts,
      versions_never_accepted: neverAcceptedVersions.length,
      converge_p50_ms: round(percentile(convergenceTimes, 50)),
      converge_max_ms: round(Math.max(...convergenceTimes)),
      never_converged: [...this.#changes.values()]
        .filter((change) => change.convergedMs === undefined).length,
      changes_measured: measuredChanges.length,
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
      !this.#excludedRouterIds.has(router.id)
    );
    const versions = await Promise.all(routers.map(configVersionOf));
    routers.forEach((router, i) => this.#recordVersion(router.id, versions[i]));
    const knownVersions = versions.filter((version) => version !== undefined);
    if (knownVersions.length === routers.length) {
      this.#markConverged(Math.min(...knownVersions));
    }
    this.#isPolling = false;
  }

  /**
   * Reads the version in force from the store and records it as accepted. The
   * operator who activated this version may not have received the answer.
   */
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
    if (version < (this.#versionByRouterId.get(routerId) ?? 0)) {
      this.#reverts++;
    }
    this.#versionByRouterId.set(routerId, version);
  }

  #markConverged(lowestVersion: number): void {
    const nowMs = performance.now();
    for (const change of this.#changes.values()) {
      if (change.version <= lowestVersion && change.convergedMs === undefined) {
        change.convergedMs = nowMs;
      }
    }
  }
}
