import type { Millis } from "../clock.js";
import type { LogEventName, LogFields } from "../log_events.js";
import type { Measurement } from "../metric_names.js";
import type { AnswerReport } from "./answer_report.js";
import type { EndpointChange } from "./endpoint_directory.js";
import type { ReportedLoad } from "./direct_endpoint.js";
import type { RoutingConfig } from "./routing_config.js";
import type { PromptCacheEntry } from "./prompt_cache_index.js";
import type { SuspectReport } from "./suspect_report.js";
import type { LimitReport } from "./request_limit.js";
import type { StreamOrigin, StreamRecord } from "./stream_origins.js";
import type { StreamHead } from "../stream_continuation.js";
import type { ServiceVersions } from "./version_history.js";

/**
 * Part of a prompt. Requests with equal leading parts can reuse cached tokens.
 */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** The headers of a caller's HTTP request, decoded, and the size of its body. */
export interface CallHead {
  /**
   * Id that the caller gave to the request. Endpoints repeat it in the answer.
   */
  readonly callId: string | undefined;
  readonly host: string;
  readonly path: string;
  readonly method: string;
  readonly apiKey: string | undefined;
  /**
   * How long the caller waits for the answer, counted from receipt of the call.
   */
  readonly deadlineMs: Millis | undefined;
  readonly model: string | undefined;
  readonly promptTokens: number;
  /** Maximum number of output tokens; 0 if the caller names none. */
  readonly outputTokens: number;
  /** Number of output tokens that the caller expects. */
  readonly lengthHintTokens?: number | undefined;
  /** Id of the last stream event that the caller has; undefined if it has none. */
  readonly lastEventId: string | undefined;
  /**
   * Call id of the caller's request that brought the first event of the stream
   * that this one continues.
   */
  readonly continuedCallId: string | undefined;
  /** Parts in prompt order; only the last is specific to this request. */
  readonly promptParts: readonly PromptPart[];
  readonly headerBytes: number;
  readonly bodyBytes: number;
}

/** The data of a caller's HTTP request that the router needs to route it. */
export interface DirectCall extends CallHead {
  /**
   * Digest of method, path and body. It reads the whole body when it is first
   * called, so it is called only if an endpoint may have crashed.
   */
  readonly contentDigest: () => string;
  /** Describes the answer relayed so far, if one has begun. */
  readonly answerReport?: () => AnswerReport | undefined;
}

/** Status and headers of an endpoint's answer. */
export interface AnswerHead extends StreamHead {
  readonly callId: string | undefined;
  /**
   * Whether no other request was sent on the connection. An answer without an id
   * can then only belong to this request; on a used connection, it may be a late
   * copy of an earlier answer. Not so if absent.
   */
  readonly isFirstOnConnection?: boolean;
  /** Whether the answer carries a signature of the endpoint. */
  readonly signed: boolean;
  /**
   * Whether the endpoint confirms that it did not and will not run the request.
   */
  readonly notRun: boolean;
  /** Whether the address belongs to another endpoint now. */
  readonly misdirected: boolean;
  readonly load: ReportedLoad | undefined;
  /**
   * Requests a second that the endpoint takes from all routers together, as it
   * names them; may be any number. Undefined if it names no limit.
   */
  readonly limitPerS?: number | undefined;
  /**
   * Time until which the caller of the endpoint is to wait; NaN if the endpoint
   * names it in no known form. Undefined if it names none.
   */
  readonly retryAfterMs?: Millis | undefined;
  /** Whether the endpoint says that it is draining. */
  readonly draining?: boolean;
}

export type AttemptFailureKind =
  /** No connection was established. */
  | "connect"
  /** The connection ended before the answer did. */
  | "reset"
  /** The bytes received are not a valid HTTP response. */
  | "garbled"
  /** The head of the answer does not match the request or is not signed. */
  | "foreign"
  /** The attempt timed out or its answer stalled. */
  | "silent"
  /** The router could not carry out the attempt, because of an error of its own. */
  | "internal";

export interface AttemptFailure {
  readonly kind: AttemptFailureKind;
  /** Whether a part of the request may have reached the endpoint. */
  readonly sent: boolean;
  /**
   * Whether the endpoint's instance answered that nothing listens on the address,
   * so that the endpoint's process has ended.
   */
  readonly portClosed?: boolean;
  readonly detail?: string;
}

