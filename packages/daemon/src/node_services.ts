import type { Clock, RouterSettings, SidecarSettings } from "@anvildeal/core";
import type { SyncReporter, Timers } from "./config_sync/index.js";
import { SystemTimers } from "./config_sync/index.js";
import { JsonLogger, type Logger } from "./logging/index.js";
import { MetricRegistry } from "./metrics/index.js";
import {
  type Disposable,
  type PeerConnectionOptions,
  type PeerIdentity,
  TrafficMeter,
} from "./net/index.js";
import { HttpObjectStore } from "./store/index.js";
import { SystemClock } from "./system_clock.js";

/**
 * Totals of the calls of one kind to the object API. All of these calls count
 * as control traffic.
 */
export interface StoreTraffic {
  calls: number;
  bytes: number;
}

/** Services that routers and sidecars have in common. */
export class NodeServices implements Disposable {
  readonly clock: Clock = new SystemClock();
  readonly timers: Timers = new SystemTimers();
  readonly logger: Logger;
  readonly metrics = new MetricRegistry();
  readonly meter = new TrafficMeter();
  readonly store: HttpObjectStore;
  readonly identity: PeerIdentity;
  /** Traffic with the object API by kind of call. */
  readonly storeTraffic: Record<string, StoreTraffic> = {};
  /** Seed of all random choices of the process, from the settings if given. */
  readonly seed: number;

  constructor(
    settings: RouterSettings | SidecarSettings,
    nodeId: string,
  ) {
    const { node, platform } = settings;
    const incarnation = this.clock.wallMs();
    this.seed = node.seed ?? incarnation % 0x7fff_ffff;
    this.logger = new JsonLogger(nodeId, node.log_level);
    this.identity = {
      role: settings.role,
      nodeId,
      incarnation,
      failureDomain: node.failure_domain,
      fleetKey: node.fleet_key,
    };
    this.store = new HttpObjectStore({
      url: platform.object_api_url,
      requestTimeoutMs: platform.request_timeout_ms,
      onCall: ({ kind, sentBytes, receivedBytes }) => {
        const row = this.storeTraffic[kind] ??= { calls: 0, bytes: 0 };
        row.calls++;
        row.bytes += sentBytes + receivedBytes;
      },
    });
  }

  /**
   * Options for a new peer connection; `configVersion` is the version in force
   * when it is opened.
   */
  peerOptions(configVersion: number): PeerConnectionOptions {
    return {
      identity: this.identity,
      configVersion,
      meter: this.meter,
      onRejected: (peer, reason) =>
        this.logger.log("peer_rejected", { peer, reason }),
    };
  }

  /**
   * Reporter for config sync or membership that writes log events and metrics.
   * Messages of level `error` are logged as `store_failed`, others as `event`.
   */
  reporter(event: "config_note" | "membership_note"): SyncReporter {
    return {
      log: (level, text) => {
        const name = level === "error" ? "store_failed" : event;
        this.logger.log(name, { text });
      },
      count: (counter, amount) => {
        const [group, step] = counter.split(".");
        this.metrics.observe({
          metric: group === "membership"
            ? "membership_total"
            : "config_sync_total",
          value: amount,
          labels: { step },
        });
      },
    };
  }

  dispose(): void {
    this.store.dispose();
  }
}
