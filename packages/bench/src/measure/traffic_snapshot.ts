import type { Fleet } from "../fleet/fleet.js";
import { FleetError } from "../fleet/fleet_error.js";
import { callJson } from "../fleet/json_client.js";
import { round, sum } from "../report/load_summary.js";
import {
  readRouterStatus,
  readSidecarStatus,
  type TrafficStatus,
} from "./node_status.js";
import { readProcessUsage } from "./process_usage.js";

/** Traffic of the routers between two snapshots. */
export interface TrafficBreakdown {
  readonly duration_s: number;
  /** Mean of the rates of all routers. */
  readonly control_bytes_per_router_per_s: number;
  /** Highest rate of any router. */
  readonly control_bytes_per_router_per_s_max: number;
  /**
   * Control bytes per second by kind, averaged over the routers. The keys are
   * the kinds of peer messages, and the kinds of platform calls prefixed with
   * `platform_`.
   */
  readonly control_bytes_per_s_by_kind: Readonly<Record<string, number>>;
  /** Bytes of all messages to and from peers, summed over the routers. */
  readonly breakdown_bytes: number;
  /** Bytes that the sockets to peers report, summed over the routers. */
  readonly socket_bytes: number;
  /** Processor time as a fraction of one core, averaged over the routers. */
  readonly router_processor_share: number;
  /** Resident memory of the largest router at the later snapshot. */
  readonly router_resident_mb: number;
}

/** Counters of one router since its start. */
interface RouterTraffic {
  /**
   * Covers control traffic only, whereas the other byte counters cover all
   * traffic.
   */
  readonly controlBytesByKind: ReadonlyMap<string, number>;
  readonly peerBytes: number;
  readonly socketBytes: number;
  readonly processorMs: number;
  readonly residentMb: number;
}

/** Traffic counters of all routers and sidecars at one time. */
export class TrafficSnapshot {
  private constructor(
    readonly atMs: number,
    readonly routers: ReadonlyMap<string, RouterTraffic>,
    /** Bytes that the proxies of all nodes forwarded, in both directions. */
    readonly proxiedBytes: number,
    /** Bytes of all messages to and from peers that the sidecars report. */
    readonly sidecarBytes: number,
  ) {}

  /** Throws {@link FleetError} when a router does not answer. */
  static async take(fleet: Fleet): Promise<TrafficSnapshot> {
    const entries = await Promise.all(fleet.routers.map(async (router) => {
      const traffic = (await readRouterStatus(router))?.traffic;
      if (traffic === undefined) {
        throw new FleetError(
          `${router.id} did not answer GET /status with status 200`,
        );
      }
      const usage = readProcessUsage(router.process.pid);
      return [router.id, {
        controlBytesByKind: controlBytesByKind(traffic),
        peerBytes: sum(traffic.peer, ({ bytes }) => bytes),
        socketBytes: traffic.peer_socket_bytes,
        processorMs: usage?.processorMs ?? NaN,
        residentMb: usage?.residentMb ?? NaN,
      }] as const;
    }));
    const nodes = [...fleet.endpoints, ...fleet.routers];
    const proxiedBytesByNode = await Promise.all(
      nodes.map(({ proxy }) =>
        proxy === undefined ? 0 : readProxiedBytes(proxy.controlUrl)
      ),
    );
    const sidecarStatuses = await Promise.all(
      fleet.endpoints.map(readSidecarStatus),
    );
    return new TrafficSnapshot(
      performance.now(),
      new Map(entries),
      sum(proxiedBytesByNode, (bytes) => bytes),
      sum(
        sidecarStatuses,
        (status) => sum(status?.traffic.peer ?? [], ({ bytes }) => bytes),
      ),
    );
  }

  /**
   * Computes the traffic since the snapshot `before` from the routers that are
   * in both snapshots.
   */
  since(before: TrafficSnapshot): TrafficBreakdown {
    const durationS = (this.atMs - before.atMs) / 1000;
    const pairs = [...this.routers].flatMap(([id, later]) => {
      const earlier = before.routers.get(id);
      return earlier === undefined ? [] : [{ later, earlier }];
    });
    const controlBytesPerS = pairs.map(({ later, earlier }) =>
      (totalControlBytes(later) - totalControlBytes(earlier)) / durationS
    );
    return {
      duration_s: round(durationS, 2),
      control_bytes_per_router_per_s: round(
        sum(controlBytesPerS, (value) => value) / pairs.length,
      ),
      control_bytes_per_router_per_s_max: round(Math.max(...controlBytesPerS)),
      control_bytes_per_s_by_kind: controlBytesPerSByKind(pairs, durationS),
      breakdown_bytes: sum(
        pairs,
        ({ later, earlier }) => later.peerBytes - earlier.peerBytes,
      ),
      socket_bytes: sum(
        pairs,
        ({ later, earlier }) => later.socketBytes - earlier.socketBytes,
      ),
      router_processor_share: round(
        sum(
          pairs,
          ({ later, earlier }) => later.processorMs - earlier.processorMs,
        ) /
          pairs.length / durationS / 1000,
        4,
      ),
      router_resident_mb: round(
        Math.max(...pairs.map(({ later }) => later.residentMb)),
      ),
    };
  }
}

/**
 * Returns the difference between the bytes that the nodes report and the bytes
 * that the proxies forwarded, as a fraction of the forwarded bytes. The
 * reported bytes are halved, because both ends of a connection report each
 * byte.
 */
export function unaccountedFraction(
  reportedBytes: number,
  proxiedBytes: number,
): number {
  return Math.abs(reportedBytes / 2 - proxiedBytes) / proxiedBytes;
}

interface RouterTrafficPair {
  readonly later: RouterTraffic;
  readonly earlier: RouterTraffic;
}

function controlBytesByKind(traffic: TrafficStatus): Map<string, number> {
  const result = new Map<string, number>();
  for (const { kind, control, bytes } of traffic.peer) {
    if (control) {
      result.set(kind, (result.get(kind) ?? 0) + bytes);
    }
  }
  for (const [kind, { bytes }] of Object.entries(traffic.store)) {
    result.set(`platform_${kind}`, bytes);
  }
  return result;
}

function totalControlBytes(traffic: RouterTraffic): number {
  return sum([...traffic.controlBytesByKind.values()], (bytes) => bytes);
}

function controlBytesPerSByKind(
  pairs: readonly RouterTrafficPair[],
  durationS: number,
): Record<string, number> {
  const result: Record<string, number> = {};
  for (const { later, earlier } of pairs) {
    for (const [kind, bytes] of later.controlBytesByKind) {
      const increase = bytes - (earlier.controlBytesByKind.get(kind) ?? 0);
      result[kind] = (result[kind] ?? 0) + increase / durationS / pairs.length;
    }
  }
  return Object.fromEntries(
    Object.entries(result).map(([kind, value]) => [kind, round(value)]),
  );
}

async function readProxiedBytes(controlUrl: string): Promise<number> {
  const answer = await callJson(`${controlUrl}/stats`);
  const stats = answer.body as {
    readonly bytes_to_target: number;
    readonly bytes_to_client: number;
  };
  return stats.bytes_to_target + stats.bytes_to_client;
}
