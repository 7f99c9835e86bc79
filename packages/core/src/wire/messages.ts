import { z } from "zod";
import {
  MAX_NAME_LENGTH,
  RoutingConfigSchema,
} from "../direct/routing_config.js";
import { PromptCacheEntrySchema } from "../direct/prompt_cache_index.js";
import { LimitReportSchema } from "../direct/request_limit.js";
import { SuspectReportSchema } from "../direct/suspect_report.js";
import { BurnSnapshotSchema } from "../report/burn_snapshot.js";

/** Version of the protocol between anvildeal processes. */
export const PROTOCOL_VERSION = 1;

const id = z.string().min(1).max(MAX_NAME_LENGTH);
const tokens = z.number().nonnegative();
const bytes = z.custom<Uint8Array>(
  (value) => value instanceof Uint8Array,
  "expected bytes",
);
const seq = z.int().nonnegative();

/** State in which a sidecar reports its endpoint. */
export const EndpointStateSchema = z.enum([
  "starting",
  "active",
  "draining",
  "down",
]);
export type EndpointState = z.infer<typeof EndpointStateSchema>;

/** Status of an endpoint that its sidecar attaches to every answer. */
export const EndpointStatusSchema = z.object({
  endpointId: id,
  /** Wall-clock time at which the sidecar started, in ms. */
  incarnation: z.number(),
  state: EndpointStateSchema,
  /** Prompt and output tokens that the accepted attempts still need. */
  loadTokens: tokens,
  /** Estimated time until the engine would start a new request. */
  queueWaitMs: z.number().nonnegative(),
  /** Mean `loadTokens` over those endpoints of the pool whose load is known. */
  poolMeanTokens: tokens,
  prefillTokensPerS: z.number().positive(),
  configVersion: z.int().nonnegative(),
});
export type EndpointStatus = z.infer<typeof EndpointStatusSchema>;

/** Whether a refused or failed attempt may have run; `not-run` is certain. */
export const OutcomeSchema = z.enum(["not-run", "unknown"]);
export type Outcome = z.infer<typeof OutcomeSchema>;

export const RefusalReasonSchema = z.enum([
  "over_bound",
  "queue_full",
  "deadline",
  "draining",
  "down",
  "stale_config",
  "duplicate_running",
  "duplicate_finished",
  "duplicate_unknown",
  "fingerprint_mismatch",
  "store_unavailable",
  "unknown_attempt",
  "cancelled",
  "start_window_passed",
  "engine_unreachable",
]);
export type RefusalReason = z.infer<typeof RefusalReasonSchema>;

/** One row of the load table that the sidecars of a pool exchange. */
export const LoadTableEntrySchema = z.object({
  endpointId: id,
  incarnation: z.number(),
  loadTokens: tokens,
  state: EndpointStateSchema,
  address: z.string().max(64),
  /** Time since the router was last seen, as far as the sender knows. */
  ageMs: z.number().nonnegative(),
});
export type LoadTableEntry = z.infer<typeof LoadTableEntrySchema>;

/** Answer of a finished call, returned to repeats with the same key. */
export const StoredAnswerSchema = z.object({
  status: z.int(),
  headers: z.record(z.string(), z.string()),
  body: bytes.optional(),
});
export type StoredAnswer = z.infer<typeof StoredAnswerSchema>;

const HelloSchema = z.object({
  type: z.literal("hello"),
  protocolVersion: z.int(),
  role: z.enum(["router", "sidecar"]),
  nodeId: id,
  incarnation: z.number(),
  failureDomain: z.string().max(128),
  configVersion: z.int().nonnegative(),
  nonce: bytes,
});

/** HMAC of the nonces of both `hello` messages with the fleet key. */
const ProofSchema = z.object({ type: z.literal("proof"), proof: bytes });

const ProbeSchema = z.object({
  type: z.literal("probe"),
  probeId: id,
  prefixHashes: bytes,
  configVersion: z.int().nonnegative(),
});

const ProbeReplySchema = z.object({
  type: z.literal("probe_reply"),
  probeId: id,
  facts: EndpointStatusSchema,
  /**
   * Index in `prefixHashes` of the longest cached prefix; -1 if none is cached.
   */
  cachedIndex: z.int(),
});

