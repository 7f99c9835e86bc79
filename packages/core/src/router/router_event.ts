/**
 * Events that the router host passes to `reduceRouter`, and the effects that
 * `reduceRouter` returns.
 */
import type { Millis } from "../clock.js";
import type { Bundle } from "../config/index.js";
import type { LogEventName, LogFields } from "../log_events.js";
import type { MembershipEffect, MembershipEvent } from "../membership/index.js";
import type { Measurement } from "../metric_names.js";
import type { RequestResult } from "../report/index.js";
import type { Message, MessageOf, Outcome } from "../wire/index.js";

/** A caller's HTTP request, as parsed by the router host. */
export interface CallerRequest {
  readonly requestId: string;
  readonly kind: "chat" | "service";
  /** SHA-256 of the bearer key in hexadecimal digits. */
  readonly keyHash: string;
  readonly method: string;
  /** Path and query that are sent to the endpoint. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Name of the requested model (chat) or service. */
  readonly target: string;
  readonly stream: boolean;
  /**
   * Chat id that the caller sent; without one, a digest of the beginning of the
   * chat.
   */
  readonly chatId: string;
  /** Requests with the same key prefer the same endpoints. */
  readonly affinityKey: string;
  /**
   * Hashes of the prefixes of the prompt that end at a block boundary, shortest
   * first.
   */
  readonly blockHashes: readonly bigint[];
  readonly promptTokens: number;
  readonly maxOutputTokens?: number | undefined;
  /** Time limit of the request in ms, counted from its receipt. */
  readonly deadlineInMs?: number | undefined;
  /** Whether the caller marked the call as idempotent; undefined if unmarked. */
  readonly idempotent?: boolean | undefined;
  readonly idempotencyKey?: string | undefined;
  /**
   * Digest of method, path and body. Detects an idempotency key that is reused
   * for a different request.
   */
  readonly fingerprint: string;
}

export type RouterEvent =
  | {
    readonly type: "request_received";
    readonly nowMs: Millis;
    readonly request: CallerRequest;
  }
  | {
    readonly type: "caller_gone";
    readonly nowMs: Millis;
    readonly requestId: string;
  }
  /** The caller's socket is full (`congested`), or is writable again. */
  | {
    readonly type: "caller_congested";
    readonly nowMs: Millis;
    readonly requestId: string;
    readonly congested: boolean;
  }
  | {
    readonly type: "connected";
    readonly nowMs: Millis;
    readonly endpointId: string;
    readonly hello: MessageOf<"hello">;
  }
  /**
   * A connection to a sidecar ended (`wasReady` is true) or could not be opened
   * (`wasReady` is false). `unsent` are the messages that were never written to
   * the socket.
   */
  | {
    readonly type: "connection_closed";
    readonly nowMs: Millis;
    readonly endpointId: string;
    readonly wasReady: boolean;
    readonly unsent: readonly Message[];
  }
  | {
    readonly type: "message";
    readonly nowMs: Millis;
    readonly endpointId: string;
    readonly message: Message;
  }
  | {
    readonly type: "config_applied";
    readonly nowMs: Millis;
    readonly configVersion: number;
    readonly bundle: Bundle;
  }
  | {
    readonly type: "membership";
    readonly nowMs: Millis;
    readonly event: MembershipEvent;
  }
  /**
   * Tells the router to admit no more requests. The effect "drained" follows
   * once no request is in progress.
   */
  | { readonly type: "drain_requested"; readonly nowMs: Millis }
  | { readonly type: "tick"; readonly nowMs: Millis };

/**
 * Error that the router host sends to the caller, as JSON in the form of the
 * OpenAI HTTP API. `outcome` says whether the request may have run.
 */
export interface ErrorAnswer {
  readonly status: number;
  readonly code: string;
  readonly errorType: string;
  readonly message: string;
  readonly outcome: Outcome;
  readonly retryAfterMs?: number | undefined;
}

export type RouterEffect =
  /** Sends a message to the endpoint's sidecar, opening a connection if needed. */
  | {
    readonly type: "send";
    readonly endpointId: string;
    readonly address: string;
    readonly message: Message;
  }
  | {
    readonly type: "close_connection";
    readonly endpointId: string;
    readonly reason: string;
  }
  | {
    readonly type: "respond_head";
    readonly requestId: string;
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
  }
  | {
    readonly type: "respond_data";
    readonly requestId: string;
    readonly data: Uint8Array;
  }
  | { readonly type: "respond_end"; readonly requestId: string }
  /**
   * Closes the caller's connection before the end of the response: the head was
   * sent, but the answer cannot be completed.
   */
  | { readonly type: "respond_abort"; readonly requestId: string }
  | {
    readonly type: "respond_error";
    readonly requestId: string;
    readonly error: ErrorAnswer;
    readonly endpointId?: string | undefined;
  }
  /**
   * Reports to the router host that a peer has a newer configuration version
   * than this router, so that the host fetches that version.
   */
  | {
    readonly type: "config_hint";
    readonly configVersion: number;
    readonly peerId: string;
  }
  | { readonly type: "membership"; readonly effect: MembershipEffect }
  /** The router is draining and has no request in progress. */
  | { readonly type: "drained" }
  /** An admitted request has ended. */
  | { readonly type: "request_ended"; readonly result: RequestResult }
  | { readonly type: "measure"; readonly measurement: Measurement }
  | {
    readonly type: "log";
    readonly event: LogEventName;
    readonly fields: LogFields;
  };
