import * as fc from "fast-check";
import { describe, expect, it } from "vitest";
import type { Step } from "./harness/harness_step.js";
import { ReducerHarness } from "./harness/reducer_harness.js";

const SEED = 20_261;
const RUNS = 150;

const anyIndex = fc.nat({ max: 5 });
const anyDirection = fc.constantFrom(
  "to_sidecar" as const,
  "to_router" as const,
);

const callStep = fc.record({
  type: fc.constant("call" as const),
  router: anyIndex,
  kind: fc.constantFrom("chat" as const, "once" as const, "keyed" as const),
  key: fc.nat({ max: 2 }),
  chunks: fc.integer({ min: 0, max: 6 }),
  large: fc.boolean(),
});
const workStep = fc.record({
  type: fc.constant("work" as const),
  rounds: fc.integer({ min: 1, max: 4 }),
});
const endpointsStep = fc.record({
  type: fc.constant("endpoints" as const),
  rounds: fc.integer({ min: 1, max: 4 }),
});
const deliverStep = fc.record({
  type: fc.constant("deliver" as const),
  link: anyIndex,
  direction: anyDirection,
  frames: fc.integer({ min: 1, max: 3 }),
});
const waitStep = fc.record({
  type: fc.constant("wait" as const),
  ticks: fc.oneof(
    fc.integer({ min: 1, max: 6 }),
    fc.integer({ max: 130, min: 1 }),
  ),
});

const faultStep: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    type: fc.constant("duplicate" as const),
    link: anyIndex,
    direction: anyDirection,
    frame: anyIndex,
  }),
  fc.record({ type: fc.constant("reset" as const), link: anyIndex }),
  fc.record({
    type: fc.constant("stall" as const),
    link: anyIndex,
    direction: fc.oneof(anyDirection, fc.constant("both" as const)),
  }),
  fc.record({ type: fc.constant("restart" as const), sidecar: anyIndex }),
  fc.record({
    type: fc.constant("config" as const),
    node: anyIndex,
    version: fc.integer({ min: 1, max: 6 }),
  }),
  fc.record({ type: fc.constant("store" as const), available: fc.boolean() }),
  fc.record({
    type: fc.constant("engine" as const),
    sidecar: anyIndex,
    accepts: fc.boolean(),
  }),
  fc.record({ type: fc.constant("fail_call" as const), sidecar: anyIndex }),
  fc.record({
    type: fc.constant("disconnect_caller" as const),
    call: anyIndex,
  }),
  fc.record({ type: fc.constant("drain" as const), sidecar: anyIndex }),
  fc.record({ type: fc.constant("drain_router" as const), router: anyIndex }),
);

const schedules = fc.array(
  fc.oneof(
    { weight: 4, arbitrary: callStep },
    { weight: 5, arbitrary: workStep },
    { weight: 2, arbitrary: endpointsStep },
    { weight: 4, arbitrary: deliverStep },
    { weight: 2, arbitrary: waitStep },
    { weight: 4, arbitrary: faultStep },
  ) as fc.Arbitrary<Step>,
  { minLength: 5, maxLength: 60 },
);

const FIXED_CALL_STEP: Step = {
  type: "call",
  router: 0,
  kind: "chat",
  key: 0,
  chunks: 4,
  large: false,
};

/** Steps that repeat the first frame on each of the first three connections. */
function repeatFrames(towards: "to_sidecar" | "to_router"): Step[] {
  return [0, 1, 2].map((link) => ({
    type: "duplicate",
    link,
    direction: towards,
    frame: 0,
  }));
}