const SubmitSchema = z.object({
  type: z.literal("submit"),
  requestId: id,
  attemptId: id,
  kind: z.enum(["chat", "service"]),
  account: id,
  weight: z.number().positive(),
  priority: z.int(),
  /** Time left until the deadline of the request. */
  deadlineInMs: z.number().optional(),
  /** The attempt is refused if it has not started this long after receipt. */
  startWithinMs: z.number(),
  idempotent: z.boolean(),
  idempotencyKey: z.string().max(256).optional(),
  fingerprint: z.string().max(64).optional(),
  promptTokens: tokens,
  outputTokens: tokens,
  method: z.string().max(16),
  path: z.string().max(8192),
  headers: z.record(z.string(), z.string()),
  body: bytes,
  configVersion: z.int().nonnegative(),
  prefixHashes: bytes,
  /** Text already delivered to the caller by an earlier attempt. */
  resumeText: z.string().optional(),
  /** Skips the load bound; set only by baselines of the bench. */
  ignoreBound: z.boolean().optional(),
});
export type SubmitMessage = z.infer<typeof SubmitSchema>;

const AcceptedSchema = z.object({
  type: z.literal("accepted"),
  attemptId: id,
  facts: EndpointStatusSchema,
});

const RefusedSchema = z.object({
  type: z.literal("refused"),
  attemptId: id,
  reason: RefusalReasonSchema,
  outcome: OutcomeSchema,
  retryAfterMs: z.number().nonnegative(),
  alternatives: z.array(id).max(8),
  facts: EndpointStatusSchema,
  answer: StoredAnswerSchema.optional(),
});
export type RefusedMessage = z.infer<typeof RefusedSchema>;

const HeadSchema = z.object({
  type: z.literal("head"),
  attemptId: id,
  seq,
  status: z.int(),
  headers: z.record(z.string(), z.string()),
});

const ChunkSchema = z.object({
  type: z.literal("chunk"),
  attemptId: id,
  seq,
  data: bytes,
});

const UsageSchema = z.object({
  promptTokens: tokens,
  cachedTokens: tokens,
  outputTokens: tokens,
});
export type TokenUsage = z.infer<typeof UsageSchema>;

const EndSchema = z.object({
  type: z.literal("end"),
  attemptId: id,
  seq,
  facts: EndpointStatusSchema,
  usage: UsageSchema.optional(),
});

const FailedSchema = z.object({
  type: z.literal("failed"),
  attemptId: id,
  seq,
  outcome: OutcomeSchema,
  reason: z.string().max(512),
  facts: EndpointStatusSchema,
});

const CancelSchema = z.object({ type: z.literal("cancel"), attemptId: id });

/** Requests the frames of an attempt from `fromSeq` on. */
const ResumeSchema = z.object({
  type: z.literal("resume"),
  attemptId: id,
  fromSeq: seq,
});

/**
 * Confirms that the caller has the frames below `nextSeq`; they may be dropped.
 */
const AckSchema = z.object({
  type: z.literal("ack"),
  attemptId: id,
  nextSeq: seq,
});

const PingSchema = z.object({ type: z.literal("ping") });
const PongSchema = z.object({ type: z.literal("pong") });

const DrainingSchema = z.object({
  type: z.literal("draining"),
  facts: EndpointStatusSchema,
});

const DigestSchema = z.object({
  type: z.literal("digest"),
  reply: z.boolean(),
  entries: z.array(LoadTableEntrySchema).max(64),
  configVersion: z.int().nonnegative(),
});

/**
 * Carries the sender's configuration version. The peer answers with
 * `config_state` if the peer has a newer version, if the sender requests
 * content or if the sender has no version yet.
 */
const ConfigQuerySchema = z.object({
  type: z.literal("config_query"),
  configVersion: z.int().nonnegative(),
  /** Digests of sections that the sender has, or prefixes of these digests. */
  haveSections: z.array(z.string().max(64)).max(1024),
  wantContent: z.boolean(),
  /** Version of the instance list that the sender has. */
  listVersion: z.number().optional(),
  /** Time since the latest store check that the sender knows of. */
  checkedMsAgo: z.number().nonnegative().optional(),
});

const ConfigStateSchema = z.object({
  type: z.literal("config_state"),
  configVersion: z.int().nonnegative(),
  manifest: z.record(z.string(), z.string()).optional(),
  sections: z.record(z.string(), z.string()).optional(),
  checkedMsAgo: z.number().nonnegative().optional(),
});

