/** A stand-in for an outside system, in a test or as a process of its own. */
export interface StandIn {
  /** Address of the service, valid after `start`. */
  readonly url: string;
  /** Address that accepts `POST /faults` even while the service is down. */
  readonly controlUrl: string;
  start(): Promise<void>;
  dispose(): Promise<void>;
}
