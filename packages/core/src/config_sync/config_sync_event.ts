import type { Millis } from "../clock.js";
import type { Bundle } from "../config/bundle_schema.js";
import type { Manifest } from "../config/config_sections.js";
import type { MessageOf } from "../wire/messages.js";

/** A value of the store with the version that its last write gave it. */
export interface VersionedValue {
  readonly version: number;
  readonly value: unknown;
}

/** What happened, with the monotonic time at which the host saw it. */
export type ConfigSyncEvent =
  /** The process has started; `seedPeerIds` are the peers it knows from then. */
  | {
    readonly type: "started";
    readonly nowMs: Millis;
    readonly seedPeerIds: readonly string[];
  }
  /** At least every 250 ms, with the peers that can be reached now. */
  | {
    readonly type: "tick";
    readonly nowMs: Millis;
    readonly peerIds: readonly string[];
    /** Version of the instance list, passed on when versions are compared. */
    readonly listVersion?: number | undefined;
  }
  | {
    readonly type: "message_received";
    readonly nowMs: Millis;
    readonly peerId: string;
    readonly message: MessageOf<"config_query"> | MessageOf<"config_state">;
  }
  /** A hello, submit, probe, digest or facts named the sender's version. */
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
  /** The watch returned the object, or undefined at its timeout. */
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
  /** Objects by key; a key that does not exist is absent. */
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
  /** One call of `ObjectStore.watch`; its end comes back as an event. */
  | {
    readonly type: "start_watch";
    readonly watchId: number;
    readonly key: string;
    readonly afterVersion: number;
    readonly timeoutMs: Millis;
  }
  | { readonly type: "stop_watch"; readonly watchId: number }
  /** Reads all keys; answered by one `objects_read` or `read_failed`. */
  | {
    readonly type: "read_objects";
    readonly requestId: number;
    readonly keys: readonly string[];
  }
  /** The version is in force from now on. */
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
