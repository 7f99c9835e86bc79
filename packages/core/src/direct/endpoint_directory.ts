import type { Millis } from "../clock.js";
import { DirectEndpoint } from "./direct_endpoint.js";
import type { EndpointRecord } from "./routing_config.js";

/** A change of the platform's list of endpoints. */
export interface EndpointChange {
  readonly upserts: readonly EndpointRecord[];
  readonly removedIds: readonly string[];
  /** The change is a whole list: what it does not name is gone. */
  readonly isSnapshot: boolean;
}

/** What a change meant to the directory, for the log. */
export interface DirectoryNote {
  readonly endpointId: string;
  readonly service: string;
  readonly change:
    | "added"
    | "restarted"
    | "draining"
    | "ready"
    | "removed"
    | "lapsed";
}

/** The endpoints that the platform lists, by id and by service. */
export class EndpointDirectory {
  readonly #views = new Map<string, DirectEndpoint>();
  readonly #byService = new Map<string, Set<DirectEndpoint>>();

  get(id: string): DirectEndpoint | undefined {
    return this.#views.get(id);
  }

  get size(): number {
    return this.#views.size;
  }

  all(): Iterable<DirectEndpoint> {
    return this.#views.values();
  }

  ofService(service: string): DirectEndpoint[] {
    return [...this.#byService.get(service) ?? []];
  }

  /**
   * Applies a change.
   *
   * @param lapseMs How long removed entries are kept as a last choice; 0 when
   *   the directory was undisturbed and a removal is to be believed at once.
   */
  apply(
    change: EndpointChange,
    nowMs: Millis,
    lapseMs: Millis,
  ): DirectoryNote[] {
    const notes: DirectoryNote[] = [];
    for (const record of change.upserts) {
      const note = this.#upsert(record);
      if (note) {
        notes.push(note);
      }
    }
    for (const id of this.#removed(change)) {
      const view = this.#views.get(id);
      if (!view || view.lapsedUntilMs !== undefined) {
        continue;
      }
      if (lapseMs > 0 && view.record.state === "ready") {
        view.lapsedUntilMs = nowMs + lapseMs;
        notes.push(noteOf(view.record, "lapsed"));
      } else {
        this.#remove(view);
        notes.push(noteOf(view.record, "removed"));
      }
    }
    return notes;
  }

  /** Removes entries that lapsed and did not come back in time. */
  expire(nowMs: Millis): DirectoryNote[] {
    const notes: DirectoryNote[] = [];
    for (const view of this.#views.values()) {
      if (view.lapsedUntilMs !== undefined && nowMs >= view.lapsedUntilMs) {
        this.#remove(view);
        notes.push(noteOf(view.record, "removed"));
      }
    }
    return notes;
  }

  #removed(change: EndpointChange): string[] {
    if (!change.isSnapshot) {
      return [...change.removedIds];
    }
    const named = new Set(change.upserts.map(({ id }) => id));
    return [...this.#views.keys()].filter((id) => !named.has(id));
  }

  #upsert(record: EndpointRecord): DirectoryNote | undefined {
    const known = this.#views.get(record.id);
    if (!known) {
      this.#add(new DirectEndpoint(record));
      return noteOf(record, "added");
    }
    if (record.incarnation < known.record.incarnation) {
      return undefined;
    }
    if (isOtherProcess(known.record, record)) {
      // Requests in flight end through their own connections.
      this.#remove(known);
      this.#add(new DirectEndpoint(record));
      return noteOf(record, "restarted");
    }
    const before = known.record.state;
    known.record = record;
    known.lapsedUntilMs = undefined;
    return before === record.state ? undefined : noteOf(record, record.state);
  }

  #add(view: DirectEndpoint): void {
    this.#views.set(view.id, view);
    const set = this.#byService.get(view.record.service) ?? new Set();
    set.add(view);
    this.#byService.set(view.record.service, set);
  }

  #remove(view: DirectEndpoint): void {
    this.#views.delete(view.id);
    const set = this.#byService.get(view.record.service);
    set?.delete(view);
    if (set?.size === 0) {
      this.#byService.delete(view.record.service);
    }
  }
}

function isOtherProcess(a: EndpointRecord, b: EndpointRecord): boolean {
  return a.incarnation !== b.incarnation || a.address !== b.address ||
    a.service !== b.service;
}

function noteOf(
  { id, service }: EndpointRecord,
  change: DirectoryNote["change"],
): DirectoryNote {
  return { endpointId: id, service, change };
}
