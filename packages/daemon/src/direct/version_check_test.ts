import type { DirectEvent, EndpointRecord } from "@anvildeal/core";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { ManualClock } from "../manual_clock_fixture.js";
import type { Collection } from "./collection.js";
import { VersionCheck } from "./version_check.js";

const HELD_UP_MS = 400;

describe("a check of the versions that serve", () => {
  /** Ends the calls to the directory, in the order of their begins. */
  let answers: (() => void)[];
  let events: DirectEvent[];
  let check: VersionCheck;

  beforeEach(() => {
    vi.useFakeTimers();
    answers = [];
    events = [];
    const list = () =>
      new Promise((resolve) =>
        answers.push(() => resolve({ upserts: [], removed: [] }))
      );
    check = new VersionCheck({
      endpoints: { list } as unknown as Collection<EndpointRecord>,
      logger: { log: () => {} } as never,
      clock: new ManualClock(),
      push: (event) => events.push(event),
    });
  });

  afterEach(() => {
    check.dispose();
    vi.useRealTimers();
  });

  const answeredKeys = () =>
    events.map((event) => event.type === "versions_checked" && event.key);

  // Guards against requests that wait for a call on a silent connection.
  it("does not wait for a call that is held up", async () => {
    [1, 2, 3].forEach((key) => check.check(key));
    await vi.advanceTimersByTimeAsync(HELD_UP_MS - 1);
    expect(answers).toHaveLength(1);
    await vi.advanceTimersByTimeAsync(1);
    expect(answers).toHaveLength(2);
    answers[1]!();
    await vi.advanceTimersByTimeAsync(0);
    expect(answeredKeys()).toEqual([2, 3]);
  });

  // Guards against requests that are refused since an answer comes late, as it
  // does to a process that has just started.
  it("passes on an answer to a call that is held up", async () => {
    check.check(1);
    await vi.advanceTimersByTimeAsync(HELD_UP_MS + 200);
    answers[0]!();
    await vi.advanceTimersByTimeAsync(0);
    expect(events).toEqual([
      expect.objectContaining({ key: 1, services: [] }),
    ]);
  });
});
