import type { Millis } from "../clock.js";
import type { EndpointRecord } from "./routing_config.js";
import { ORIGIN_RETENTION_MS } from "./stream_origins.js";

/** Time within which nearly all streams end, the calls that take them up included. */
const USUAL_LIFETIME_MS: Millis = 20_000;

/** Software versions of the endpoints of a service. */
export interface ServiceVersions {
  readonly service: string;
  /** In lexical order; the empty string stands for entries without a version. */
  readonly versions: readonly string[];
}

/**
 * Which software versions serve or served of late, by service. A stream of a
 * version that has left may still be taken up.
 */
export class VersionHistory {
  /** When versions served last, by service; `Infinity` for those that serve. */
  readonly #services = new Map<string, Map<string, Millis>>();

  /** Applies the list of all endpoints. */
  update(nowMs: Millis, records: Iterable<EndpointRecord>): void {
    for (const versions of this.#services.values()) {
      for (const [version, lastServedMs] of versions) {
        versions.set(version, Math.min(lastServedMs, nowMs));
      }
    }
    for (const { service, softwareVersion } of records) {
      this.#versionsOf(service).set(softwareVersion ?? "", Infinity);
    }
  }

  /** Records that versions served until now, as another router knows. */
  recordServed(nowMs: Millis, services: readonly ServiceVersions[]): void {
    for (const { service, versions } of services) {
      const known = this.#versionsOf(service);
      for (const version of versions) {
        known.set(version, Math.max(nowMs, known.get(version) ?? nowMs));
      }
    }
  }

  /** Versions of a service that serve or served of late. */
  servedOfLate(
    service: string,
    nowMs: Millis,
    retentionMs: Millis = ORIGIN_RETENTION_MS,
  ): readonly string[] {
    const versions = this.#services.get(service) ?? new Map<string, Millis>();
    return [...versions.keys()].filter((version) =>
      nowMs - versions.get(version)! < retentionMs
    ).sort();
  }

  /**
   * Whether streams of a service that are taken up may be of different versions,
   * but for rare ones that last long.
   */
  hasSeveral(service: string, nowMs: Millis): boolean {
    return this.servedOfLate(service, nowMs, USUAL_LIFETIME_MS).length > 1;
  }

  /** Versions of all services that serve or served of late. */
  all(nowMs: Millis): ServiceVersions[] {
    return [...this.#services.keys()].sort()
      .map((service) => ({
        service,
        versions: this.servedOfLate(service, nowMs),
      }))
      .filter(({ versions }) => versions.length > 0);
  }

  #versionsOf(service: string): Map<string, Millis> {
    const known = this.#services.get(service);
    if (known) {
      return known;
    }
    const created = new Map<string, Millis>();
    this.#services.set(service, created);
    return created;
  }
}
