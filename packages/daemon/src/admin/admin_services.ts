import type { AccountTraffic, Clock, ObjectStore } from "@anvildeal/core";
import type { AdminLogEvent } from "./admin_log.js";

export interface FleetStatusSource {
  /** This router's view of the fleet, as JSON with snake_case keys. */
  status(): unknown;
  /** Measured requests per second by account; undefined if not measured. */
  traffic(): AccountTraffic | undefined;
}

export interface ExplainSource {
  /** How a request was placed and answered; undefined if not recorded. */
  explain(requestId: string): Promise<unknown>;
}

export type DrainResult = "draining" | "unknown_endpoint" | "unreachable";

export interface FleetReportSource {
  /**
   * Returns the report `name`, such as `burn`, as JSON; undefined if there is
   * no report of that name.
   */
  report(name: string): Promise<unknown>;
}

export interface ClientKeys {
  /** Whether a client account uses the key with this SHA-256 hash. */
  has(keyHash: string): boolean;
}

/** What the administration API needs from its host. */
export interface AdminServices {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly log: (event: AdminLogEvent) => void;
  readonly fleet: FleetStatusSource;
  readonly explain: ExplainSource;
  /**
   * Orders an endpoint to drain; `by` is the name of the operator, which is
   * recorded with the order.
   */
  readonly drain: (endpointId: string, by: string) => Promise<DrainResult>;
  readonly fleetReports: FleetReportSource;
  readonly clientKeys: ClientKeys;
}
