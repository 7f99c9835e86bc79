import {
  assign,
  initialTransition,
  setup,
  type SnapshotFrom,
  transition,
} from "xstate";
import type { Millis } from "../clock.js";
import type { StoredObject } from "../store/object_store.js";
import { parseExecutionRecord } from "./execution_record.js";
import { type MachineStep, toStep } from "./machine_step.js";

/**
 * Identifies the record to remove: that of a claim whose call never started.
 */
export interface RecordRemovalInput {
  readonly key: string;
  readonly claimId: string;
  /** Wall-clock time from which the periodic sweep deletes the record. */
  readonly expiresAtMs: Millis;
}

export type RecordRemovalEvent =
  & { readonly wallMs: Millis }
  & (
    | {
      readonly type: "record_read";
      readonly current: StoredObject | undefined;
    }
    | {
      readonly type:
        | "read_unavailable"
        | "deleted"
        | "delete_conflicted"
        | "delete_unknown"
        | "delete_unavailable"
        | "timer_fired";
    }
  );

export type RecordRemovalEffect =
  | { readonly type: "read_record"; readonly key: string }
  | {
    readonly type: "delete_record";
    readonly key: string;
    readonly ifVersion: number;
  }
  | { readonly type: "start_timer"; readonly delayMs: Millis };

interface RecordRemovalContext extends RecordRemovalInput {
  readonly version: number;
  readonly absentReads: number;
  /** Number of waits so far, each of which precedes another read. */
  readonly retryCount: number;
}

/**
 * Number of consecutive reads that must find no record of the claim before the
 * removal ends. One read is not enough, because a delayed create can take
 * effect later, even if the key held the record of another claim until then.
 * With the delays below, the reads span 13 s.
 */
const READS_TO_CONFIRM_ABSENCE = 4;

const MIN_DELAY_MS: Millis = 1_000;
const MAX_DELAY_MS: Millis = 60_000;
const DELAY_FACTOR = 3;

/**
 * Deletes the record of a claim whose call never started, so that the caller's
 * next attempt can run. Failed store calls are retried.
 *
 * Only a record with this claim id is deleted, and only at the version that was
 * read. A record created later under the same key has a higher version, so a
 * delayed delete cannot remove it.
 *
 * Not covered: if the create of the claim takes effect only after this removal
 * has read the key for the last time, the record stays although the call never
 * ran. Repeats of the call are then answered `unknown` until the record
 * expires.
 */
const recordRemovalMachine = setup({
  types: {
    context: {} as RecordRemovalContext,
    events: {} as RecordRemovalEvent,
    input: {} as RecordRemovalInput,
  },
  actions: {
    effect: (_context, _effect: RecordRemovalEffect) => {},
    recordVersion: assign({
      version: ({ event }) =>
        event.type === "record_read" ? event.current?.version ?? 0 : 0,
      absentReads: 0,
    }),
    countAbsentRead: assign({
      absentReads: ({ context }) => context.absentReads + 1,
    }),
  },
  guards: {
    isOwnClaim: ({ context, event }) =>
      event.type === "record_read" &&
      parseExecutionRecord(event.current?.value)?.claimId === context.claimId,
    isLastAbsentRead: ({ context }) =>
      context.absentReads + 1 >= READS_TO_CONFIRM_ABSENCE,
    isExpired: ({ context, event }) => event.wallMs >= context.expiresAtMs,
  },
}).createMachine({
  context: ({ input }) => ({
    ...input,
    version: 0,
    absentReads: 0,
    retryCount: 0,
  }),
  initial: "reading",
  states: {
    reading: {
      entry: {
        type: "effect",
        params: ({ context }) => ({ type: "read_record", key: context.key }),
      },
      on: {
        record_read: [
          { guard: "isOwnClaim", target: "deleting", actions: "recordVersion" },
          { guard: "isLastAbsentRead", target: "done" },
          { target: "waiting", actions: "countAbsentRead" },
        ],
        read_unavailable: { target: "waiting" },
      },
    },
    deleting: {
      entry: {
        type: "effect",
        params: ({ context }) => ({
          type: "delete_record",
          key: context.key,
          ifVersion: context.version,
        }),
      },
      on: {
        deleted: { target: "waiting" },
        delete_conflicted: { target: "waiting" },
        delete_unknown: { target: "waiting" },
        delete_unavailable: { target: "waiting" },
      },
    },
    waiting: {
      entry: [
        {
          type: "effect",
          params: ({ context }) => ({
            type: "start_timer",
            delayMs: Math.min(
              MAX_DELAY_MS,
              MIN_DELAY_MS * DELAY_FACTOR ** context.retryCount,
            ),
          }),
        },
        assign({ retryCount: ({ context }) => context.retryCount + 1 }),
      ],
      on: {
        timer_fired: [
          { guard: "isExpired", target: "done" },
          { target: "reading" },
        ],
      },
    },
    done: { type: "final" },
  },
});

export type RecordRemovalSnapshot = SnapshotFrom<typeof recordRemovalMachine>;

export type RecordRemovalStep = MachineStep<
  RecordRemovalSnapshot,
  RecordRemovalEffect
>;

export function startRecordRemoval(
  input: RecordRemovalInput,
): RecordRemovalStep {
  return toStep(initialTransition(recordRemovalMachine, input));
}

/** Applies one event; events that the state does not expect are ignored. */
export function stepRecordRemoval(
  snapshot: RecordRemovalSnapshot,
  event: RecordRemovalEvent,
): RecordRemovalStep {
  return toStep(transition(recordRemovalMachine, snapshot, event));
}
