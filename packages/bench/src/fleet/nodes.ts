import type { ManagedProcess } from "./managed_process.js";

/** A running process of `@anvildeal/stand-ins`. */
export interface StandIn {
  readonly process: ManagedProcess;
  readonly url: string;
  /** URL for faults and counters; answers during a simulated outage as well. */
  readonly controlUrl: string;
}

export interface RouterNode {
  readonly id: string;
  readonly failureDomain: string;
  readonly process: ManagedProcess;
  readonly httpUrl: string;
  readonly adminUrl: string;
  readonly metricsUrl: string;
  /**
   * Address in the instance list: the address of the proxy if there is one,
   * otherwise that of the router.
   */
  readonly peerAddress: string;
  readonly proxy: StandIn | undefined;
}

export interface EndpointNode {
  readonly id: string;
  readonly pool: string;
  readonly failureDomain: string;
  /** The stand-in engine or plain service behind the sidecar. */
  readonly backend: StandIn;
  readonly sidecar: ManagedProcess;
  readonly metricsUrl: string;
  /**
   * Address in the instance list: the address of the proxy if there is one,
   * otherwise that of the sidecar.
   */
  readonly address: string;
  readonly proxy: StandIn | undefined;
}
