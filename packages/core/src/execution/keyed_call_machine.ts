import {
  assign,
  initialTransition,
  setup,
  type SnapshotFrom,
  transition,
} from "xstate";
import type { Millis } from "../clock.js";
import type { StoredObject } from "../store/object_store.js";
import type { Outcome, StoredAnswer } from "../wire/messages.js";
import {
  type CallRefusal,
  CANCELLED,
  refuseRepeat,
  START_WINDOW_PASSED,
  STORE_UNAVAILABLE,
} from "./call_refusal.js";
import {
  type ExecutionRecord,
  parseExecutionRecord,
  type StartedRecord,
  toFinishedRecord,
} from "./execution_record.js";
import { type MachineStep, toStep } from "./machine_step.js";

/** One keyed attempt that a sidecar is about to run. */
export interface KeyedCallInput {
  /** Key of the execution record. */
  readonly key: string;
  readonly record: StartedRecord;
  /** Monotonic time after which the call must not be started. */
  readonly startByMs: Millis;
}

interface EventTime {
  readonly nowMs: Millis;
  readonly wallMs: Millis;
}

export type KeyedCallEvent =
  & EventTime
  & (
    | { readonly type: "created"; readonly version: number }
    | {
      readonly type: "create_conflicted" | "record_read";
      readonly current: StoredObject | undefined;
    }
    | {
      readonly type:
        | "create_unknown"
        | "create_unavailable"
        | "read_unavailable"
        | "updated"
        | "update_conflicted"
        | "update_unknown"
        | "update_unavailable"
        | "timer_fired"
        /** The attempt was cancelled and must not start. */
        | "cancel";
    }
    | { readonly type: "call_finished"; readonly answer: StoredAnswer }
    | { readonly type: "call_failed"; readonly outcome: Outcome }
  );

/**
 * Action that the code running this state machine must carry out; the result
 * comes back as an event.
 */
export type KeyedCallEffect =
  | {
    readonly type: "create_record";
    readonly key: string;
    readonly record: ExecutionRecord;
  }
  | { readonly type: "read_record"; readonly key: string }
  | {
    readonly type: "update_record";
    readonly key: string;
    readonly record: ExecutionRecord;
    readonly ifVersion: number;
  }
  /** Starts a record removal, which sends no event to this machine. */
  | {
    readonly type: "remove_record";
    readonly key: string;
    readonly claimId: string;
    readonly expiresAtMs: Millis;
  }
  | { readonly type: "start_call" }
  | ({ readonly type: "refuse_call" } & CallRefusal)
  | { readonly type: "start_timer"; readonly delayMs: Millis };

interface KeyedCallContext extends KeyedCallInput {
  readonly recordCreateTries: number;
  readonly failedReads: number;
  /**
   * Whether the store may already contain, or may still receive, the record
   * that this claim tried to create.
   */
  readonly mayExist: boolean;
  readonly version: number;
  readonly answer: StoredAnswer | undefined;
  readonly recordUpdateTries: number;
}

/**
 * Maximum number of creates for one attempt. A create is repeated only after a
 * read has found no record.
 */
const MAX_CREATES = 3;

/**
 * Maximum number of failed reads in one attempt. The second read uses another
 * connection, in case the first connection stalled.
 */
const MAX_FAILED_READS = 2;

const MIN_UPDATE_DELAY_MS: Millis = 500;
const MAX_UPDATE_DELAY_MS: Millis = 30_000;

/**
 * Maximum number of updates that try to record the answer. With the delays
 * above, updates are retried for about 10 minutes. After that time
 * (`UNKNOWN_AFTER_MS`), a repeat is refused with the reason `duplicate_unknown`
 * unless the answer has been recorded.
 */
const MAX_UPDATES = 25;

function storedObjectOf(event: KeyedCallEvent): StoredObject | undefined {
  return event.type === "create_conflicted" || event.type === "record_read"
    ? event.current
    : undefined;
}

/** Whether the event carries the record of this claim. */
function isOwnClaim(context: KeyedCallContext, event: KeyedCallEvent): boolean {
  const record = parseExecutionRecord(storedObjectOf(event)?.value);
  return record?.claimId === context.record.claimId;
}