/**
 * An endpoint with requests in flight that has sent nothing for some time.
 */
export interface EndpointStall {
  readonly endpointId: string;
  /**
   * Time since the endpoint last sent bytes of any answer, or since its newest
   * attempt started if that is later. Body bytes of discarded answers do not
   * count.
   */
  readonly silentMs: Millis;
  /** Whether all requests in flight there are on connections used before. */
  readonly onReusedConnections: boolean;
}

/** An attempt whose answer has begun and then stopped arriving. */
export interface AttemptStall {
  readonly key: number;
  readonly attemptNumber: number;
  /** Time since the last bytes of the answer arrived. */
  readonly silentMs: Millis;
  /** As in the event `attempt_failed`. */
  readonly canResume: boolean;
}

/**
 * Timers of one request. The timer `deadline` also ends the deferral of a call
 * that arrived before the router could serve.
 */
export type RequestTimer = "deadline" | "attempt";

/**
 * Input of `reduceDirect`. `key` identifies a call and the request that is
 * created for it; `attemptNumber` identifies one attempt of that request.
 */
export type DirectEvent =
  | {
    readonly type: "call_received";
    readonly nowMs: Millis;
    /** When the call was read, if that was earlier; its time limits begin then. */
    readonly readMs?: Millis;
    /** Lag of the event loop when the call was read, if the host measures it. */
    readonly lagMs?: Millis;
    readonly key: number;
    readonly call: DirectCall;
  }
  /** Result of the effect `schedule_placement`. */
  | {
    readonly type: "placement_due";
    readonly nowMs: Millis;
    /** Time since the effect, which an iteration of the event loop took. */
    readonly lagMs: Millis;
  }
  /** A call is refused whose body was not read. */
  | {
    readonly type: "call_refused";
    readonly nowMs: Millis;
    readonly key: number;
    readonly call: DirectCall;
    readonly reason: DirectRefusalReason;
  }
  /** An answer confirmed what this router knows of the directory. */
  | {
    readonly type: "directory_confirmed";
    readonly nowMs: Millis;
    /** When the collection was confirmed that was confirmed longest ago. */
    readonly confirmedMs: Millis;
  }
  | {
    readonly type: "caller_gone";
    readonly nowMs: Millis;
    readonly key: number;
  }
  | {
    readonly type: "attempt_head";
    readonly nowMs: Millis;
    readonly key: number;
    readonly attemptNumber: number;
    readonly head: AnswerHead;
  }
  /**
   * Status and headers arrived for an attempt that was given up before. The
   * request may have ended; only what they say of the endpoint counts.
   */
  | {
    readonly type: "discarded_head";
    readonly nowMs: Millis;
    readonly endpointId: string;
    readonly incarnation: number;
    readonly callId: string | undefined;
    readonly head: AnswerHead;
  }
  /** The first body bytes of a relayed answer have arrived. */
  | {
    readonly type: "attempt_progress";
    readonly nowMs: Millis;
    readonly key: number;
    readonly attemptNumber: number;
  }
  | {
    readonly type: "attempt_ended";
    readonly nowMs: Millis;
    readonly key: number;
    readonly attemptNumber: number;
    /**
     * Number of events of the stream that were relayed to the caller in all
     * attempts; undefined if the answer is no stream.
     */
    readonly events?: number | undefined;
  }
  | {
    readonly type: "attempt_failed";
    readonly nowMs: Millis;
    readonly key: number;
    readonly attemptNumber: number;
    readonly failure: AttemptFailure;
    /**
     * Another attempt can continue the answer after the last stream event that
     * was relayed to the caller.
     */
    readonly canResume: boolean;
  }
  | {
    readonly type: "timer_fired";
    readonly nowMs: Millis;
    readonly key: number;
    readonly timer: RequestTimer;
  }
  | {
    readonly type: "config_received";
    readonly nowMs: Millis;
    readonly config: RoutingConfig;
    /** Origin for the log: `directory`, or `peer` and the id of a router. */
    readonly source: string;
  }
  /** Another router has this version of the configuration. */
  | {
    readonly type: "config_announced";
    readonly version: number;
  }
  | {
    readonly type: "endpoints_changed";
    readonly nowMs: Millis;
    readonly change: EndpointChange;
    /** Origin for the log: `directory`, or `peer` and the id of a router. */
    readonly source: string;
    /**
     * True if the directory was available to the reporting peer and had no
     * recent outage. Undefined if the change was not reported by a peer.
     */
    readonly directoryReliable?: boolean;
  }
  | {
    readonly type: "directory_state_changed";
    readonly nowMs: Millis;
    readonly available: boolean;
  }
  /** The directory was restored from an older copy and lacks its last changes. */
  | {
    readonly type: "directory_restored";
    readonly nowMs: Millis;
    readonly epoch: number;
  }
  | {
    readonly type: "peer_loads_received";
    readonly nowMs: Millis;
    readonly peerId: string;
    /**
     * Number of the peer's requests in flight by endpoint id; 0 for absent ids.
     */
    readonly inFlight: Readonly<Record<string, number>>;
  }
  /**
   * Prompt cache entries were received from a peer, or were loaded from the
   * directory, where a router saved them before this process started.
   */
  | {
    readonly type: "prompt_cache_entries_received";
    /**
     * Time at which a peer sent requests with these parts, as far as known.
     * Undefined for entries that were saved.
     */
    readonly sentAtMs?: Millis;
    readonly entries: readonly PromptCacheEntry[];
  }
  /**
   * Some endpoints or answers have stalled: they have sent nothing for some
   * time.
   */
  | {
    readonly type: "stalls_observed";
    readonly nowMs: Millis;
    /**
     * Number of endpoints with requests in flight, including stalled endpoints.
     */
    readonly busyEndpoints: number;
    readonly endpoints: readonly EndpointStall[];
    readonly attempts: readonly AttemptStall[];
  }
  /** Another router reports limits that endpoints name. */
  | {
    readonly type: "limits_received";
    readonly nowMs: Millis;
    readonly reports: readonly LimitReport[];
    /** Origin for the log: `peer` and the id of a router. */
    readonly source: string;
  }
  /** Result of the effect `review_suspects`. */
  | { readonly type: "suspects_review_due"; readonly nowMs: Millis }
  /** Result of the effect `check_endpoint`. */
  | {
    readonly type: "endpoint_checked";
    readonly nowMs: Millis;
    readonly endpointId: string;
    /** Whether the endpoint's instance answers that nothing listens there. */
    readonly refusesConnections: boolean;
  }
  /** Result of the effect `check_end`. */
  | {
    readonly type: "end_checked";
    readonly nowMs: Millis;
    readonly address: string;
    /** Whether the endpoint's instance answers that nothing listens there. */
    readonly refusesConnections: boolean;
  }
  /**
   * Other routers, or the stored document, name traits of requests under which
   * endpoints crashed.
   */
  | {
    readonly type: "suspects_received";
    readonly nowMs: Millis;
    readonly reports: readonly SuspectReport[];
    /** Origin for the log: `directory`, or `peer` and the id of a router. */
    readonly source: string;
  }
  /** Sent periodically, also if the number of routers has not changed. */
  | {
    readonly type: "router_count_observed";
    readonly nowMs: Millis;
    readonly routerCount: number;
    /** Whether this router's id is the lowest of those that it knows. */
    readonly isFirst?: boolean;
    /** Ids of the other routers. */
    readonly routerIds?: readonly string[];
  }
  /** Other routers announced which versions began streams. */
  | {
    readonly type: "stream_origins_received";
    readonly nowMs: Millis;
    readonly origins: readonly StreamRecord[];
  }
  /** Result of the effect `read_stream_records`; without records if it failed. */
  | {
    readonly type: "stream_records_read";
    readonly nowMs: Millis;
    readonly records?: StoredStreams;
  }
  /** Result of the effect `find_stream_origin`. */
  | {
    readonly type: "stream_origin_answered";
    readonly nowMs: Millis;
    readonly key: number;
    /** Undefined if no router that was asked knows the stream. */
    readonly origin: StreamOrigin | undefined;
    /**
     * Whether this router is connected to all that it knows, and none of them
     * knows a later state of the directory.
     */
    readonly isFleetConnected: boolean;
  }
  /** The last open connection to an endpoint was closed. */
  | {
    readonly type: "endpoint_disconnected";
    readonly nowMs: Millis;
    readonly endpointId: string;
    readonly incarnation: number;
    readonly isClosedByEndpoint: boolean;
  }
  /** Result of the effect `check_versions`. */
  | {
    readonly type: "versions_checked";
    readonly nowMs: Millis;
    readonly key: number;
    /** Versions that the directory lists; undefined if it did not answer. */
    readonly services?: readonly ServiceVersions[];
  }
  /** The list of failure domains with an order to evacuate was read. */
  | {
    readonly type: "evacuations_changed";
    readonly nowMs: Millis;
    readonly failureDomains: readonly string[];
    /**
     * Longest time since a new order may have been given; undefined if that is
     * not known.
     */
    readonly maxAgeMs?: Millis;
    /** Origin for the log: `directory`, or `peer` and the id of a router. */
    readonly source: string;
  }
  | { readonly type: "tick"; readonly nowMs: Millis }
  /** The process was told to stop. */
  | { readonly type: "stopping"; readonly nowMs: Millis }
  /** The process is about to end; what has not ended must be answered now. */
  | { readonly type: "stop_time_over"; readonly nowMs: Millis };

