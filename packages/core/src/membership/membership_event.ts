import type { Millis } from "../clock.js";
import type { EndpointState, MessageOf } from "../wire/messages.js";
import type { InstanceRow } from "./membership_state.js";

/** Input of the reducer; `nowMs` is the monotonic time of the observation. */
export type MembershipEvent =
  /** A poll of the instance list returned a list. */
  | {
    readonly type: "list_received";
    readonly nowMs: Millis;
    readonly listVersion: number;
    readonly instances: readonly InstanceRow[];
  }
  /** A poll of the instance list returned status 304: the list is unchanged. */
  | { readonly type: "list_not_modified"; readonly nowMs: Millis }
  | { readonly type: "list_failed"; readonly nowMs: Millis }
  /** A peer relayed the list, or sent a query with its list version. */
  | {
    readonly type: "message_received";
    readonly nowMs: Millis;
    readonly peerId: string;
    readonly message: MessageOf<"instances"> | MessageOf<"config_query">;
  }
  /** A frame of any type arrived from an instance, for example a `hello`. */
  | {
    readonly type: "answered";
    readonly nowMs: Millis;
    readonly instanceId: string;
    /** Absent for frames that only show that the instance is alive. */
    readonly status?: {
      readonly incarnation: number;
      /**
       * State that the endpoint reported. Absent in the `hello` message and in
       * frames from routers.
       */
      readonly state?: EndpointState | undefined;
    } | undefined;
    /** Row to add if the instance is unknown; the list may not name it yet. */
    readonly row?: InstanceRow | undefined;
  }
  /** A connection could not be opened, or was closed before it was ready. */
  | {
    readonly type: "connect_failed";
    readonly nowMs: Millis;
    readonly instanceId: string;
  }
  /**
   * An open connection delivered no frame within the stall timeout. Handled like
   * `connect_failed`. Not sent by the hosts: they close a stalled connection and
   * report only a failure to open the next one.
   */
  | {
    readonly type: "connection_stalled";
    readonly nowMs: Millis;
    readonly instanceId: string;
  }
  /** Sent about every 500 ms, or more often. */
  | { readonly type: "tick"; readonly nowMs: Millis };

export type MembershipEffect =
  /**
   * Requests `GET /instances`; the result arrives as `list_received`,
   * `list_not_modified` or `list_failed`.
   */
  | { readonly type: "poll_list" }
  | {
    readonly type: "send";
    readonly peerId: string;
    readonly message: MessageOf<"instances">;
  }
  /**
   * Connects to the instance or sends it a probe without a request; the result
   * arrives as `answered` or `connect_failed`.
   */
  | { readonly type: "probe_instance"; readonly instanceId: string }
  /**
   * This router became or ceased to be an elected watcher of its failure
   * domain. A watcher polls the instance list and watches the configuration in
   * the store.
   */
  | { readonly type: "election_changed"; readonly elected: boolean }
  | {
    readonly type: "count";
    readonly counter: MembershipCounter;
    readonly amount: number;
  }
  | {
    readonly type: "log";
    readonly level: "info" | "warn";
    readonly text: string;
  };

export type MembershipCounter =
  | "list_applied"
  | "list_older_ignored"
  | "list_base_missing"
  | "evidence_older_ignored"
  | "endpoint_suspected"
  | "domain_suspected"
  | "endpoint_unstable";
