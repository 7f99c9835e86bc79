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

/** Traffic with the platform, which is control traffic as well. */
export interface PlatformTraffic {
  calls: number;
  bytes: number;
}

/** What both roles of the daemon are built on. */
export class NodeServices implements Disposable {
  readonly clock: Clock = new SystemClock();
  readonly timers: Timers = new SystemTimers();
  readonly logger: Logger;
  readonly metrics = new MetricRegistry();
  readonly meter = new TrafficMeter();
  readonly store: HttpObjectStore;
  readonly identity: PeerIdentity;
  readonly storeTraffic: Record<string, PlatformTraffic> = {};
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

  /** Options for a new connection; the version is the one in force then. */
  peerOptions(configVersion: number): PeerConnectionOptions {
    return {
      identity: this.identity,
      configVersion,
      meter: this.meter,
      onRejected: (peer, reason) =>
        this.logger.log("peer_rejected", { peer, reason }),
    };
  }

  /** Reports of config sync and membership as log events and metrics. */
  reporter(note: "config_note" | "membership_note"): SyncReporter {
    return {
      log: (level, text) => {
        const event = level === "error" ? "store_failed" : note;
        this.logger.log(event, { text });
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
