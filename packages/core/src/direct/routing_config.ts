import { z } from "zod";
import { MAX_COLD_MS } from "../cold/cold_period.js";
import { SocketAddressSchema } from "../socket_address.js";

/** Longest name of an endpoint, a service, a failure domain or a version. */
export const MAX_NAME_LENGTH = 253;

const name = z.string().min(1).max(MAX_NAME_LENGTH);
const positive = z.number().positive();

/** Kind of the calls on a route; determines whether a call may run again. */
export const CallKindSchema = z.enum([
  "idempotent",
  "non_idempotent",
  "stream",
]);
export type CallKind = z.infer<typeof CallKindSchema>;

/**
 * A service that receives a part of a route's requests, in proportion to
 * `weight`.
 */
export const RouteTargetSchema = z.object({
  service: name,
  weight: z.number().nonnegative(),
});
export type RouteTarget = z.infer<typeof RouteTargetSchema>;

export const DirectRouteSchema = z.object({
  name,
  host: name,
  /** Path prefix of the requests; begins and ends with a slash. */
  pathPrefix: z.string().startsWith("/").endsWith("/"),
  callKind: CallKindSchema,
  targets: z.array(RouteTargetSchema).min(1),
  /** Maximum time for a request, even if the caller allows more. */
  timeoutMs: positive.optional(),
  /** Latency objective. Unanswered attempts are retried in time to meet it. */
  objectiveMs: positive.optional(),
  /** Priority of the route's requests; 0 is the most urgent. */
  priority: z.int().nonnegative(),
  /** Maximum number of endpoints on which one request may run. */
  maxAttempts: z.int().positive(),
  /** Whether requests of the route need no API key. */
  open: z.boolean(),
  /** Whether requests with a common prompt prefix prefer the same endpoint. */
  sticky: z.boolean(),
  /** Whether another endpoint can continue a stream of the route. */
  resumable: z.boolean(),
  /** Objective for the maximum time between two events of a stream. */
  gapObjectiveMs: positive.optional(),
});
export type DirectRoute = z.infer<typeof DirectRouteSchema>;

export const DirectServiceSchema = z.object({
  name,
  maxConnections: positive.optional(),
  /** Time for which an endpoint is cold after its process has started. */
  coldStartMs: positive.optional(),
  /**
   * Requests a second that a cold endpoint takes from all routers together. Absent
   * if cold endpoints take as much as others.
   */
  coldPerS: positive.optional(),
  /** Absent for services that are not model engines. */
  engine: z.object({
    slots: positive.optional(),
    /**
     * Size of the cache in tokens. Running requests and cached prompt parts
     * share the cache.
     */
    cacheTokens: positive.optional(),
    /** Number of output tokens in each event of a stream; 1 by default. */
    tokensPerEvent: positive.optional(),
    /** Whether a running request can be copied to another engine as it grows. */
    copiesRuns: z.boolean().optional(),
    /** Time for which an engine keeps the copy of a run that broke off. */
    copyRetentionMs: positive.optional(),
  }).optional(),
});
export type DirectService = z.infer<typeof DirectServiceSchema>;

export const DirectAccountSchema = z.object({
  name,
  keys: z.array(z.string().min(1)),
  /**
   * Priority of the account's requests; overrides the priority of the route.
   */
  priority: z.int().nonnegative().optional(),
});
export type DirectAccount = z.infer<typeof DirectAccountSchema>;

/** Size and time limits for the requests and connections of callers. */
export const CallerLimitsSchema = z.object({
  maxHeaderBytes: positive,
  maxBodyBytes: positive,
  headerTimeoutMs: positive,
  idleTimeoutMs: positive,
});
export type CallerLimits = z.infer<typeof CallerLimitsSchema>;

/** One version of the configuration that operators provide for routers. */
export const RoutingConfigSchema = z.object({
  version: z.int().nonnegative(),
  routes: z.array(DirectRouteSchema),
  services: z.array(DirectServiceSchema),
  limits: CallerLimitsSchema,
  /** Absent when requests need no API key. */
  accounts: z.array(DirectAccountSchema).optional(),
});
export type RoutingConfig = z.infer<typeof RoutingConfigSchema>;

/** Incarnation of a process of which it is not known when it started. */
export const UNKNOWN_INCARNATION = 0;

/**
 * Processes do not start after the year 2100. A later start, of another writer,
 * would hide all entries that the process itself writes.
 */
const MAX_INCARNATION = 4_102_444_800_000;

/** Entry of an endpoint in the platform's directory. */
export const EndpointRecordSchema = z.object({
  id: name,
  service: name,
  address: SocketAddressSchema,
  failureDomain: z.string().max(MAX_NAME_LENGTH),
  state: z.enum(["ready", "draining"]),
  /**
   * Unix time in milliseconds at which the process started, or {@link
   * UNKNOWN_INCARNATION}. A process that restarts under the same id begins with
   * an empty cache and without load.
   */
  incarnation: z.int().min(UNKNOWN_INCARNATION).max(MAX_INCARNATION),
  /** Version of the endpoint's software; several may serve side by side. */
  softwareVersion: z.string().max(MAX_NAME_LENGTH).optional(),
  slots: positive.optional(),
  /**
   * Time for which the endpoint says that it is cold, counted from the receipt of
   * the entry. A bad value makes no other field invalid.
   */
  coldForMs: positive.max(MAX_COLD_MS).optional().catch(undefined),
});
export type EndpointRecord = z.infer<typeof EndpointRecordSchema>;
