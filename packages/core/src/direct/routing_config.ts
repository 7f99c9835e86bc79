import { z } from "zod";

const name = z.string().min(1).max(253);
const positive = z.number().positive();

/** Whether the calls of a route may run more than once. */
export const CallKindSchema = z.enum([
  "idempotent",
  "non_idempotent",
  "stream",
]);
export type CallKind = z.infer<typeof CallKindSchema>;

/** A service to which a route sends requests, with its relative weight. */
export const RouteTargetSchema = z.object({
  service: name,
  weight: z.number().nonnegative(),
});
export type RouteTarget = z.infer<typeof RouteTargetSchema>;

export const DirectRouteSchema = z.object({
  name,
  host: name,
  /** Begins and ends with a slash. */
  pathPrefix: z.string().startsWith("/").endsWith("/"),
  callKind: CallKindSchema,
  targets: z.array(RouteTargetSchema).min(1),
  /** Longest time for a request, even if its caller allows more. */
  timeoutMs: positive.optional(),
  /** Latency objective; unanswered attempts are retried in time to meet it. */
  objectiveMs: positive.optional(),
  /** 0 is the most urgent. */
  priority: z.int().nonnegative(),
  /** Most endpoints on which one request may run. */
  maxAttempts: z.int().positive(),
  /** Requests of the route need no API key. */
  open: z.boolean(),
  /** Requests with a common prompt prefix are sent to the same endpoint. */
  sticky: z.boolean(),
  /** A stream may be continued on another endpoint. */
  resumable: z.boolean(),
  /** Objective for the longest time between two events of a stream. */
  gapObjectiveMs: positive.optional(),
});
export type DirectRoute = z.infer<typeof DirectRouteSchema>;

export const DirectServiceSchema = z.object({
  name,
  maxConnections: positive.optional(),
  /** Absent for services that are not model engines. */
  engine: z.object({
    slots: positive.optional(),
    /** Cache size; running requests and cached prompt parts share it. */
    cacheTokens: positive.optional(),
  }).optional(),
});
export type DirectService = z.infer<typeof DirectServiceSchema>;

export const DirectAccountSchema = z.object({
  name,
  keys: z.array(z.string().min(1)),
  /** Takes precedence over the priority of the route. */
  priority: z.int().nonnegative().optional(),
});
export type DirectAccount = z.infer<typeof DirectAccountSchema>;

/** Size and time limits for requests of callers. */
export const CallerLimitsSchema = z.object({
  maxHeaderBytes: positive,
  maxBodyBytes: positive,
  headerTimeoutMs: positive,
  idleTimeoutMs: positive,
});
export type CallerLimits = z.infer<typeof CallerLimitsSchema>;

/** One version of the operators' configuration for routers. */
export const RoutingConfigSchema = z.object({
  version: z.int().nonnegative(),
  routes: z.array(DirectRouteSchema),
  services: z.array(DirectServiceSchema),
  limits: CallerLimitsSchema,
  /** Absent when requests need no API key. */
  accounts: z.array(DirectAccountSchema).optional(),
});
export type RoutingConfig = z.infer<typeof RoutingConfigSchema>;

/** An endpoint as the platform's directory lists it. */
export const EndpointRecordSchema = z.object({
  id: name,
  service: name,
  address: z.string().regex(/^[0-9.]+:\d{1,5}$/),
  failureDomain: z.string(),
  state: z.enum(["ready", "draining"]),
  /**
   * Start of the process. A process that restarts under the same id begins with
   * an empty cache and without load.
   */
  incarnation: z.number(),
  slots: positive.optional(),
});
export type EndpointRecord = z.infer<typeof EndpointRecordSchema>;
