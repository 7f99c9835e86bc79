import type { Millis } from "../clock.js";
import type { LogEventName, LogFields } from "../log_events.js";
import type { Measurement } from "../metric_names.js";
import type { EndpointChange } from "./endpoint_directory.js";
import type { ReportedLoad } from "./direct_endpoint.js";
import type { RoutingConfig } from "./routing_config.js";
import type { PromptCacheEntry } from "./prompt_cache_index.js";

/** A part of a prompt; requests with the same part can share its cache. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What the router reads from a caller's request to route it. */
export interface DirectCall {
  /** Id that the caller gave to the request; endpoints return it. */
  readonly callId: string | undefined;
  readonly host: string;
  readonly path: string;
  readonly method: string;
  readonly apiKey: string | undefined;
  /** Time from the receipt of the call until the caller stops waiting. */
  readonly deadlineMs: Millis | undefined;
  readonly model: string | undefined;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** In prompt order; the last part belongs to this request alone. */
  readonly promptParts: readonly PromptPart[];
  readonly headerBytes: number;
  readonly bodyBytes: number;
}

/** Status and headers of an endpoint's answer. */
export interface AnswerHead {
  readonly status: number;
  readonly callId: string | undefined;
  /** The answer carries the endpoint's signature. */
  readonly signed: boolean;
  /** The endpoint confirms that it did not and will not run the request. */
  readonly notRun: boolean;
  /** The address belongs to another endpoint now. */
  readonly misdirected: boolean;
  readonly load: ReportedLoad | undefined;
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
  | "silent";

export interface AttemptFailure {
  readonly kind: AttemptFailureKind;
  /** Whether any byte of the request may have reached the endpoint. */
  readonly sent: boolean;
  readonly detail?: string;
}

/**
 * An endpoint that has sent no byte for any request in flight for some time.
 */
export interface EndpointStall {
  readonly endpointId: string;
  /** Time since the last byte of the endpoint. */
  readonly idleMs: Millis;
}

/** An attempt whose answer has begun and then stopped arriving. */
export interface AttemptStall {
  readonly key: number;
  readonly attempt: number;
  /** Time since the last byte of the answer. */
  readonly idleMs: Millis;
}

/**
 * Timers of one request. `deadline` also ends the wait of a call that arrived
 * before the router could serve.
 */
export type RequestTimer = "deadline" | "attempt";

/**
 * Input of `reduceDirect`. `key` identifies a call and its request, `attempt`
 * is the number of one of its attempts.
 */
export type DirectEvent =
  | {
    readonly type: "call_received";
    readonly nowMs: Millis;
    readonly key: number;
    readonly call: DirectCall;
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
    readonly attempt: number;
    readonly head: AnswerHead;
  }
  /** The first body bytes of a relayed answer have arrived. */
  | {
    readonly type: "attempt_progress";
    readonly nowMs: Millis;
    readonly key: number;
    readonly attempt: number;
  }
  | {
    readonly type: "attempt_ended";
    readonly nowMs: Millis;
    readonly key: number;
    readonly attempt: number;
  }
  | {
    readonly type: "attempt_failed";
    readonly nowMs: Millis;
    readonly key: number;
    readonly attempt: number;
    readonly failure: AttemptFailure;
    /** The answer can be continued after the last event relayed. */
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
    readonly source: string;
  }
  | {
    readonly type: "endpoints_changed";
    readonly nowMs: Millis;
    readonly change: EndpointChange;
    readonly source: string;
    /**
     * Set when a peer reported the change: whether the directory was available
     * to that peer without a recent outage.
     */
    readonly settled?: boolean;
  }
  | {
    readonly type: "store_state_changed";
    readonly nowMs: Millis;
    readonly available: boolean;
  }
  | {
    readonly type: "peer_loads_received";
    readonly nowMs: Millis;
    readonly peerId: string;
    /** Requests in flight by endpoint; endpoints not named have none. */
    readonly inFlight: Readonly<Record<string, number>>;
  }
  /**
   * Prompt cache entries arrived from a peer, or were loaded from the store,
   * where a router saved them before this process started.
   */
  | {
    readonly type: "prompt_cache_entries_received";
    readonly entries: readonly PromptCacheEntry[];
  }
  /** Endpoints and answers from which no byte has arrived for some time. */
  | {
    readonly type: "stalls_observed";
    readonly nowMs: Millis;
    /** Endpoints with requests in flight, stalled ones included. */
    readonly busyEndpoints: number;
    readonly endpoints: readonly EndpointStall[];
    readonly attempts: readonly AttemptStall[];
  }
  | {
    readonly type: "peers_changed";
    readonly routerCount: number;
  }
  | { readonly type: "tick"; readonly nowMs: Millis }
  | { readonly type: "stopping"; readonly nowMs: Millis };

/** Why a request is refused, or why its answer is aborted. */
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
  | "deadline_passed"
  | "stopping";

/** An error answer that the router itself sends. */
export interface Refusal {
  readonly status: number;
  readonly reason: DirectRefusalReason;
  /** Whether the request certainly did not run or may have run. */
  readonly outcome: "not-run" | "unknown";
  readonly retryAfterMs?: Millis;
}

export interface StartAttempt {
  readonly type: "start_attempt";
  readonly key: number;
  readonly attempt: number;
  readonly endpointId: string;
  readonly address: string;
  /** Time that the endpoint may take, from now. */
  readonly deadlineMs: Millis;
  readonly accountName: string | undefined;
  /** 0 is the most urgent. */
  readonly urgency: number | undefined;
  /** Continue the answer after the last event relayed. */
  readonly resume: boolean;
  /** The request may be retried, so it may use a possibly stale connection. */
  readonly idempotent: boolean;
  /** The answer is a stream that another endpoint can continue. */
  readonly resumable: boolean;
  /** Address of an endpoint that has cached a longer prefix of the prompt. */
  readonly fetchCacheFrom: string | undefined;
}

/** What the host has to do after an event. */
export type DirectEffect =
  | StartAttempt
  /** Forward the answer of the attempt to the caller. */
  | {
    readonly type: "relay";
    readonly key: number;
    readonly attempt: number;
    readonly endpointId: string;
  }
  /** Close the connection, or read the answer to its end and ignore it. */
  | {
    readonly type: "discard_attempt";
    readonly key: number;
    readonly attempt: number;
    readonly closeConnection: boolean;
  }
  | {
    readonly type: "refuse";
    readonly key: number;
    readonly refusal: Refusal;
  }
  /**
   * Abort an answer that has begun, so that the caller cannot take it for
   * complete.
   */
  | { readonly type: "abort_answer"; readonly key: number }
  /** Release what the host keeps for the request. */
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
  /** Report prompt parts that an endpoint has newly cached to the peers. */
  | {
    readonly type: "broadcast_prompt_cache_entry";
    readonly entry: PromptCacheEntry;
  }
  /** The limits for callers may have changed with the configuration. */
  | { readonly type: "limits_changed" }
  | {
    readonly type: "log";
    readonly event: LogEventName;
    readonly fields: LogFields;
  }
  | { readonly type: "measure"; readonly measurement: Measurement };