/** Reason for refusing a request or for aborting its answer. */
export type DirectRefusalReason =
  | "no_config"
  | "no_route"
  | "unknown_key"
  | "header_too_large"
  | "body_too_large"
  | "no_endpoint"
  | "endpoints_refused"
  | "endpoints_unreachable"
  | "endpoint_failed"
  | "retry_budget_spent"
  /** The endpoints of the version that began the stream have left. */
  | "stream_version_gone"
  /** Several versions serve, and it is not known which one began the stream. */
  | "stream_version_unknown"
  /** Endpoints crash under a part of the prompt. */
  | "prompt_part_blocked"
  /** Endpoints crash under this very request. */
  | "request_blocked"
  /** The endpoints take fewer requests than callers send, by their own limits. */
  | "endpoints_limited"
  /** All endpoints refused requests and asked for none for a time. */
  | "endpoints_back_off"
  /** Operators have ordered to evacuate the domains of all endpoints. */
  | "domain_evacuated"
  /** The memory for what callers send is used up. */
  | "caller_memory"
  /** The router is behind and cannot place the request before its deadline. */
  | "router_overloaded"
  | "deadline_passed"
  | "stopping";

/**
 * An error answer that the router itself sends. It does not imply that the
 * request did not run, as an endpoint's refusal does; `outcome` tells whether
 * an endpoint may have executed the request.
 */
