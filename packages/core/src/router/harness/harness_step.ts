/** An event without its time, which the harness adds. */
export type WithoutTime<E> = E extends unknown ? Omit<E, "nowMs"> : never;

/**
 * Kind of a call: "chat" is idempotent, "once" is not, and "keyed" has an
 * idempotency key. Keyed calls with the same key share an execution record.
 */
export type CallKind = "chat" | "once" | "keyed";

/** One step of a schedule. Indexes are taken modulo the number of items. */
export type Step =
  | {
    type: "call";
    router: number;
    kind: CallKind;
    key: number;
    /** Number of chunks in the answer; ignored for keyed calls. */
    chunks: number;
    /** Whether the chunks are large enough to fill the stream buffer. */
    large: boolean;
  }
  /** Runs `rounds` rounds: delivers all frames, then advances endpoints and store. */
  | { type: "work"; rounds: number }
  /** Runs the endpoints and the store for `rounds` rounds; delivers no frame. */
  | { type: "endpoints"; rounds: number }
  /** Delivers up to `frames` frames in one direction of a connection. */
  | { type: "deliver"; link: number; direction: Direction; frames: number }
  /**
   * Queues a frame a second time: towards the sidecar a submit frame that it has
   * received, towards the router a frame that is in transit.
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
  /** Applies a configuration version; routers have the lower node numbers. */
  | { type: "config"; node: number; version: number }
  /** Sets whether the store of execution records is available. */
  | { type: "store"; available: boolean }
  /** Sets whether a sidecar's endpoint accepts connections. */
  | { type: "engine"; sidecar: number; accepts: boolean }
  | { type: "fail_call"; sidecar: number }
  | { type: "disconnect_caller"; call: number };

export type Direction = "to_sidecar" | "to_router";
