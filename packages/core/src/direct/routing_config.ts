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

/** A service that a route sends to, with its share of the requests. */
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
  timeoutMs: positive.optional(),
  objectiveMs: positive.optional(),
  /** 0 is the most urgent. */
  priority: z.int().nonnegative(),
  /** Endpoints on which one request may run. */
  maxAttempts: z.int().positive(),
  /** Requests need no API key. */
  open: z.boolean(),
  /** Requests with a common prompt start belong on one endpoint. */
  sticky: z.boolean(),
  /** A stream may be continued on another endpoint. */
  resumable: z.boolean(),
  gapObjectiveMs: positive.optional(),
});
export type DirectRoute = z.infer<typeof DirectRouteSchema>;

export const DirectServiceSchema = z.object({
  name,
  maxConnections: positive.optional(),
  /** Absent for services that are no model engines. */
  engine: z.object({
    slots: positive.optional(),
    /** Tokens that running requests and cached prompt parts share. */
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

/** What a caller may send, and how long it may take. */
export const CallerLimitsSchema = z.object({
  maxHeaderBytes: positive,
  maxBodyBytes: positive,
  headerTimeoutMs: positive,
  idleTimeoutMs: positive,
});
export type CallerLimits = z.infer<typeof CallerLimitsSchema>;

/** Everything that routers need from the operators, in one version. */
export const RoutingConfigSchema = z.object({
  version: z.int().nonnegative(),
  routes: z.array(DirectRouteSchema),
  services: z.array(DirectServiceSchema),
  limits: CallerLimitsSchema,
  /** Absent when no request needs a key. */
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
  /** Start of the process; a new start under the same id knows nothing. */
  incarnation: z.number(),
  slots: positive.optional(),
});
export type EndpointRecord = z.infer<typeof EndpointRecordSchema>;