/** Rows of the instance list that a router relays to its peers. */
const InstancesSchema = z.object({
  type: z.literal("instances"),
  listVersion: z.number(),
  /**
   * Version of the list since which `instances` are the changed rows. If
   * absent, `instances` is the complete list.
   */
  baseVersion: z.number().optional(),
  /** Instances that left the list since `baseVersion`. */
  removedIds: z.array(id).max(8192).optional(),
  instances: z.array(z.object({
    instanceId: id,
    role: z.enum(["router", "endpoint"]),
    pool: z.string().max(128),
    address: z.string().max(64),
    failureDomain: z.string().max(128),
    state: z.enum(["live", "leaving"]),
  })).max(8192),
});

const OrderSchema = z.object({
  type: z.literal("order"),
  orderId: id,
  fencingNumber: z.int().nonnegative(),
  kind: z.enum(["load_model", "load_adapter", "change_role", "drain"]),
  parameters: z.record(z.string(), z.string()),
});
export type Order = z.infer<typeof OrderSchema>;

const OrderReplySchema = z.object({
  type: z.literal("order_reply"),
  orderId: id,
  accepted: z.boolean(),
  reason: z.string().max(512),
  highestFencingNumber: z.int().nonnegative(),
});

/** Requests the event counts of a router for a burn report. */
const ReportQuerySchema = z.object({
  type: z.literal("report_query"),
  queryId: id,
});

const ReportStateSchema = z.object({
  type: z.literal("report_state"),
  queryId: id,
  burn: BurnSnapshotSchema,
});

/** A router that the sender of the message knows. */
export const KnownRouterSchema = z.object({
  nodeId: id,
  address: z.string().max(64),
  incarnation: z.number(),
  /** Time since the router was last seen, as far as the sender knows. */
  ageMs: z.number().nonnegative(),
});
export type KnownRouter = z.infer<typeof KnownRouterSchema>;

/**
 * Epoch of the directory to which the revisions of a message belong. Routers
 * that predate the field omit it.
 */
const directoryEpoch = z.int().nonnegative().default(0);

/**
 * Position of the sender's list of evacuated failure domains. It also shows that
 * the sender knows the message `fleet_evacuations`, which disconnects a router
 * that does not. Absent if the sender reads no such orders or, in
 * `fleet_watching`, if its watch does not confirm the list.
 */
const evacuations = z.object({
  epoch: z.int().nonnegative(),
  revision: z.int().nonnegative(),
}).optional();

/**
 * State that routers send to each other several times a second in a fleet that
 * has no sidecars.
 */
const FleetStateSchema = z.object({
  type: z.literal("fleet_state"),
  configVersion: z.int().nonnegative(),
  /**
   * Revision at which the directory last changed, as far as the sender knows.
   * Not the revision up to which the sender has read, which can be later if
   * nothing changed since.
   */
  directoryRevision: z.int().nonnegative(),
  directoryEpoch,
  /** Requests in flight by endpoint; endpoints not named have none. */
  inFlight: z.record(id, z.int().nonnegative()),
  routers: z.array(KnownRouterSchema).max(32),
  evacuations,
});

/**
 * Requests the configuration and the endpoint directory, as far as the peer has
 * newer ones than the sender.
 */
const FleetQuerySchema = z.object({
  type: z.literal("fleet_query"),
  configVersion: z.int().nonnegative(),
  /** Directory revision up to which the sender has all changes. */
  directoryRevision: z.int().nonnegative(),
  directoryEpoch,
  /** Whether the sender also requests prompt cache contents. */
  wantsWarmth: z.boolean().optional(),
});

/**
 * Endpoint records as the sender decoded them. The receiver, which may be of
 * another version, decodes them one by one, so that one record that it does not
 * accept keeps back no other.
 */
const undecodedRecords = z.array(z.unknown());

const FleetContentSchema = z.object({
  type: z.literal("fleet_content"),
  config: RoutingConfigSchema.optional(),
  directory: z.object({
    directoryEpoch,
    /** Directory revision up to which the sender has all changes. */
    revision: z.int().nonnegative(),
    /** Revision of the last directory change that the sender knows of. */
    lastChange: z.int().nonnegative(),
    /**
     * Whether the directory is available to the sender and has been for some
     * time.
     */
    settled: z.boolean(),
    endpoints: undecodedRecords,
  }).optional(),
});

/**
 * Announces that the sender watches the directory on behalf of other routers.
 */
