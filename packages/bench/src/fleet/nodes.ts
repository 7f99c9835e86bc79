import type { ManagedProcess } from "./managed_process.js";

export interface StandIn {
  readonly process: ManagedProcess;
  readonly url: string;
  /** Stays reachable while the stand-in simulates an outage. */
  readonly controlUrl: string;
}

export interface RouterNode {
  readonly id: string;
  readonly failureDomain: string;
  readonly process: ManagedProcess;
  readonly httpUrl: string;
  readonly adminUrl: string;
  readonly metricsUrl: string;
  /** Address that the instance list names: the router's or its proxy's. */
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
  /** Address that the instance list names: the sidecar's or its proxy's. */
  readonly address: string;
  readonly proxy: StandIn | undefined;
}