function refuse(refusal: CallRefusal) {
  const params: KeyedCallEffect = { type: "refuse_call", ...refusal };
  return { type: "effect", params } as const;
}

/**
 * States of one keyed attempt, from the claim of its key to the recorded
 * answer. A call runs at most once per idempotency key while its record exists.
 *
 * The call starts only after this claim has been confirmed: by the answer to a
 * create, or, after a create with an unknown outcome, by a record that carries
 * the claim id. Once an attempt is refused, no transition leads to `running`; a
 * create that takes effect after the refusal therefore cannot start the call,
 * and the record that it leaves is removed. A refused attempt is answered
 * before its record is removed.
 */
const keyedCallMachine = setup({
  types: {
    context: {} as KeyedCallContext,
    events: {} as KeyedCallEvent,
    input: {} as KeyedCallInput,
  },
  actions: {
    effect: (_context, _effect: KeyedCallEffect) => {},
    markMayExist: assign({ mayExist: true }),
    recordVersion: assign({
      version: ({ context, event }) =>
        event.type === "created"
          ? event.version
          : storedObjectOf(event)?.version ?? context.version,
    }),
    countFailedRead: assign({
      failedReads: ({ context }) => context.failedReads + 1,
    }),
    recordAnswer: assign({
      answer: ({ event }) =>
        event.type === "call_finished" ? event.answer : undefined,
    }),
  },
  guards: {
    isInStartWindow: ({ context, event }) => event.nowMs <= context.startByMs,
    isOwnClaimInStartWindow: ({ context, event }) =>
      isOwnClaim(context, event) && event.nowMs <= context.startByMs,
    isOwnClaim: ({ context, event }) => isOwnClaim(context, event),
    isAbsent: ({ event }) => storedObjectOf(event) === undefined,
    mayCreateAgain: ({ context, event }) =>
      storedObjectOf(event) === undefined &&
      context.recordCreateTries < MAX_CREATES,
    mayReadAgain: ({ context }) => context.failedReads + 1 < MAX_FAILED_READS,
    mayExist: ({ context }) => context.mayExist,
    mayUpdateAgain: ({ context }) => context.recordUpdateTries < MAX_UPDATES,
    didNotRun: ({ event }) =>
      event.type === "call_failed" && event.outcome === "not-run",
  },
}).createMachine({
  context: ({ input }) => ({
    ...input,
    recordCreateTries: 0,
    failedReads: 0,
    mayExist: false,
    version: 0,
    answer: undefined,
    recordUpdateTries: 0,
  }),
  initial: "creating",
  states: {
    creating: {
      entry: [
        {
          type: "effect",
          params: ({ context }) => ({
            type: "create_record",
            key: context.key,
            record: context.record,
          }),
        },
        assign({
          recordCreateTries: ({ context }) => context.recordCreateTries + 1,
        }),
      ],
      on: {
        created: [
          {
            guard: "isInStartWindow",
            target: "running",
            actions: "recordVersion",
          },
          { target: "late" },
        ],
        create_conflicted: [
          {
            guard: "isOwnClaimInStartWindow",
            target: "running",
            actions: "recordVersion",
          },
          { guard: "isOwnClaim", target: "late" },
          { guard: "isAbsent", target: "readingBack" },
          { target: "conflict" },
        ],
        create_unknown: {
          target: "readingBack",
          actions: "markMayExist",
        },
        create_unavailable: { target: "storeUnavailable" },
        cancel: { target: "cancelledWhileCreating" },
      },
    },
    readingBack: {
      entry: {
        type: "effect",
        params: ({ context }) => ({ type: "read_record", key: context.key }),
      },
      on: {
        record_read: [
          {
            guard: "isOwnClaimInStartWindow",
            target: "running",
            actions: "recordVersion",
          },
          { guard: "isOwnClaim", target: "late" },
          { guard: "mayCreateAgain", target: "creating" },
          { guard: "isAbsent", target: "storeUnavailable" },
          { target: "conflict" },
        ],
        read_unavailable: [
          {
            guard: "mayReadAgain",
            target: "readingBack",
            reenter: true,
            actions: "countFailedRead",
          },
          { target: "storeUnavailable" },
        ],
        cancel: { target: "cancelled" },
      },
    },
    running: {
      entry: { type: "effect", params: { type: "start_call" } },
      on: {
        call_finished: { target: "finishing", actions: "recordAnswer" },
        call_failed: [
          { guard: "didNotRun", target: "removing" },
          // The record is kept, so that no repeat can run the call again.
          { target: "done" },
        ],
      },
    },
    finishing: {
      entry: [
        {
          type: "effect",
          params: ({ context }) => ({
            type: "update_record",
            key: context.key,
            record: context.answer === undefined
              ? context.record
              : toFinishedRecord(context.record, context.answer),
            ifVersion: context.version,
          }),
        },
        assign({
          recordUpdateTries: ({ context }) => context.recordUpdateTries + 1,
        }),
      ],
      on: {
        updated: { target: "done" },
        // An earlier update took effect, but its answer was lost.
        update_conflicted: { target: "done" },
        update_unknown: [
          { guard: "mayUpdateAgain", target: "waitingToFinish" },
          { target: "done" },
        ],
        update_unavailable: [
          { guard: "mayUpdateAgain", target: "waitingToFinish" },
          { target: "done" },
        ],
      },
    },
    waitingToFinish: {
      entry: {
        type: "effect",
        params: ({ context }) => ({
          type: "start_timer",
          delayMs: Math.min(
            MAX_UPDATE_DELAY_MS,
            MIN_UPDATE_DELAY_MS * 2 ** (context.recordUpdateTries - 1),
          ),
        }),
      },
      on: { timer_fired: { target: "finishing" } },
    },
    conflict: {
      entry: {
        type: "effect",
        params: ({ context, event }) => ({
          type: "refuse_call",
          ...refuseRepeat(
            storedObjectOf(event)?.value,
            context.record.fingerprint,
            event.wallMs,
          ),
        }),
      },
      // An earlier create of this claim may still be pending in the store; it
      // can take effect once the other record is deleted.
      always: { target: "removingIfAny" },
    },
    storeUnavailable: {
      entry: refuse(STORE_UNAVAILABLE),
      always: { target: "removingIfAny" },
    },
    cancelled: {
      entry: refuse(CANCELLED),
      always: { target: "removingIfAny" },
    },
    late: {
      entry: refuse(START_WINDOW_PASSED),
      always: { target: "removing" },
    },
    /**
     * The attempt is refused at once, but its record is removed only after the
     * pending create has ended; otherwise the create could take effect after
     * the removal.
     */
    cancelledWhileCreating: {
      entry: refuse(CANCELLED),
      on: {
        created: { target: "removing" },
        create_unknown: { target: "removing" },
        create_conflicted: { target: "removingIfAny" },
        create_unavailable: { target: "removingIfAny" },
      },
    },
    removingIfAny: {
      always: [
        { guard: "mayExist", target: "removing" },
        { target: "done" },
      ],
    },
    removing: {
      entry: {
        type: "effect",
        params: ({ context }) => ({
          type: "remove_record",
          key: context.key,
          claimId: context.record.claimId,
          expiresAtMs: context.record.expiresAtMs,
        }),
      },
      always: { target: "done" },
    },
    done: { type: "final" },
  },
});

export type KeyedCallSnapshot = SnapshotFrom<typeof keyedCallMachine>;

/** Result of one step: the next state and the effects to carry out. */
export type KeyedCallStep = MachineStep<KeyedCallSnapshot, KeyedCallEffect>;

/** Starts a keyed attempt. */
export function startKeyedCall(input: KeyedCallInput): KeyedCallStep {
  return toStep(initialTransition(keyedCallMachine, input));
}

/** Applies one event; events that the state does not expect are ignored. */
export function stepKeyedCall(
  snapshot: KeyedCallSnapshot,
  event: KeyedCallEvent,
): KeyedCallStep {
  return toStep(transition(keyedCallMachine, snapshot, event));
}
