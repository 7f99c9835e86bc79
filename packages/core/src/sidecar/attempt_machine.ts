/** State machine of the life cycle of an attempt at a sidecar. */
import {
  getInitialSnapshot,
  setup,
  type SnapshotFrom,
  transition,
} from "xstate";

/** Events that the sidecar reducer sends to the state machine of an attempt. */
export type AttemptMachineEvent =
  /**
   * A slot of the endpoint is free and this attempt is the next to start.
   * `hasIdempotencyKey` says whether its call has an idempotency key.
   */
  | { readonly type: "slot_free"; readonly hasIdempotencyKey: boolean }
  /**
   * This attempt created the execution record for its call's idempotency key.
   */
  | { readonly type: "record_created" }
  /** The attempt was refused after it had been accepted. */
  | { readonly type: "refused" }
  /** The router cancelled the attempt or did not resume it in time. */
  | { readonly type: "cancelled"; readonly idempotent: boolean }
  /** The endpoint sent its complete answer. */
  | { readonly type: "call_ended" }
  /** The call to the endpoint failed before the end of the answer. */
  | { readonly type: "call_failed" };

/**
 * Actions of an attempt's state machine; the reducer runs them after a
 * transition.
 */
export type AttemptActionType =
  | "createRecord"
  | "startCall"
  | "abortCall"
  /**
   * Frees the slot; frames are retained until the router has acknowledged them.
   */
  | "finish"
  /** Frees the slot and removes the attempt together with its frames. */
  | "discard";

/**
 * Life cycle of one attempt at a sidecar.
 *
 * A call that is not idempotent is not aborted once it may have started, even if
 * no router waits for its answer. An abort could leave a write half done.
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
            guard: ({ event }) => event.hasIdempotencyKey,
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
export function transitionAttempt(
  snapshot: AttemptSnapshot,
  event: AttemptMachineEvent,
): { snapshot: AttemptSnapshot; actions: AttemptActionType[] } {
  const [next, actions] = transition(attemptMachine, snapshot, event);
  return {
    snapshot: next,
    actions: actions.map((action) => action.type as AttemptActionType),
  };
}
