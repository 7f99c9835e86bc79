/** An event without its time, which the harness adds. */
export type WithoutTime<E> = E extends unknown ? Omit<E, "nowMs"> : never;

/**
 * Kind of a call: "chat" is idempotent, "once" is not, and "keyed" has an
 * idempotency key. Keyed calls with the same key share an execution record.
 */
export type CallKind = "chat" | "once" | "keyed";

/**
 * One step of a schedule. An index is taken modulo the number of items that it
 * selects from.
 */
export type Step =
  | {
    type: "call";
    router: number;
    kind: CallKind;
    /** Selects the chat, its prompt and the idempotency key. */
    key: number;
    /** Number of chunks in the answer; ignored for keyed calls. */
    chunks: number;
    /** Whether the chunks are large enough to fill the stream buffer. */
    large: boolean;
  }
  /**
   * In each of `rounds` rounds, delivers all frames and then runs the endpoints
   * and the execution record store.
   */
  | { type: "work"; rounds: number }
  /**
   * In each of `rounds` rounds, runs the endpoints and the execution record
   * store, without delivering frames.
   */
  | { type: "endpoints"; rounds: number }
  /** Delivers up to `frames` frames in one direction of a connection. */
  | { type: "deliver"; link: number; direction: Direction; frames: number }
  /**
   * Queues a frame a second time. If `direction` is `to_sidecar`, this repeats
   * a submit frame that the sidecar has already received; if it is `to_router`,
   * a frame that is still in transit.
   */
  | { type: "duplicate"; link: number; direction: Direction; frame: number }
  /** Closes a connection at both ends; frames in transit are lost. */
  | { type: "reset"; link: number }
  /** Stops the delivery of frames in a direction; the connection stays open. */
  | { type: "stall"; link: number; direction: Direction | "both" }
  /** Lets time pass; delivers no frame between routers and sidecars. */
  | { type: "wait"; ticks: number }
  | { type: "restart"; sidecar: number }
  | { type: "drain"; sidecar: number }
  | { type: "drain_router"; router: number }
  /**
   * Applies a configuration version to a node; routers are numbered before
   * sidecars.
   */
  | { type: "config"; node: number; version: number }
  /** Sets whether the execution record store is available. */
  | { type: "store"; available: boolean }
  /** Sets whether a sidecar's endpoint accepts connections. */
  | { type: "engine"; sidecar: number; accepts: boolean }
  | { type: "fail_call"; sidecar: number }
  | { type: "disconnect_caller"; call: number };

export type Direction = "to_sidecar" | "to_router";