export interface Refusal {
  readonly status: number;
  readonly reason: DirectRefusalReason;
  /**
   * `not-run` if no endpoint executed the request; `unknown` if one may have.
   */
  readonly outcome: "not-run" | "unknown";
  readonly retryAfterMs?: Millis;
}

/** What the routers of a fleet stored of streams and versions. */
export interface StoredStreams {
  readonly streams: readonly StreamRecord[];
  readonly versions: readonly ServiceVersions[];
}

export interface StartAttempt {
  readonly type: "start_attempt";
  readonly key: number;
  readonly attemptNumber: number;
  readonly endpointId: string;
  /** Tells apart the processes that an endpoint has one after the other. */
  readonly incarnation: number;
  readonly address: string;
  /** Id of the caller's request, which the endpoint repeats in its answer. */
  readonly callId: string | undefined;
  /** How long the endpoint may take, counted from this event. */
  readonly deadlineMs: Millis;
  readonly accountName: string | undefined;
  /**
   * Urgency of a request to a model, from 0 (most urgent) to 9; undefined for
   * other requests.
   */
  readonly urgency: number | undefined;
  /**
   * Whether the caller has already received the head of an answer, so that this
   * attempt continues a partly relayed stream. The host does not use this
   * field: it requests the rest of the stream if `resumable` is set and it
   * knows the last event that the caller received.
   */
  readonly resume: boolean;
  /**
   * Whether the request may run more than once, because it is idempotent or its
   * answer is a resumable stream. It can then be sent on a connection that may
   * be stale.
   */
  readonly retryable: boolean;
  /** Whether the answer is a stream that another endpoint can continue. */
  readonly resumable: boolean;
  /**
   * Address of an endpoint from which to copy a longer cached prompt prefix.
   */
  readonly fetchCacheFrom: string | undefined;
  /**
   * Address of the endpoint to which the run is copied as it grows. Another
   * attempt may resume the answer there, so that only complete events are
   * relayed.
   */
  readonly copyTo?: string | undefined;
  /**
   * Address of the endpoint with a copy of the run that this attempt resumes. It
   * has the same call id and counts as the same run.
   */
  readonly copyFrom?: string | undefined;
}

