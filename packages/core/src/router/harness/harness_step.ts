/** An event without its time, which the harness adds. */
export type WithoutTime<E> = E extends unknown ? Omit<E, "nowMs"> : never;

/** Kind of a call; two calls with the same key share their record. */
export type CallKind = "chat" | "once" | "keyed";

/** One step of a random schedule. Indexes are taken modulo what exists. */
export type Step =
  | {
    type: "call";
    router: number;
    kind: CallKind;
    key: number;
    chunks: number;
    wide: boolean;
  }
  | { type: "work"; rounds: number }
  /** Endpoints and the store go on while no frame is delivered. */
  | { type: "endpoints"; rounds: number }
  | { type: "deliver"; link: number; direction: Direction; frames: number }
  /** Repeats a submit frame, perhaps late, or a frame to the router. */
  | { type: "duplicate"; link: number; direction: Direction; frame: number }
  | { type: "reset"; link: number }
  | { type: "silence"; link: number; direction: Direction | "both" }
  | { type: "wait"; ticks: number }
  | { type: "restart"; sidecar: number }
  | { type: "drain"; sidecar: number }
  | { type: "drain_router"; router: number }
  | { type: "config"; node: number; version: number }
  | { type: "store"; up: boolean }
  | { type: "engine"; sidecar: number; accepts: boolean }
  | { type: "break_call"; sidecar: number }
  | { type: "leave_caller"; call: number };

export type Direction = "to_sidecar" | "to_router";
