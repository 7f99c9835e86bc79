/** An event without its time, which the harness adds. */
export type WithoutTime<E> = E extends unknown ? Omit<E, "nowMs"> : never;

/** Kind of a call; "keyed" calls with the same key share an execution record. */
export type CallKind = "chat" | "once" | "keyed";

/** One step of a schedule. Indexes are taken modulo the number of items. */
export type Step =
  | {
    type: "call";
    router: number;
    kind: CallKind;
    key: number;
    chunks: number;
    large: boolean;
  }
  | { type: "work"; rounds: number }
  /** Endpoints and the store advance while no frame is delivered. */
  | { type: "endpoints"; rounds: number }
  | { type: "deliver"; link: number; direction: Direction; frames: number }
  /** Delivers a past submit frame again, or repeats a frame to the router. */
  | { type: "duplicate"; link: number; direction: Direction; frame: number }
  | { type: "reset"; link: number }
  | { type: "stall"; link: number; direction: Direction | "both" }
  | { type: "wait"; ticks: number }
  | { type: "restart"; sidecar: number }
  | { type: "drain"; sidecar: number }
  | { type: "drain_router"; router: number }
  | { type: "config"; node: number; version: number }
  | { type: "store"; available: boolean }
  | { type: "engine"; sidecar: number; accepts: boolean }
  | { type: "fail_call"; sidecar: number }
  | { type: "disconnect_caller"; call: number };

export type Direction = "to_sidecar" | "to_router";