describe("reduceRouter and reduceSidecar together", () => {
  // Guards against violations of the invariants in `HarnessInvariants` when frames
  // are late, repeated or lost, connections stall, nodes restart or drain, or the
  // store is unavailable.
  it("keep the invariants under random schedules with faults", () => {
    fc.assert(
      fc.property(schedules, fc.nat({ max: 1000 }), (schedule, seed) => {
        const harness = new ReducerHarness(seed);
        harness.run(schedule);
        harness.settle();
        expect(harness.violations).toEqual([]);
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });

  // Guards against a call that stays paused forever because its ack was lost
  // with the connection: the router has received all frames, so no later frame
  // triggers another ack.
  it("finish a paused call whose ack was lost with the connection", () => {
    const harness = new ReducerHarness(1);
    harness.run([
      {
        type: "call",
        router: 0,
        kind: "chat",
        key: 0,
        chunks: 6,
        large: true,
      },
      { type: "work", rounds: 3 },
      { type: "endpoints", rounds: 4 },
      ...[0, 1, 2].flatMap((link): Step[] => [
        { type: "deliver", link, direction: "to_router", frames: 10 },
      ]),
      ...[0, 0, 0].map((link): Step => ({ type: "reset", link })),
    ]);
    harness.settle();
    expect(harness.violations).toEqual([]);
    expect([...harness.executions.values()]).toEqual([1]);
  });

  // Guards against a second execution of a call whose submit frame arrives
  // again after the call has ended.
  it("run a call once when its submit frame is repeated after the end", () => {
    const harness = new ReducerHarness(1);
    harness.run([
      { ...FIXED_CALL_STEP, kind: "once" },
      { type: "work", rounds: 10 },
      ...repeatFrames("to_sidecar"),
      { type: "work", rounds: 10 },
    ]);
    harness.settle();
    expect(harness.violations).toEqual([]);
    expect([...harness.executions.values()]).toEqual([1]);
  });

  // Guards against a second execution: a sidecar refuses to resume an attempt that
  // it does not know, and later reads the attempt's submit frame from an old
  // connection.
  it("run a call once when its submit frame arrives after a resume", () => {
    const harness = new ReducerHarness(1);
    const links = [0, 1, 2];
    harness.run([
      { ...FIXED_CALL_STEP, kind: "once" },
      ...links.map((link): Step => ({
        type: "deliver",
        link,
        direction: "to_sidecar",
        frames: 2,
      })),
      ...links.map((link): Step => ({
        type: "deliver",
        link,
        direction: "to_router",
        frames: 1,
      })),
      // The submit frame stays in transit until the router finds that the
      // connection is stalled.
      { type: "wait", ticks: 45 },
      { type: "deliver", link: 3, direction: "to_sidecar", frames: 2 },
      { type: "deliver", link: 3, direction: "to_router", frames: 1 },
      { type: "work", rounds: 10 },
    ]);
    harness.settle();
    expect(harness.violations).toEqual([]);
    expect([...harness.executions.values()]).toEqual([1]);
    const outcomes = [...harness.results.values()].map(({ outcomes }) =>
      outcomes
    );
    expect(outcomes).toEqual([["whole"]]);
  });

  // Guards against sending text to the caller twice when a frame is repeated.
  it("send each part of an answer to the caller once when its frames are repeated", () => {
    const harness = new ReducerHarness(1);
    harness.run([
      FIXED_CALL_STEP,
      { type: "work", rounds: 3 },
      { type: "endpoints", rounds: 1 },
      ...repeatFrames("to_router"),
      { type: "work", rounds: 10 },
    ]);
    harness.settle();
    expect(harness.violations).toEqual([]);
    const outcomes = [...harness.results.values()].map(({ outcomes }) =>
      outcomes
    );
    expect(outcomes).toEqual([["whole"]]);
  });

  // Guards against a harness in which no answer is complete: the invariants would
  // then hold although nothing is tested.
  it("answer every call completely when there are no faults", () => {
    fc.assert(
      fc.property(
        fc.array(callStep, { minLength: 1, maxLength: 4 }),
        (calls) => {
          const harness = new ReducerHarness(1);
          for (const step of calls) {
            harness.run([{ ...step, type: "call" }]);
            harness.settle();
          }
          expect(harness.violations).toEqual([]);
          const outcomes = [...harness.results.values()].map(({ outcomes }) =>
            outcomes
          );
          expect(outcomes).toEqual(calls.map(() => ["whole"]));
        },
      ),
      { seed: SEED, numRuns: 10 },
    );
  });
});
