import {
  getInitialSnapshot,
  setup,
  type SnapshotFrom,
  transition,
} from "xstate";

/** What happens to one request, as far as its life cycle is concerned. */
export type RequestMachineEvent =
  | { readonly type: "placed" }
  | { readonly type: "no_endpoint" }
  | { readonly type: "accepted" }
  /** The sidecar promised that the attempt never runs. */
  | { readonly type: "refused_not_run"; readonly mayTryNext: boolean }
  /** The attempt ended without a whole answer and may have run. */
  | { readonly type: "failed_unknown"; readonly mayRepeat: boolean }
  | { readonly type: "final_refusal" }
  | { readonly type: "connection_lost" }
  | { readonly type: "ended" }
  | { readonly type: "deadline_passed" }
  | { readonly type: "caller_gone" };

/** What the reducer has to do after a transition. */
export type RequestActionType =
  | "startPlacement"
  | "resumeAttempt"
  | "finish"
  | "giveUpNotRun"
  | "giveUpUnknown"
  | "answerRefusal"
  | "answerDeadline"
  | "cancelAttempt";

/**
 * Life cycle of one request at a router.
 *
 * `waiting` covers the time from the submit frame to the first answer to it;
 * `resuming` the time from a lost connection to the answer to the resume
 * frame. Body chunks never pass through the machine.
 */
const requestMachine = setup({
  types: { events: {} as RequestMachineEvent },
  actions: {
    startPlacement: () => {},
    resumeAttempt: () => {},
    finish: () => {},
    giveUpNotRun: () => {},
    giveUpUnknown: () => {},
    answerRefusal: () => {},
    answerDeadline: () => {},
    cancelAttempt: () => {},
  },
}).createMachine({
  id: "request",
  initial: "placing",
  on: {
    deadline_passed: {
      target: ".closed",
      actions: ["cancelAttempt", "answerDeadline"],
    },
    caller_gone: { target: ".closed", actions: ["cancelAttempt", "finish"] },
  },
  states: {
    placing: {
      on: {
        placed: "attempt",
        no_endpoint: { target: "closed", actions: "giveUpNotRun" },
      },
    },
    attempt: {
      initial: "waiting",
      on: {
        ended: { target: "closed", actions: "finish" },
        // A queued attempt can still be refused after it was accepted: it is
        // dropped from a full queue, or its key belongs to another call.
        refused_not_run: [
          {
            guard: ({ event }) => event.mayTryNext,
            target: "placing",
            actions: "startPlacement",
          },
          { target: "closed", actions: "giveUpNotRun" },
        ],
        final_refusal: { target: "closed", actions: "answerRefusal" },
        failed_unknown: [
          {
            guard: ({ event }) => event.mayRepeat,
            target: "placing",
            actions: "startPlacement",
          },
          { target: "closed", actions: "giveUpUnknown" },
        ],
      },
      states: {
        waiting: {
          on: {
            accepted: "running",
            connection_lost: { target: "resuming", actions: "resumeAttempt" },
          },
        },
        running: {
          on: {
            connection_lost: { target: "resuming", actions: "resumeAttempt" },
          },
        },
        resuming: {
          on: {
            accepted: "running",
            connection_lost: { actions: "resumeAttempt" },
          },
        },
      },
    },
    closed: { type: "final" },
  },
});

export type RequestSnapshot = SnapshotFrom<typeof requestMachine>;

export const initialRequestSnapshot: RequestSnapshot = getInitialSnapshot(
  requestMachine,
);

/** Advances a request; returns the new snapshot and what is to be done. */
export function advanceRequest(
  snapshot: RequestSnapshot,
  event: RequestMachineEvent,
): { snapshot: RequestSnapshot; actions: RequestActionType[] } {
  const [next, actions] = transition(requestMachine, snapshot, event);
  return {
    snapshot: next,
    actions: actions.map((action) => action.type as RequestActionType),
  };
}
