import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Millis } from "../clock.js";
import type { EndpointState, MessageOf } from "../wire/messages.js";

/** A row of the instance list, as relayed between processes. */
export type InstanceRow = MessageOf<"instances">["instances"][number];

export interface MembershipOptions {
  /** Id of this process in the instance list. */
  readonly nodeId: string;
  readonly role: "router" | "sidecar";
  readonly failureDomain: string;
  readonly seed: number;
  /**
   * This process polls the instance list when the list has not been confirmed
   * for this long. The list is confirmed by a poll, or by a message from a peer
   * that has the same or a newer version. Default: 5 s for a router; 60 s for a
   * sidecar, which only needs the addresses of its pool.
   */
  readonly listStaleAfterMs?: Millis;
}

/** What this process knows about one router or endpoint. */
export interface InstanceRecord {
  row: InstanceRow;
  /** Whether the newest instance list names the instance. */
  listed: boolean;
  /** Newest incarnation that the instance itself reported, if any. */
  incarnation: number | undefined;
  incarnationSinceMs: Millis;
  /** State that the newest incarnation reported last. */
  reportedState: EndpointState | undefined;
  /** Incarnation that announced that it drains; it gets no new work. */
  drainingIncarnation: number | undefined;
  lastFrameMs: Millis | undefined;
  /** Time of the last failure; undefined once a later frame has arrived. */
  failedAtMs: Millis | undefined;
  /** Duration of a suspicion; failures double it, received frames halve it. */
  suspicionMs: Millis;
  suspectedUntilMs: Millis;
  /**
   * Times of the changes within `UNSTABLE_WINDOW_MS`: failures, recoveries,
   * restarts, and entries to and exits from the list.
   */
  changeTimesMs: Millis[];
  /**
   * End of the period in which the instance counts as unstable, because it had
   * `UNSTABLE_CHANGES` changes within `UNSTABLE_WINDOW_MS`.
   */
  unstableUntilMs: Millis;
  probeDelayMs: Millis;
  nextProbeMs: Millis;
  /** Time at which the instance left the list. */
  unlistedAtMs: Millis | undefined;
}

/** A failure domain of which most endpoints failed at about the same time. */
export interface FailureDomainRecord {
  suspected: boolean;
  nextProbeMs: Millis;
  /**
   * Number of probes sent. Each goes to the next endpoint in turn, since a
   * single endpoint may stay unreachable.
   */
  probeCursor: number;
}

/** Rows that changed with one version of the instance list. */
export interface ListChange {
  readonly baseVersion: number;
  readonly listVersion: number;
  readonly changedIds: readonly string[];
  readonly removedIds: readonly string[];
}

export interface MembershipState {
  readonly options: Required<MembershipOptions>;
  readonly random: RandomGenerator;
  readonly instances: Map<string, InstanceRecord>;
  readonly idsByPool: Map<string, Set<string>>;
  readonly routerIds: Set<string>;
  /** Failure domains under suspicion, by name. */
  readonly failureDomains: Map<string, FailureDomainRecord>;
  /** Version of the newest instance list applied; -1 before the first. */
  listVersion: number;
  /** Changes that the newest versions of the list made, oldest first. */
  readonly listChanges: ListChange[];
  /** Whether this router is an elected watcher of its failure domain. */
  elected: boolean;
  pollInFlight: boolean;
  pollFailures: number;
  nextPollMs: Millis;
  lastPollMs: Millis;
}

export const ROUTER_LIST_STALE_MS = 5_000;
export const SIDECAR_LIST_STALE_MS = 60_000;

export function createMembershipState(
  options: MembershipOptions,
): MembershipState {
  const staleMs = options.role === "router"
    ? ROUTER_LIST_STALE_MS
    : SIDECAR_LIST_STALE_MS;
  return {
    options: { listStaleAfterMs: staleMs, ...options },
    random: xoroshiro128plus(options.seed),
    instances: new Map(),
    idsByPool: new Map(),
    routerIds: new Set(),
    failureDomains: new Map(),
    listVersion: -1,
    listChanges: [],
    elected: false,
    pollInFlight: false,
    pollFailures: 0,
    nextPollMs: Number.NEGATIVE_INFINITY,
    lastPollMs: Number.NEGATIVE_INFINITY,
  };
}
