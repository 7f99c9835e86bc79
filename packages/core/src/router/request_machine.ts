/** State machine of the life cycle of a request at a router. */
import {
  getInitialSnapshot,
  setup,
  type SnapshotFrom,
  transition,
} from "xstate";

/** Events of a request's state machine. */
export type RequestMachineEvent =
  | { readonly type: "placed" }
  | { readonly type: "no_endpoint" }
  | { readonly type: "accepted" }
  /** The attempt did not run and never will. */
  | { readonly type: "refused_not_run"; readonly mayTryNext: boolean }
  /** The attempt ended without a complete answer and may have run. */
  | { readonly type: "failed_unknown"; readonly mayRetry: boolean }
  /** Any other endpoint would refuse the request for the same reason. */
  | { readonly type: "final_refusal" }
  | { readonly type: "connection_lost" }
  | { readonly type: "ended" }
  | { readonly type: "deadline_passed" }
  | { readonly type: "caller_gone" };

/**
 * Actions of a request's state machine; the reducer runs them after a
 * transition.
 */
export type RequestActionType =
  | "startPlacement"
  | "resumeAttempt"
  | "finish"
  | "answerNotRun"
  | "answerOutcomeUnknown"
  | "answerRefusal"
  | "answerDeadline"
  | "cancelAttempt";

/**
 * Life cycle of one request at a router.
 *
 * The state `waiting` lasts from the sending of the submit frame to the
 * sidecar's first answer. The state `resuming` lasts from the loss of the
 * connection to the sidecar's answer to the resume frame. Body chunks do not
 * pass through the state machine.
 */
const requestMachine = setup({
  types: { events: {} as RequestMachineEvent },
  actions: {
    startPlacement: () => {},
    resumeAttempt: () => {},
    finish: () => {},
    answerNotRun: () => {},
    answerOutcomeUnknown: () => {},
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
        no_endpoint: { target: "closed", actions: "answerNotRun" },
      },
    },
    attempt: {
      initial: "waiting",
      on: {
        ended: { target: "closed", actions: "finish" },
        // An accepted attempt can still be refused: it may be dropped from a
        // full queue, or its idempotency key may belong to another call.
        refused_not_run: [
          {
            guard: ({ event }) => event.mayTryNext,
            target: "placing",
            actions: "startPlacement",
          },
          { target: "closed", actions: "answerNotRun" },
        ],
        final_refusal: { target: "closed", actions: "answerRefusal" },
        failed_unknown: [
          {
            guard: ({ event }) => event.mayRetry,
            target: "placing",
            actions: "startPlacement",
          },
          { target: "closed", actions: "answerOutcomeUnknown" },
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

/** A new snapshot and the actions to run. */
export interface RequestTransition {
  readonly snapshot: RequestSnapshot;
  readonly actions: readonly RequestActionType[];
}

/**
 * The snapshot of each state. The machine has no context, so that there is one for
 * all requests, and a transition depends on nothing but the state and the event.
 */
const snapshots = new Map([
  [stateKey(initialRequestSnapshot), initialRequestSnapshot],
]);

const knownTransitions = new WeakMap<
  RequestSnapshot,
  Map<string, RequestTransition>
>();

/** Applies an event; returns the new snapshot and the actions to run. */
export function transitionRequest(
  snapshot: RequestSnapshot,
  event: RequestMachineEvent,
): RequestTransition {
  let transitions = knownTransitions.get(snapshot);
  if (!transitions) {
    transitions = new Map();
    knownTransitions.set(snapshot, transitions);
  }
  const key = transitionKey(event);
  let known = transitions.get(key);
  if (!known) {
    known = computeTransition(snapshot, event);
    transitions.set(key, known);
  }
  return known;
}

/** The type of an event and what its guards read. */
function transitionKey(event: RequestMachineEvent): string {
  switch (event.type) {
    case "refused_not_run":
      return `${event.type}/${event.mayTryNext}`;
    case "failed_unknown":
      return `${event.type}/${event.mayRetry}`;
    default:
      return event.type;
  }
}

function stateKey({ value }: RequestSnapshot): string {
  return JSON.stringify(value);
}

function computeTransition(
  snapshot: RequestSnapshot,
  event: RequestMachineEvent,
): RequestTransition {
  const [next, actions] = transition(requestMachine, snapshot, event);
  const key = stateKey(next);
  if (!snapshots.has(key)) {
    snapshots.set(key, next);
  }
  return {
    snapshot: snapshots.get(key)!,
    actions: actions.map((action) => action.type as RequestActionType),
  };
}
