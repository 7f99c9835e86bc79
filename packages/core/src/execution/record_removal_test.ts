import { describe, expect, it } from "vitest";
import {
  type RecordRemovalEvent,
  startRecordRemoval,
  stepRecordRemoval,
} from "./record_removal.js";

const input = { key: "calls/k", claimId: "own", expiresAtMs: 1e9 };

function objectOf(claimId: string, version: number) {
  const value = {
    state: "started",
    attemptId: "a",
    claimId,
    fingerprint: "f",
    endpointId: "e",
    startedAtMs: 0,
    expiresAtMs: input.expiresAtMs,
  };
  return { key: input.key, version, value };
}

type Untimed<E> = E extends unknown ? Omit<E, "wallMs"> : never;

/**
 * Applies events to a new removal. Returns, for each event, the types of the
 * resulting effects, or "done" if the removal has ended.
 */
function run(events: Untimed<RecordRemovalEvent>[], wallMs = 0): string[] {
  let step = startRecordRemoval(input);
  return events.map((event) => {
    step = stepRecordRemoval(step.snapshot, { ...event, wallMs });
    return step.done
      ? "done"
      : step.effects.map((effect) => effect.type).join();
  });
}

const read = (current?: ReturnType<typeof objectOf>) =>
  ({ type: "record_read", current }) as const;
const timerFired = { type: "timer_fired" } as const;

describe("record removal", () => {
  // If the removal ended too early, the record would stay, and repeats would be
  // answered `unknown` for 24 h.
  it("continues after lost deletes and creates that take effect late", () => {
    expect(run([
      read(objectOf("own", 1)),
      { type: "delete_unknown" },
      timerFired,
      read(objectOf("own", 1)),
      { type: "deleted" },
      timerFired,
      read(),
      timerFired,
      read(objectOf("own", 3)),
      { type: "deleted" },
      timerFired,
    ])).toEqual([
      "delete_record",
      "start_timer",
      "read_record",
      "delete_record",
      "start_timer",
      "read_record",
      "start_timer",
      "read_record",
      "delete_record",
      "start_timer",
      "read_record",
    ]);
  });

  it("ends after four reads without a record of the claim", () => {
    const absentReads = [
      read(),
      timerFired,
      read(objectOf("other", 2)),
      timerFired,
    ];
    expect(run([...absentReads, read(), timerFired, read()]).at(-1))
      .toBe("done");
    expect(run([...absentReads, read(), timerFired]).at(-1))
      .toBe("read_record");
    const deletion = [read(objectOf("own", 3)), { type: "deleted" } as const];
    expect(
      run([...absentReads, read(), timerFired, ...deletion, timerFired, read()])
        .at(-1),
    )
      .toBe("start_timer");
  });

  it("leaves an expired record to the sweep", () => {
    const events = [{ type: "read_unavailable" } as const, timerFired];
    expect(run(events, input.expiresAtMs).at(-1)).toBe("done");
    expect(run(events, input.expiresAtMs - 1).at(-1)).toBe("read_record");
  });
});