const FleetWatchingSchema = z.object({
  type: z.literal("fleet_watching"),
  /** Newest configuration, if the sender confirms that one too. */
  configVersion: z.int().nonnegative().optional(),
  /** Revision of the last directory change that the sender knows of. */
  directoryRevision: z.int().nonnegative(),
  directoryEpoch,
  evacuations,
});

/**
 * Complete list of the failure domains that operators have ordered to evacuate.
 * A router that is ahead of the sender answers with its own list.
 */
const FleetEvacuationsSchema = z.object({
  type: z.literal("fleet_evacuations"),
  epoch: z.int().nonnegative(),
  /** Directory revision of the last change of the list; 0 if none is known. */
  revision: z.int().nonnegative(),
  failureDomains: z.array(z.string()),
});

/**
 * Changes of the endpoint directory from `afterRevision` to `revision`. Routers
 * whose directory is older than `afterRevision` must ignore them.
 */
const FleetChangeSchema = z.object({
  type: z.literal("fleet_change"),
  directoryEpoch,
  afterRevision: z.int().nonnegative(),
  revision: z.int().nonnegative(),
  lastChange: z.int().nonnegative(),
  settled: z.boolean(),
  endpoints: undecodedRecords,
  removedIds: z.array(id),
});

/** Prompt cache contents of endpoints, as far as a router knows them. */
const FleetWarmthSchema = z.object({
  type: z.literal("fleet_warmth"),
  entries: z.array(PromptCacheEntrySchema),
});

const StreamOriginSchema = z.object({
  callId: z.string().max(128),
  service: id,
  softwareVersion: z.string().optional(),
  /** The process that began it may have been of another version. */
  isUncertain: z.boolean().optional(),
});

/** Which software version began streams, by the id of the caller's request. */
const FleetStreamsSchema = z.object({
  type: z.literal("fleet_streams"),
  origins: z.array(StreamOriginSchema),
  /** In an answer: streams that were asked for and that the sender does not know. */
  unknownIds: z.array(z.string().max(128)).optional(),
  /** Whether the receiver sees to it that the store has them. */
  toStore: z.boolean().optional(),
  /** Whether the receiver answers when the store has them. */
  wantsConfirmation: z.boolean().optional(),
});

/** Tells that the store has the origins of streams that the receiver sent. */
const FleetStreamsStoredSchema = z.object({
  type: z.literal("fleet_streams_stored"),
  callIds: z.array(z.string().max(128)),
});

/** Asks which software version began a stream. */
const FleetStreamQuerySchema = z.object({
  type: z.literal("fleet_stream_query"),
  callId: z.string().max(128),
});

/** Under which requests endpoints crashed, as far as the sender knows. */
const FleetSuspectsSchema = z.object({
  type: z.literal("fleet_suspects"),
  suspects: z.array(SuspectReportSchema),
});

/** Limits that endpoints name, as far as the sender knows. */
const FleetLimitsSchema = z.object({
  type: z.literal("fleet_limits"),
  limits: z.array(LimitReportSchema),
});

/** Every message between two anvildeal processes. */
export const MessageSchema = z.discriminatedUnion("type", [
  HelloSchema,
  ProofSchema,
  ProbeSchema,
  ProbeReplySchema,
  SubmitSchema,
  AcceptedSchema,
  RefusedSchema,
  HeadSchema,
  ChunkSchema,
  EndSchema,
  FailedSchema,
  CancelSchema,
  ResumeSchema,
  AckSchema,
  PingSchema,
  PongSchema,
  DrainingSchema,
  DigestSchema,
  ConfigQuerySchema,
  ConfigStateSchema,
  InstancesSchema,
  OrderSchema,
  OrderReplySchema,
  ReportQuerySchema,
  ReportStateSchema,
  FleetStateSchema,
  FleetQuerySchema,
  FleetContentSchema,
  FleetWarmthSchema,
  FleetWatchingSchema,
  FleetChangeSchema,
  FleetStreamsSchema,
  FleetStreamsStoredSchema,
  FleetStreamQuerySchema,
  FleetSuspectsSchema,
  FleetLimitsSchema,
  FleetEvacuationsSchema,
]);
export type Message = z.infer<typeof MessageSchema>;
export type MessageType = Message["type"];
export type MessageOf<T extends MessageType> = Extract<Message, { type: T }>;

/** Messages that carry requests and answers; all others are control traffic. */
export const DATA_MESSAGE_TYPES: ReadonlySet<MessageType> = new Set([
  "submit",
  "head",
  "chunk",
  "end",
  "failed",
]);
