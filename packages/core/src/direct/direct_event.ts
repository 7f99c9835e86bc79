import type { Millis } from "../clock.js";
import type { LogEventName, LogFields } from "../log_events.js";
import type { Measurement } from "../metric_names.js";
import type { EndpointChange } from "./endpoint_directory.js";
import type { ReportedLoad } from "./direct_endpoint.js";
import type { RoutingConfig } from "./routing_config.js";
import type { PromptCacheEntry } from "./warmth_index.js";

/** A part of a prompt that requests can share. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** A request of a caller, with what the router needs to know of it. */
export interface DirectCall {
  /** Names the caller's attempt; endpoints echo it. */
  readonly callId: string | undefined;
  readonly host: string;
  readonly path: string;
  readonly method: string;
  readonly apiKey: string | undefined;
  readonly deadlineMs: Millis | undefined;
  readonly model: string | undefined;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly promptParts: readonly PromptPart[];
  readonly headerBytes: number;
  readonly bodyBytes: number;
}

/** The start of an endpoint's answer. */
export interface AnswerHead {
  readonly status: number;
  readonly callId: string | undefined;
  /** The answer is signed by the endpoint. */
  readonly signed: boolean;
  /** The endpoint promises that it did not and will not run the request. */
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
  /** The bytes were no answer in the protocol. */
  | "garbled"
  /** The answer belongs to another request. */
  | "foreign"
  /** No answer came within the time given to the attempt. */
  | "silent";

export interface AttemptFailure {
  readonly kind: AttemptFailureKind;
  /** Whether any byte of the request may have reached the endpoint. */
  readonly sent: boolean;
  readonly detail?: string;
}

/** No request in flight at the endpoint has received anything. */
export interface EndpointStall {
  readonly endpointId: string;
  readonly idleMs: Millis;
}

/** An answer that has begun does not go on. */
export interface AttemptStall {
  readonly key: number;
  readonly attempt: number;
  readonly idleMs: Millis;
}

/** Timers of one request. */
export type RequestTimer = "deadline" | "attempt";

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
  /** The first body bytes of an answer that is relayed. */
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
    /** Another router read this from a directory that answers it. */
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
  /** What another router, or an earlier life of this one, knows. */
  | {
    readonly type: "prompt_cache_entries_received";
    readonly entries: readonly PromptCacheEntry[];
  }
  /** Endpoints and answers from which no byte has come for a while. */
  | {
    readonly type: "stalls_observed";
    readonly nowMs: Millis;
    /** Endpoints with requests in flight, silent ones included. */
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

/** Why a request is refused or given up. */
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

/** An answer of the router itself. */
export interface Refusal {
  readonly status: number;
  readonly reason: DirectRefusalReason;
  /** Whether the request may have run. */
  readonly outcome: "not-run" | "unknown";
  readonly retryAfterMs?: Millis;
}

export interface StartAttempt {
  readonly type: "start_attempt";
  readonly key: number;
  readonly attempt: number;
  readonly endpointId: string;
  readonly address: string;
  /** Time that the endpoint may use. */
  readonly deadlineMs: Millis;
  readonly accountName: string | undefined;
  /** 0 is the most urgent. */
  readonly urgency: number | undefined;
  /** Continue the answer after the last event relayed. */
  readonly resume: boolean;
  /** The request may be repeated, so a doubtful connection may carry it. */
  readonly idempotent: boolean;
  readonly resumable: boolean;
  /** Address of an endpoint that holds more of the prompt's start. */
  readonly fetchCacheFrom: string | undefined;
}

export type DirectEffect =
  | StartAttempt
  /** Pass the answer of the attempt on to the caller. */
  | {
    readonly type: "relay";
    readonly key: number;
    readonly attempt: number;
    readonly endpointId: string;
  }
  /** Read the answer to its end without using it, or close the connection. */
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
  /** Cut an answer that has begun, so that it cannot look whole. */
  | { readonly type: "abort_answer"; readonly key: number }
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
  /** Tell the other routers what an endpoint holds from now on. */
  | {
    readonly type: "broadcast_prompt_cache_entry";
    readonly entry: PromptCacheEntry;
  }
  | { readonly type: "limits_changed" }
  | {
    readonly type: "log";
    readonly event: LogEventName;
    readonly fields: LogFields;
  }
  | { readonly type: "measure"; readonly measurement: Measurement };
