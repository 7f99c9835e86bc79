import type { Millis } from "../clock.js";
import { DirectEndpoint } from "./direct_endpoint.js";
import type { EndpointRecord } from "./routing_config.js";

/** A change of the platform's endpoint list. */
export interface EndpointChange {
  readonly upserts: readonly EndpointRecord[];
  readonly removedIds: readonly string[];
  /** `upserts` is the complete list: endpoints not in it were removed. */
  readonly isSnapshot: boolean;
}

/** Effect of a change on one endpoint, for the log. */
export interface EndpointTransition {
  readonly endpointId: string;
  readonly service: string;
  readonly change:
    | "added"
    | "restarted"
    | "draining"
    | "ready"
    | "removed"
    /** Removed from the list, but kept until `expiresAtMs`. */
    | "lapsed";
}

/** The endpoints that the platform lists, by id and by service. */
export class EndpointDirectory {
  readonly #endpoints = new Map<string, DirectEndpoint>();
  readonly #byService = new Map<string, Set<DirectEndpoint>>();

  get(id: string): DirectEndpoint | undefined {
    return this.#endpoints.get(id);
  }

  get size(): number {
    return this.#endpoints.size;
  }

  all(): Iterable<DirectEndpoint> {
    return this.#endpoints.values();
  }

  ofService(service: string): DirectEndpoint[] {
    return [...this.#byService.get(service) ?? []];
  }

  /**
   * Applies a change and returns its effects.
   *
   * @param retentionMs How long removed entries are kept as a last resort; 0
   *   when the directory is reliable and removals take effect at once.
   */
  apply(
    change: EndpointChange,
    nowMs: Millis,
    retentionMs: Millis,
  ): EndpointTransition[] {
    const transitions: EndpointTransition[] = [];
    for (const record of change.upserts) {
      const transition = this.#upsert(record);
      if (transition) {
        transitions.push(transition);
      }
    }
    for (const id of this.#removedIds(change)) {
      const endpoint = this.#endpoints.get(id);
      if (!endpoint || endpoint.expiresAtMs !== undefined) {
        continue;
      }
      if (retentionMs > 0 && endpoint.record.state === "ready") {
        endpoint.expiresAtMs = nowMs + retentionMs;
        transitions.push(transitionOf(endpoint.record, "lapsed"));
      } else {
        this.#remove(endpoint);
        transitions.push(transitionOf(endpoint.record, "removed"));
      }
    }
    return transitions;
  }

  /** Removes lapsed entries whose retention time is over. */
  expire(nowMs: Millis): EndpointTransition[] {
    const transitions: EndpointTransition[] = [];
    for (const endpoint of this.#endpoints.values()) {
      if (endpoint.expiresAtMs !== undefined && nowMs >= endpoint.expiresAtMs) {
        this.#remove(endpoint);
        transitions.push(transitionOf(endpoint.record, "removed"));
      }
    }
    return transitions;
  }

  #removedIds(change: EndpointChange): string[] {
    if (!change.isSnapshot) {
      return [...change.removedIds];
    }
    const listedIds = new Set(change.upserts.map(({ id }) => id));
    return [...this.#endpoints.keys()].filter((id) => !listedIds.has(id));
  }

  #upsert(record: EndpointRecord): EndpointTransition | undefined {
    const known = this.#endpoints.get(record.id);
    if (!known) {
      this.#add(new DirectEndpoint(record));
      return transitionOf(record, "added");
    }
    if (record.incarnation < known.record.incarnation) {
      return undefined;
    }
    if (isOtherProcess(known.record, record)) {
      // Requests in flight refer to the old object until they end.
      this.#remove(known);
      this.#add(new DirectEndpoint(record));
      return transitionOf(record, "restarted");
    }
    const previousState = known.record.state;
    known.record = record;
    known.expiresAtMs = undefined;
    return previousState === record.state
      ? undefined
      : transitionOf(record, record.state);
  }

  #add(endpoint: DirectEndpoint): void {
    this.#endpoints.set(endpoint.id, endpoint);
    const set = this.#byService.get(endpoint.record.service) ?? new Set();
    set.add(endpoint);
    this.#byService.set(endpoint.record.service, set);
  }

  #remove(endpoint: DirectEndpoint): void {
    this.#endpoints.delete(endpoint.id);
    const set = this.#byService.get(endpoint.record.service);
    set?.delete(endpoint);
    if (set?.size === 0) {
      this.#byService.delete(endpoint.record.service);
    }
  }
}

function isOtherProcess(a: EndpointRecord, b: EndpointRecord): boolean {
  return a.incarnation !== b.incarnation || a.address !== b.address ||
    a.service !== b.service;
}

function transitionOf(
  { id, service }: EndpointRecord,
  change: EndpointTransition["change"],
): EndpointTransition {
  return { endpointId: id, service, change };
}
