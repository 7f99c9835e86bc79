import type { Millis } from "../clock.js";
import { DirectEndpoint } from "./direct_endpoint.js";
import { type EndpointRecord, UNKNOWN_INCARNATION } from "./routing_config.js";

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

/** How far the list of endpoints can be trusted when a change is applied. */
export interface ChangeContext {
  /**
   * How long a ready endpoint is kept as lapsed when it is no longer listed. 0
   * removes it at once; used while the directory is reliable.
   */
  readonly lapsedRetentionMs: Millis;
  /**
   * The directory was just restored from an older copy. It may list endpoints
   * that have left, or list draining endpoints as ready.
   */
  readonly mayBeOutdated: boolean;
}

/** Number of removed endpoints that are remembered. */
const MAX_REMOVED_ENDPOINTS = 1000;

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
    /** The same process has another address. */
    | "moved"
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
  /** Arrays of the endpoints of services; cleared whenever these change. */
  readonly #lists = new Map<string, readonly DirectEndpoint[]>();
  /**
   * Processes whose entry the directory removed or replaced, by id; the one that
   * was removed last comes last. If an entry returns, what its process said of
   * itself still holds.
   */
  readonly #removed = new Map<string, DirectEndpoint>();
  /**
   * Records of a directory that may be outdated which contradict newer
   * knowledge, by id. They are applied when the directory is up to date and
   * still lists them.
   */
  readonly #deferredRecords = new Map<string, EndpointRecord>();

  get(id: string): DirectEndpoint | undefined {
    return this.#endpoints.get(id);
  }

  get size(): number {
    return this.#endpoints.size;
  }

  all(): Iterable<DirectEndpoint> {
    return this.#endpoints.values();
  }

  /** Returns the same array until an endpoint of the service is added or removed. */
  ofService(service: string): readonly DirectEndpoint[] {
    const known = this.#lists.get(service);
    if (known) {
      return known;
    }
    const list = [...this.#byService.get(service) ?? []];
    if (list.length > 0) {
      this.#lists.set(service, list);
    }
    return list;
  }

  /** Applies a change of the list and returns the changed endpoints. */
  apply(
    change: EndpointChange,
    nowMs: Millis,
    { lapsedRetentionMs, mayBeOutdated }: ChangeContext,
  ): EndpointTransition[] {
    const transitions: EndpointTransition[] = [];
    for (const listed of change.upserts) {
      const record = this.#withKnownStart(listed);
      this.#deferredRecords.delete(record.id);
      if (mayBeOutdated && this.#contradictsNewerKnowledge(record)) {
        this.#deferredRecords.set(record.id, record);
        continue;
      }
      const transition = this.#upsert(record, nowMs);
      if (transition) {
        transitions.push(transition);
      }
    }
    for (const id of this.#removedIds(change)) {
      this.#deferredRecords.delete(id);
      const endpoint = this.#endpoints.get(id);
      if (!endpoint || endpoint.lapsedUntilMs !== undefined) {
        continue;
      }
      if (lapsedRetentionMs > 0 && endpoint.isReady) {
        endpoint.lapsedUntilMs = nowMs + lapsedRetentionMs;
        transitions.push(transitionOf(endpoint.record, "lapsed"));
      } else {
        this.#remove(endpoint);
        transitions.push(transitionOf(endpoint.record, "removed"));
      }
    }
    return transitions;
  }

  /** Applies the records that were deferred while the directory was outdated. */
  applyDeferredRecords(nowMs: Millis): EndpointTransition[] {
    const transitions = [...this.#deferredRecords.values()].flatMap((record) =>
      this.#upsert(record, nowMs) ?? []
    );
    this.#deferredRecords.clear();
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

  /**
   * Whether the record shows an endpoint as ready that is known to be draining
   * or to have been removed.
   */
  #contradictsNewerKnowledge(record: EndpointRecord): boolean {
    const known = this.#endpoints.get(record.id);
    return known
      ? known.record.state === "draining" && record.state === "ready" &&
        !isOtherProcess(known.record, record)
      : this.#removed.get(record.id)?.record.incarnation === record.incarnation;
  }

  /**
   * An entry may lack the start of its process, which does not make it another
   * one: the address then tells whether it is the process that is known.
   */
  #withKnownStart(record: EndpointRecord): EndpointRecord {
    const { id, incarnation } = record;
    const known = (this.#endpoints.get(id) ?? this.#removed.get(id))?.record;
    return incarnation === UNKNOWN_INCARNATION &&
        known?.address === record.address && known.service === record.service
      ? { ...record, incarnation: known.incarnation }
      : record;
  }

  /** Returns what is known of the record's process; it may be listed again. */
  #endpointOf(record: EndpointRecord): DirectEndpoint {
    const removed = this.#removed.get(record.id);
    if (!removed || isOtherProcess(removed.record, record)) {
      return new DirectEndpoint(record);
    }
    this.#removed.delete(record.id);
    removed.record = record;
    removed.lapsedUntilMs = undefined;
    return removed;
  }

  #upsert(
    record: EndpointRecord,
    nowMs: Millis,
  ): EndpointTransition | undefined {
    const known = this.#endpoints.get(record.id);
    if (!known) {
      this.#add(this.#endpointOf(record));
      return transitionOf(record, "added");
    }
    if (record.incarnation < known.record.incarnation) {
      return undefined;
    }
    if (isOtherProcess(known.record, record)) {
      // Another object, since requests in flight refer to the old one until they
      // end.
      const endpoint = this.#endpointOf(record);
      endpoint.takeOverBackoff(known, nowMs);
      this.#remove(known);
      this.#add(endpoint);
      return transitionOf(record, "restarted");
    }
    const previous = known.record;
    known.record = record;
    known.lapsedUntilMs = undefined;
    if (previous.state !== record.state) {
      return transitionOf(record, record.state);
    }
    return previous.address === record.address
      ? undefined
      : transitionOf(record, "moved");
  }

  #add(endpoint: DirectEndpoint): void {
    this.#endpoints.set(endpoint.id, endpoint);
    this.#lists.delete(endpoint.record.service);
    const set = this.#byService.get(endpoint.record.service) ?? new Set();
    set.add(endpoint);
    this.#byService.set(endpoint.record.service, set);
  }

  #remove(endpoint: DirectEndpoint): void {
    this.#endpoints.delete(endpoint.id);
    this.#lists.delete(endpoint.record.service);
    const set = this.#byService.get(endpoint.record.service);
    set?.delete(endpoint);
    if (set?.size === 0) {
      this.#byService.delete(endpoint.record.service);
    }
    this.#removed.delete(endpoint.id);
    this.#removed.set(endpoint.id, endpoint);
    if (this.#removed.size > MAX_REMOVED_ENDPOINTS) {
      const [oldestId] = this.#removed.keys();
      this.#removed.delete(oldestId!);
    }
  }
}

/** The address tells processes apart only if it is not known when they started. */
function isOtherProcess(a: EndpointRecord, b: EndpointRecord): boolean {
  return a.incarnation !== b.incarnation || a.service !== b.service ||
    a.incarnation === UNKNOWN_INCARNATION && a.address !== b.address;
}

function transitionOf(
  { id, service }: EndpointRecord,
  change: EndpointTransition["change"],
): EndpointTransition {
  return { endpointId: id, service, change };
}
