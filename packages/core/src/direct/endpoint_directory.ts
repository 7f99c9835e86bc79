import type { Millis } from "../clock.js";
import { DirectEndpoint } from "./direct_endpoint.js";
import type { EndpointRecord } from "./routing_config.js";

/** A change of the endpoint list in the platform's directory. */
export interface EndpointChange {
  readonly upserts: readonly EndpointRecord[];
  readonly removedIds: readonly string[];
  /**
   * Whether `upserts` is the complete list, so all other endpoints were
   * removed.
   */
  readonly isSnapshot: boolean;
}

/**
 * How a directory update changed the state of one endpoint; written to the log.
 */
export interface EndpointTransition {
  readonly endpointId: string;
  readonly service: string;
  readonly change:
    | "added"
    | "restarted"
    | "draining"
    | "ready"
    | "removed"
    /**
     * Removed from the list, but kept until {@link DirectEndpoint.lapsedUntilMs}.
     */
    | "lapsed";
}

/** The endpoints that the directory lists or listed until recently. */
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
   * Applies a change of the list and returns the changed endpoints.
   *
   * @param lapsedRetentionMs How long a ready endpoint is kept as lapsed when
   *   it is no longer listed. 0 removes it at once; used while the directory is
   *   reliable.
   */
  apply(
    change: EndpointChange,
    nowMs: Millis,
    lapsedRetentionMs: Millis,
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
      if (!endpoint || endpoint.lapsedUntilMs !== undefined) {
        continue;
      }
      if (lapsedRetentionMs > 0 && endpoint.record.state === "ready") {
        endpoint.lapsedUntilMs = nowMs + lapsedRetentionMs;
        transitions.push(transitionOf(endpoint.record, "lapsed"));
      } else {
        this.#remove(endpoint);
        transitions.push(transitionOf(endpoint.record, "removed"));
      }
    }
    return transitions;
  }

  /** Removes lapsed endpoints whose `lapsedUntilMs` has passed. */
  removeLapsed(nowMs: Millis): EndpointTransition[] {
    const transitions: EndpointTransition[] = [];
    for (const endpoint of this.#endpoints.values()) {
      if (
        endpoint.lapsedUntilMs !== undefined && nowMs >= endpoint.lapsedUntilMs
      ) {
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
      // A new object, since requests in flight refer to the old one until they
      // end.
      this.#remove(known);
      this.#add(new DirectEndpoint(record));
      return transitionOf(record, "restarted");
    }
    const previousState = known.record.state;
    known.record = record;
    known.lapsedUntilMs = undefined;
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
