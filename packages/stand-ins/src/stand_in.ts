/** Replaces an external system, within a test or as a separate process. */
export interface StandIn {
  /** Base URL of the service, valid after `start`. */
  readonly url: string;
  /** Base URL that accepts `POST /faults`, also while the service is down. */
  readonly controlUrl: string;
  start(): Promise<void>;
  dispose(): Promise<void>;
}