/** Action that the host must perform after an event. */
export type DirectEffect =
  | StartAttempt
  /** Relay to the caller the answer that the attempt receives. */
  | {
    readonly type: "relay";
    readonly key: number;
    readonly attemptNumber: number;
    readonly endpointId: string;
  }
  /**
   * Discard the attempt's answer: close the connection, or read the answer to
   * its end and ignore it.
   */
  | {
    readonly type: "discard_attempt";
    readonly key: number;
    readonly attemptNumber: number;
    readonly closeConnection: boolean;
  }
  | {
    readonly type: "refuse";
    readonly key: number;
    readonly refusal: Refusal;
  }
  /**
   * Close the connection of the caller in the middle of an answer, so that the
   * caller does not mistake the answer for a complete one.
   */
  | { readonly type: "abort_answer"; readonly key: number }
  /**
   * Remove the request's timers and its connection to the caller from the host.
   */
  | { readonly type: "remove_request"; readonly key: number }
  | {
    readonly type: "set_timer";
    readonly key: number;
    readonly timer: RequestTimer;
    readonly delayMs: Millis;
  }
  | {
    readonly type: "clear_timer";
    readonly key: number;
    readonly timer: RequestTimer;
  }
  /** Report to the peers which prompt parts an endpoint has newly cached. */
  | {
    /** Store the fleet's documents in the directory again. */
    readonly type: "store_documents";
  }
  /**
   * Close the idle connections to an endpoint that have been unused for at least
   * this long, since they may have fallen silent.
   */
  | {
    readonly type: "close_idle_connections";
    readonly endpointId: string;
    readonly unusedMs: Millis;
  }
  | {
    readonly type: "broadcast_prompt_cache_entry";
    readonly entry: PromptCacheEntry;
  }
  /** Find out whether an endpoint still listens, without sending a request. */
  | {
    readonly type: "check_endpoint";
    readonly endpointId: string;
    readonly address: string;
  }
  /**
   * Find out whether the process has ended under which streams broke off, without
   * sending a request.
   */
  | {
    readonly type: "check_end";
    readonly address: string;
    readonly delayMs: Millis;
    /** Time after which an address that does not answer counts as undecided. */
    readonly timeoutMs: Millis;
  }
  /** Tell other routers about limits that endpoints name. */
  | {
    readonly type: "share_limits";
    readonly limits: readonly LimitReport[];
  }
  /**
   * Send the event `placement_due` in the next iteration of the event loop, unless
   * one is due there already.
   */
  | { readonly type: "schedule_placement" }
  /** Send the event `suspects_review_due` after a delay. */
  | { readonly type: "review_suspects"; readonly delayMs: Millis }
  /** Tell other routers under which traits of requests endpoints crashed. */
  | {
    readonly type: "share_suspects";
    readonly suspects: readonly SuspectReport[];
    /** Whether this router found the change, not another one. */
    readonly isOwn: boolean;
  }
  /** Tell other routers which version began a stream. */
  | {
    readonly type: "announce_stream_origin";
    readonly callId: string;
    readonly origin: StreamOrigin;
  }
  /** Store which versions began streams, in case that all routers are lost. */
  | {
    readonly type: "store_stream_records";
    readonly records: readonly StreamRecord[];
  }
  /** Read what routers stored of streams and versions. */
  | { readonly type: "read_stream_records" }
  /** Read from the directory which versions serve at this moment. */
  | { readonly type: "check_versions"; readonly key: number }
  /** Ask other routers which version began a stream. */
  | {
    readonly type: "find_stream_origin";
    readonly key: number;
    readonly callId: string;
  }
  /**
   * Apply the limits of the new configuration to the connections of callers.
   */
  | { readonly type: "apply_limits" }
  | {
    readonly type: "log";
    readonly event: LogEventName;
    readonly fields: LogFields;
  }
  | { readonly type: "measure"; readonly measurement: Measurement };
