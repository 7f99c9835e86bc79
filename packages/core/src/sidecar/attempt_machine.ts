/** State machine of the life cycle of an attempt at a sidecar. */
import {
  getInitialSnapshot,
  setup,
  type SnapshotFrom,
  transition,
} from "xstate";

/** Events of the state machine of an attempt. */
export type AttemptMachineEvent =
  /** A slot of the endpoint is free. */
  | { readonly type: "slot_free"; readonly keyed: boolean }
  /** This attempt created the execution record of its keyed call. */
  | { readonly type: "record_created" }
  | { readonly type: "refused" }
  | { readonly type: "cancelled"; readonly idempotent: boolean }
  | { readonly type: "call_ended" }
  | { readonly type: "call_failed" };

/** Actions of the state machine; the sidecar runs them after a transition. */
export type AttemptActionType =
  | "createRecord"
  | "startCall"
  | "abortCall"
  | "finish"
  | "discard";

/**
 * Life cycle of one attempt at a sidecar.
 *
 * A call that is not idempotent is never aborted once it may have started: a
 * partial write is worse than an answer that is not read.
 */
const attemptMachine = setup({
  types: { events: {} as AttemptMachineEvent },
  actions: {
    createRecord: () => {},
    startCall: () => {},
    abortCall: () => {},
    finish: () => {},
    discard: () => {},
  },
}).createMachine({
  id: "attempt",
  initial: "queued",
  states: {
    queued: {
      on: {
        slot_free: [
          {
            guard: ({ event }) => event.keyed,
            target: "recording",
            actions: "createRecord",
          },
          { target: "running", actions: "startCall" },
        ],
        refused: { target: "ended", actions: "discard" },
        cancelled: { target: "ended", actions: "discard" },
      },
    },
    recording: {
      on: {
        record_created: { target: "running", actions: "startCall" },
        refused: { target: "ended", actions: "discard" },
      },
    },
    running: {
      on: {
        call_ended: { target: "ended", actions: "finish" },
        call_failed: { target: "ended", actions: "finish" },
        cancelled: {
          guard: ({ event }) => event.idempotent,
          target: "ended",
          actions: ["abortCall", "discard"],
        },
      },
    },
    ended: { type: "final" },
  },
});

export type AttemptSnapshot = SnapshotFrom<typeof attemptMachine>;

export const initialAttemptSnapshot: AttemptSnapshot = getInitialSnapshot(
  attemptMachine,
);

/** Applies an event; returns the new snapshot and the actions to run. */
export function advanceAttempt(
  snapshot: AttemptSnapshot,
  event: AttemptMachineEvent,
): { snapshot: AttemptSnapshot; actions: AttemptActionType[] } {
  const [next, actions] = transition(attemptMachine, snapshot, event);
  return {
    snapshot: next,
    actions: actions.map((action) => action.type as AttemptActionType),
  };
}
