import { SocketAddressSchema } from "@anvildeal/core";
import { z } from "zod";

const address = z.string().regex(
  /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/,
  "expected an IPv4 address and a port, such as 10.0.0.1:8080",
);
const positive = z.number().positive();

/** Settings of a router that sends requests to endpoints without sidecars. */
export const DirectSettingsSchema = z.object({
  nodeId: z.string().min(1).max(128),
  failureDomain: z.string().min(1).max(128),
  callerAddress: address,
  readyAddress: address.optional(),
  peerAddress: address,
  metricsAddress: address.optional(),
  /** Peer addresses of some routers of the fleet; they may be outdated. */
  seeds: z.array(SocketAddressSchema).max(16),
  directoryAddress: SocketAddressSchema,
  /**
   * Longest time for which routers may act on an outdated view of the directory
   * because a connection fell silent.
   */
  maxDirectoryAgeMs: positive,
  /**
   * Time from an operator's order to evacuate a failure domain until no request
   * may reach it. Such orders are only read if this is set.
   */
  evacuateMs: positive.optional(),
  /** Secret that the routers of a fleet share. */
  fleetKey: z.string().min(1),
  /**
   * Number of retries allowed per request to a service, for all routers
   * together.
   */
  retryRatio: z.number().nonnegative(),
  /**
   * Number of further retries to a service that are allowed in each window, for
   * all routers together.
   */
  retryExtra: z.number().nonnegative(),
  /** Maximum load of an endpoint, as a multiple of the mean of its pool. */
  loadMultiple: z.number().min(1),
  /**
   * Whether streams are placed by expected time at services whose endpoints report
   * their pace.
   */
  placesByExpectedTime: z.boolean().optional(),
  /** Whether urgent runs are copied all the time, not only after a crash. */
  alwaysCopiesRuns: z.boolean().optional(),
  /**
   * Requests that a cold endpoint may get in one second, as a multiple of what its
   * service says that it takes. Cold endpoints are not told apart if absent.
   */
  coldOverrun: z.number().nonnegative().optional(),
  /** Requests in one second that a cold endpoint may get in addition. */
  coldSlack: z.number().nonnegative().optional(),
  /**
   * Maximum number of bytes held for what callers send. It is raised if four of the
   * largest bodies would not fit.
   */
  callerMemoryBytes: positive,
  /** Maximum number of unanswered requests on a connection of a caller. */
  maxPipelinedRequests: z.int().positive(),
  /** Maximum number of callers' connections; unlimited if absent. */
  maxCallerConnections: z.int().positive().optional(),
  /**
   * Cores that the router has. With less than one, requests wait while the router
   * is behind. At least one if absent.
   */
  cpuShare: positive.optional(),
  /** Time between the signal to stop and the kill of the process. */
  stopGraceMs: positive,
});
export type DirectSettings = z.infer<typeof DirectSettingsSchema>;
