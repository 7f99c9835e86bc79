import { randomUUID } from "node:crypto";
import {
  type BurnReport,
  type BurnSnapshot,
  BurnStore,
  createBurnReport,
  type MessageOf,
  type Millis,
  type Objective,
  type ObjectiveTotals,
  type RequestResult,
} from "@anvildeal/core";
import type { GaugeSource } from "../metrics/index.js";
import type { NodeServices } from "../node_services.js";
import type { RouterConnections } from "./router_connections.js";

/** Routers that have not replied within this time are reported as missing. */
const REPLY_TIMEOUT_MS: Millis = 2000;

interface PendingQuery {
  readonly snapshots: Map<string, BurnSnapshot>;
  readonly expectedReplies: number;
  readonly finish: () => void;
}

/** The services of the process that the reporter uses. */
export type BurnServices = Pick<NodeServices, "clock" | "identity">;
/** The connections over which the reporter reaches the other routers. */
export type BurnPeers = Pick<RouterConnections, "listedRouters" | "send">;

/**
 * Reports how fast the fleet consumes the error budgets of its objectives. It
 * counts the good and bad events of this router and queries the other listed
 * routers for theirs.
 *
 * The queries use the peer connections rather than the administration ports,
 * since the instance list contains peer addresses only.
 */
export class BurnReporter {
  readonly #services: BurnServices;
  readonly #peers: BurnPeers;
  readonly #store: BurnStore;
  readonly #pendingQueries = new Map<string, PendingQuery>();
  #objectives: readonly Objective[] = [];

  constructor(services: BurnServices, peers: BurnPeers) {
    this.#services = services;
    this.#peers = peers;
    this.#store = new BurnStore(services.clock.wallMs());
  }

  setObjectives(objectives: readonly Objective[]): void {
    this.#objectives = objectives;
    this.#store.setObjectives(objectives);
  }

  /** Counts a request as good or bad for each objective that applies to it. */
  record(result: RequestResult): void {
    this.#store.record(result, this.#services.clock.wallMs());
  }

  /**
   * Numbers of good and bad events per objective that this router has counted
   * since its start.
   */
  totals(): readonly ObjectiveTotals[] {
    return this.#store.totals();
  }

  /**
   * Merges the counts of good and bad events per objective: those of this
   * router and those that the other routers in the instance list report. Never
   * rejects; routers that do not reply within 2 s are named as missing in the
   * report.
   */
  async report(): Promise<BurnReport> {
    const { clock, identity } = this.#services;
    const peerIds = this.#peers.listedRouters();
    const snapshots = await this.#collectSnapshots(peerIds);
    const wallMs = clock.wallMs();
    return createBurnReport(this.#objectives, [
      { routerId: identity.nodeId, snapshot: this.#store.snapshot(wallMs) },
      ...peerIds.map((routerId) => ({
        routerId,
        snapshot: snapshots.get(routerId),
      })),
    ], wallMs);
  }

  /** Replies to the query of another router. */
  handleQuery(peerId: string, { queryId }: MessageOf<"report_query">): void {
    const burn = this.#store.snapshot(this.#services.clock.wallMs());
    this.#peers.send(peerId, { type: "report_state", queryId, burn });
  }

  /** Handles the reply of a router; ignores it if the query has completed. */
  handleReply(peerId: string, reply: MessageOf<"report_state">): void {
    const query = this.#pendingQueries.get(reply.queryId);
    if (!query) {
      return;
    }
    query.snapshots.set(peerId, reply.burn);
    if (query.snapshots.size >= query.expectedReplies) {
      query.finish();
    }
  }

  #collectSnapshots(
    peerIds: readonly string[],
  ): Promise<ReadonlyMap<string, BurnSnapshot>> {
    const snapshots = new Map<string, BurnSnapshot>();
    if (peerIds.length === 0) {
      return Promise.resolve(snapshots);
    }
    const queryId = randomUUID();
    return new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        this.#pendingQueries.delete(queryId);
        resolve(snapshots);
      };
      const timer = setTimeout(finish, REPLY_TIMEOUT_MS);
      const expectedReplies = peerIds.length;
      this.#pendingQueries.set(queryId, {
        snapshots,
        expectedReplies,
        finish,
      });
      for (const peerId of peerIds) {
        this.#peers.send(peerId, { type: "report_query", queryId });
      }
    });
  }
}

/**
 * Metrics of the objectives in force. They are gauges rather than counters so
 * that no series of a removed objective remains.
 */
export function burnGauges(reporter: BurnReporter): GaugeSource[] {
  return [
    {
      name: "objective_events",
      help: "Good and bad events of the objectives since the start",
      labels: ["objective", "result"],
      read: () =>
        reporter.totals().flatMap(({ name, good, bad }) => [
          { labels: { objective: name, result: "good" }, value: good },
          { labels: { objective: name, result: "bad" }, value: bad },
        ]),
    },
    {
      name: "objective_target",
      help: "Targets of the objectives in force",
      labels: ["objective"],
      read: () =>
        reporter.totals().map(({ name, target }) => ({
          labels: { objective: name },
          value: target,
        })),
    },
  ];
}
