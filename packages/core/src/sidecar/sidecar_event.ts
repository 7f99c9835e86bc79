/**
 * Events that the sidecar host passes to `reduceSidecar`, and the effects that
 * `reduceSidecar` returns.
 */
import type { Millis } from "../clock.js";
import type { Pool } from "../config/index.js";
import type { LogEventName, LogFields } from "../log_events.js";
import type { Measurement } from "../metric_names.js";
import type {
  Message,
  MessageOf,
  Order,
  Outcome,
  RefusalReason,
  StoredAnswer,
  SubmitMessage,
  TokenUsage,
} from "../wire/index.js";

/** Another endpoint of the pool, with the address of its sidecar. */
export interface PoolPeer {
  readonly endpointId: string;
  readonly address: string;
}

/**
 * Whether a call with an idempotency key may start, according to the execution
 * record of that key.
 */
export type ExecutionDecision =
  | { readonly type: "start" }
  | {
    readonly type: "refuse";
    readonly reason: RefusalReason;
    readonly outcome: Outcome;
    readonly retryAfterMs: Millis;
    readonly answer?: StoredAnswer | undefined;
  };

export type SidecarEvent =
  | {
    readonly type: "connected";
    readonly nowMs: Millis;
    readonly connectionId: string;
    readonly hello: MessageOf<"hello">;
  }
  | {
    readonly type: "connection_closed";
    readonly nowMs: Millis;
    readonly connectionId: string;
  }
  | {
    readonly type: "message";
    readonly nowMs: Millis;
    readonly connectionId: string;
    readonly message: Message;
  }
  /** Reply to the "create_record" effect. */
  | {
    readonly type: "execution_decided";
    readonly nowMs: Millis;
    readonly attemptId: string;
    readonly decision: ExecutionDecision;
  }
  | {
    readonly type: "call_head";
    readonly nowMs: Millis;
    readonly attemptId: string;
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
  }
  | {
    readonly type: "call_data";
    readonly nowMs: Millis;
    readonly attemptId: string;
    readonly data: Uint8Array;
    /**
     * Estimated number of generated tokens in `data`; 0 if the answer is not a
     * stream.
     */
    readonly outputTokens: number;
  }
  | {
    readonly type: "call_ended";
    readonly nowMs: Millis;
    readonly attemptId: string;
    readonly usage?: TokenUsage | undefined;
  }
  | {
    readonly type: "call_failed";
    readonly nowMs: Millis;
    readonly attemptId: string;
    /** False only if no connection to the endpoint was established. */
    readonly mayHaveRun: boolean;
    readonly reason: string;
  }
  | {
    readonly type: "endpoint_health";
    readonly nowMs: Millis;
    /** Result of the host's latest health check of the endpoint. */
    readonly healthy: boolean;
  }
  /** Hashes of the blocks that the engine added to or evicted from its cache. */
  | {
    readonly type: "cache_events";
    readonly nowMs: Millis;
    readonly storedHashes: readonly bigint[];
    readonly evictedHashes: readonly bigint[];
  }
  | {
    readonly type: "config_applied";
    readonly nowMs: Millis;
    readonly configVersion: number;
    /** Undefined if the configuration does not contain the sidecar's pool. */
    readonly pool: Pool | undefined;
  }
  | {
    readonly type: "peers_changed";
    readonly nowMs: Millis;
    readonly peers: readonly PoolPeer[];
  }
  | {
    readonly type: "drain_requested";
    readonly nowMs: Millis;
    /** Whether the process exits once no attempt is left. */
    readonly exitWhenDrained: boolean;
  }
  /** The endpoint has carried out an order or refused it. */
  | {
    readonly type: "order_answered";
    readonly nowMs: Millis;
    readonly connectionId: string;
    readonly orderId: string;
    readonly accepted: boolean;
    readonly reason: string;
  }
  /**
   * The host has read the endpoint's order object from the store, as it does
   * after each start of the process. The version of that object is at least the
   * highest fencing number that this sidecar has accepted.
   */
  | {
    readonly type: "fencing_number_read";
    readonly nowMs: Millis;
    readonly fencingNumber: number;
  }
  | { readonly type: "tick"; readonly nowMs: Millis };

export type SidecarEffect =
  | {
    readonly type: "send";
    readonly connectionId: string;
    readonly message: Message;
  }
  | {
    readonly type: "close_connection";
    readonly connectionId: string;
    readonly reason: string;
  }
  /** Sends a load digest to another sidecar, opening a connection if needed. */
  | {
    readonly type: "send_peer";
    readonly peer: PoolPeer;
    readonly message: MessageOf<"digest">;
  }
  /**
   * Creates the execution record for the call's idempotency key, if the key has
   * none yet.
   */
  | {
    readonly type: "create_record";
    readonly attemptId: string;
    readonly submit: SubmitMessage;
  }
  /**
   * Stores the answer of a call in the execution record of its idempotency key.
   */
  | {
    readonly type: "finish_record";
    readonly attemptId: string;
    readonly answer: StoredAnswer;
  }
  | {
    readonly type: "start_call";
    readonly attemptId: string;
    readonly submit: SubmitMessage;
  }
  | { readonly type: "abort_call"; readonly attemptId: string }
  /** Stops or resumes reading the endpoint's answer. */
  | {
    readonly type: "pause_call";
    readonly attemptId: string;
    readonly paused: boolean;
  }
  /**
   * Sends an order to the endpoint; the event "order_answered" reports the
   * result.
   */
  | {
    readonly type: "run_order";
    readonly connectionId: string;
    readonly order: Order;
  }
  /**
   * Reports to the sidecar host that a peer has a newer configuration version
   * than this sidecar, so that the host fetches that version.
   */
  | {
    readonly type: "config_hint";
    readonly configVersion: number;
    readonly connectionId: string;
  }
  | { readonly type: "exit" }
  | { readonly type: "measure"; readonly measurement: Measurement }
  | {
    readonly type: "log";
    readonly event: LogEventName;
    readonly fields: LogFields;
  };
