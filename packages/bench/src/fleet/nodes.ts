import type { ManagedProcess } from "./managed_process.js";

/** A running process of `@anvildeal/stand-ins`. */
export interface StandIn {
  readonly process: ManagedProcess;
  readonly url: string;
  /** URL for faults and counters; reachable also in a simulated outage. */
  readonly controlUrl: string;
}

export interface RouterNode {
  readonly id: string;
  readonly failureDomain: string;
  readonly process: ManagedProcess;
  readonly httpUrl: string;
  readonly adminUrl: string;
  readonly metricsUrl: string;
  /** Address in the instance list: the router's or its proxy's. */
  readonly peerAddress: string;
  readonly proxy: StandIn | undefined;
}

export interface EndpointNode {
  readonly id: string;
  readonly pool: string;
  readonly failureDomain: string;
  /** The engine or the plain service. */
  readonly backend: StandIn;
  readonly sidecar: ManagedProcess;
  readonly metricsUrl: string;
  /** Address in the instance list: the sidecar's or its proxy's. */
  readonly address: string;
  readonly proxy: StandIn | undefined;
}
