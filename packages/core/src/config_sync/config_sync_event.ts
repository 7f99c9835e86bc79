import type { Millis } from "../clock.js";
import type { Bundle } from "../config/bundle_schema.js";
import type { Manifest } from "../config/config_sections.js";
import type { MessageOf } from "../wire/messages.js";

/** A value of the store with the version that its last write gave it. */
export interface VersionedValue {
  readonly version: number;
  readonly value: unknown;
}

/** Input of the reducer; `nowMs` is the monotonic time of the observation. */
export type ConfigSyncEvent =
  /** The process has started; `seedPeerIds` are the peers known at startup. */
  | {
    readonly type: "started";
    readonly nowMs: Millis;
    readonly seedPeerIds: readonly string[];
  }
  /** Sent about every 250 ms, with the peers that are reachable now. */
  | {
    readonly type: "tick";
    readonly nowMs: Millis;
    readonly peerIds: readonly string[];
    /** Version of the instance list, included in version queries to peers. */
    readonly listVersion?: number | undefined;
  }
  | {
    readonly type: "message_received";
    readonly nowMs: Millis;
    readonly peerId: string;
    readonly message: MessageOf<"config_query"> | MessageOf<"config_state">;
  }
  /**
   * A hello, submit, probe, load digest or endpoint status named the version
   * that is in force at the peer.
   */
  | {
    readonly type: "peer_version_observed";
    readonly nowMs: Millis;
    readonly peerId: string;
    readonly configVersion: number;
  }
  | {
    readonly type: "election_changed";
    readonly nowMs: Millis;
    readonly elected: boolean;
  }
  /** The watch has ended; `object` is undefined if it timed out. */
  | {
    readonly type: "watch_returned";
    readonly nowMs: Millis;
    readonly watchId: number;
    readonly object: VersionedValue | undefined;
  }
  | {
    readonly type: "watch_failed";
    readonly nowMs: Millis;
    readonly watchId: number;
  }
  /** A store read succeeded; keys that do not exist are absent. */
  | {
    readonly type: "objects_read";
    readonly nowMs: Millis;
    readonly requestId: number;
    readonly objects: ReadonlyMap<string, VersionedValue>;
  }
  | {
    readonly type: "read_failed";
    readonly nowMs: Millis;
    readonly requestId: number;
  };

export type ConfigSyncEffect =
  | {
    readonly type: "send";
    readonly peerId: string;
    readonly message: MessageOf<"config_query"> | MessageOf<"config_state">;
  }
  /**
   * Calls `ObjectStore.watch`; the result arrives as `watch_returned` or
   * `watch_failed`.
   */
  | {
    readonly type: "start_watch";
    readonly watchId: number;
    readonly key: string;
    readonly afterVersion: number;
    readonly timeoutMs: Millis;
  }
  | { readonly type: "stop_watch"; readonly watchId: number }
  /**
   * Reads all keys; the result arrives as one `objects_read` or `read_failed`.
   */
  | {
    readonly type: "read_objects";
    readonly requestId: number;
    readonly keys: readonly string[];
  }
  /** Puts the version in force. */
  | {
    readonly type: "apply";
    readonly version: number;
    readonly manifest: Manifest;
    readonly bundle: Bundle;
  }
  | {
    readonly type: "log";
    readonly level: "info" | "warn" | "error";
    readonly text: string;
  }
  | {
    readonly type: "count";
    readonly counter: ConfigSyncCounter;
    readonly amount: number;
  };

export type ConfigSyncCounter =
  | "applied"
  | "push_sent"
  | "compare_sent"
  | "peer_fetch"
  | "peer_fetch_timeout"
  | "store_read"
  | "store_failed"
  | "late_answer"
  | "older_ignored"
  | "digest_mismatch"
  | "unreadable";
