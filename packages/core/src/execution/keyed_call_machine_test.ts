import * as fc from "fast-check";
import { describe, expect, it } from "vitest";
import type { StoredObject } from "../store/object_store.js";
import type { CallRefusal } from "./call_refusal.js";
import {
  type ExecutionRecord,
  RECORD_RETENTION_MS,
  recordedAnswer,
  type StartedRecord,
} from "./execution_record.js";
import { expiredRecords } from "./expired_records.js";
import {
  type KeyedCallEffect,
  type KeyedCallEvent,
  type KeyedCallStep,
  startKeyedCall,
  stepKeyedCall,
} from "./keyed_call_machine.js";
import {
  type RecordRemovalEffect,
  type RecordRemovalStep,
  startRecordRemoval,
  stepRecordRemoval,
} from "./record_removal.js";

// The seed is fixed so that runs are reproducible; fast-check prints the seed
// and the path of a failing case.
const PROPERTY = { seed: 20_264, numRuns: 1_000 };
const KEY = "calls/k";
const START_WINDOW_MS = 5_000;

type Effect = KeyedCallEffect | RecordRemovalEffect;
/** Event of either state machine, before the simulation adds the time. */
type UntimedEvent = { readonly type: string } & Record<string, unknown>;

/**
 * A store call of an actor; its answer may arrive long after it takes effect.
 */
interface StoreCall {
  readonly actor: Actor;
  readonly effect: Effect;
  answer?: UntimedEvent;
}

/**
 * One simulated state machine: either an attempt of a call or the removal of a
 * call record.
 */
interface Actor {
  /** False once the sidecar has restarted; answers are then discarded. */
  alive: boolean;
  pendingTimers: number;
  step(event: UntimedEvent): void;
}

interface Attempt extends Actor {
  readonly record: StartedRecord;
  readonly startByMs: number;
  /**
   * Every answer that the machine gave to this attempt, in order; the test
   * expects at most one.
   */
  readonly answers: ("start" | CallRefusal)[];
  callState: "waiting" | "running" | "ended" | "not-run";
  startedAtMs: number;
}

/** Simulates the object store, clocks and sidecars under a given schedule. */
class Simulation {
  nowMs = 0;
  object: StoredObject | undefined;
  readonly attempts: Attempt[] = [];
  readonly #storeCalls: StoreCall[] = [];
  /** Writes whose answer was lost and that have not taken effect yet. */
  readonly #delayedWrites: StoreCall[] = [];
  readonly #actors: Actor[] = [];
  #lastVersion = 0;

  begin(attemptId: string, fingerprint: string): void {
    const n = this.attempts.length;
    const record: StartedRecord = {
      state: "started",
      attemptId,
      claimId: `claim${n}`,
      fingerprint,
      endpointId: "e",
      startedAtMs: this.nowMs,
      expiresAtMs: this.nowMs + RECORD_RETENTION_MS,
    };
    const startByMs = this.nowMs + START_WINDOW_MS;
    let current: KeyedCallStep;
    const apply = (step: KeyedCallStep) => {
      current = step;
      step.effects.forEach((effect) => this.#runEffect(attempt, effect));
    };
    const attempt: Attempt = {
      alive: true,
      pendingTimers: 0,
      record,
      startByMs,
      answers: [],
      callState: "waiting",
      startedAtMs: 0,
      step: (event) =>
        apply(stepKeyedCall(current.snapshot, this.#withTime(event))),
    };
    this.attempts.push(attempt);
    this.#actors.push(attempt);
    apply(startKeyedCall({ key: KEY, record, startByMs }));
  }

  /** All actions that are possible next, in a fixed order. */
  actions(): (() => void)[] {
    const actions = [
      () => void (this.nowMs += 100),
      () => void (this.nowMs += 2 * START_WINDOW_MS),
      () => void (this.nowMs += RECORD_RETENTION_MS * 0.6),
      () => this.#sweep(),
    ];
    for (const call of this.#storeCalls) {
      actions.push(...this.#actionsOf(call));
    }
    for (const call of this.#delayedWrites) {
      actions.push(() => this.#applyDelayed(call));
    }
    for (const actor of this.#actors.filter(({ alive }) => alive)) {
      if (actor.pendingTimers > 0) {
        actions.push(() => this.#fireTimer(actor));
      }
    }
    for (const attempt of this.attempts.filter(({ alive }) => alive)) {
      actions.push(() => this.#cancel(attempt));
      actions.push(() => void (attempt.alive = false));
      if (attempt.callState === "running") {
        actions.push(() => this.#finish(attempt));
        actions.push(() => this.#fail(attempt, "unknown"));
        actions.push(() => this.#fail(attempt, "not-run"));
      }
    }
    return actions;
  }

  /**
   * Completes all pending store calls and timers. If `storeAnswers` is false,
   * all answers of the store are lost and no timer fires.
   */
  settle(storeAnswers: boolean): void {
    for (let n = 0; n < 1_000; n++) {
      const call = this.#storeCalls[0];
      const actorWithTimer = this.#actors.find((a) =>
        a.alive && a.pendingTimers > 0
      );
      if (this.#delayedWrites.length > 0 && storeAnswers) {
        this.#applyDelayed(this.#delayedWrites[0]);
      } else if (call !== undefined) {
        const answer = call.answer ??
          (storeAnswers ? this.#applyToStore(call) : lostAnswer(call));
        this.#answer(call, answer);
      } else if (actorWithTimer !== undefined && storeAnswers) {
        this.#fireTimer(actorWithTimer);
      } else {
        return;
      }
    }
    throw new Error("The machines are not idle after 1,000 actions");
  }

  #actionsOf(call: StoreCall): (() => void)[] {
    if (call.answer !== undefined) {
      const { answer } = call;
      return [
        () => this.#answer(call, answer),
        () => this.#answer(call, lostAnswer(call)),
      ];
    }
    const isWrite = call.effect.type !== "read_record";
    return [
      () => void (call.answer = this.#applyToStore(call)),
      () => this.#answer(call, refusedAnswer(call)),
      ...(isWrite ? [() => this.#answer(call, lostAnswer(call))] : []),
      ...(isWrite ? [() => this.#delayWrite(call)] : []),
    ];
  }

  #runEffect(actor: Actor, effect: Effect): void {
    const attempt = actor as Attempt;
    switch (effect.type) {
      case "start_call":
        attempt.answers.push("start");
        attempt.callState = "running";
        attempt.startedAtMs = this.nowMs;
        expect(this.nowMs).toBeLessThanOrEqual(attempt.startByMs);
        break;
      case "refuse_call":
        attempt.answers.push(effect);
        break;
      case "start_timer":
        actor.pendingTimers++;
        break;
      case "remove_record":
        this.#startRemoval(effect);
        break;
      default:
        this.#storeCalls.push({ actor, effect });
    }
  }

  #startRemoval(effect: Extract<Effect, { type: "remove_record" }>): void {
    let current: RecordRemovalStep;
    const apply = (step: RecordRemovalStep) => {
      current = step;
      step.effects.forEach((next) => this.#runEffect(removal, next));
    };
    const removal: Actor = {
      alive: true,
      pendingTimers: 0,
      step: (event) =>
        apply(stepRecordRemoval(current.snapshot, this.#withTime(event))),
    };
    this.#actors.push(removal);
    apply(startRecordRemoval(effect));
  }

  /** Applies a call to the store and returns the answer of the store. */
  #applyToStore({ effect }: StoreCall): UntimedEvent {
    const { object } = this;
    switch (effect.type) {
      case "create_record":
        return object === undefined
          ? { type: "created", version: this.#write(effect.record) }
          : { type: "create_conflicted", current: object };
      case "read_record":
        return { type: "record_read", current: object };
      case "update_record":
        if (object?.version !== effect.ifVersion) {
          return { type: "update_conflicted" };
        }
        this.#write(effect.record);
        return { type: "updated" };
      case "delete_record":
        if (object?.version !== effect.ifVersion) {
          return { type: "delete_conflicted" };
        }
        this.#lastVersion++;
        this.object = undefined;
        return { type: "deleted" };
      default:
        throw new Error(`${effect.type} is not a store call`);
    }
  }

  #write(value: ExecutionRecord): number {
    this.#lastVersion++;
    this.object = { key: KEY, version: this.#lastVersion, value };
    return this.#lastVersion;
  }

  #answer(call: StoreCall, answer: UntimedEvent): void {
    this.#storeCalls.splice(this.#storeCalls.indexOf(call), 1);
    if (call.actor.alive) {
      call.actor.step(answer);
    }
  }

  #delayWrite(call: StoreCall): void {
    this.#delayedWrites.push(call);
    this.#answer(call, lostAnswer(call));
  }

  #applyDelayed(call: StoreCall): void {
    this.#delayedWrites.splice(this.#delayedWrites.indexOf(call), 1);
    this.#applyToStore(call);
  }

  #fireTimer(actor: Actor): void {
    actor.pendingTimers--;
    actor.step({ type: "timer_fired" });
  }

  #cancel(attempt: Attempt): void {
    attempt.step({ type: "cancel" });
    // The refusal must not wait for the store.
    expect(attempt.answers).toHaveLength(1);
  }

  #finish(attempt: Attempt): void {
    attempt.callState = "ended";
    const body = new TextEncoder().encode(attempt.record.claimId);
    const answer = { status: 200, headers: {}, body };
    attempt.step({ type: "call_finished", answer });
  }

  #fail(attempt: Attempt, outcome: "unknown" | "not-run"): void {
    attempt.callState = outcome === "not-run" ? "not-run" : "ended";
    attempt.step({ type: "call_failed", outcome });
  }

  #sweep(): void {
    if (expiredRecords(this.object ? [this.object] : [], this.nowMs).length) {
      this.#lastVersion++;
      this.object = undefined;
    }
  }

  #withTime<E>(event: UntimedEvent): E {
    return { ...event, nowMs: this.nowMs, wallMs: this.nowMs } as E;
  }
}

function lostAnswer({ effect }: StoreCall): UntimedEvent {
  return answerOf(
    effect,
    effect.type === "read_record" ? "unavailable" : "unknown",
  );
}

function refusedAnswer({ effect }: StoreCall): UntimedEvent {
  return answerOf(effect, "unavailable");
}

function answerOf(effect: Effect, result: string): UntimedEvent {
  return { type: effect.type.replace("record", result) };
}

const scheduleArbitrary = fc.array(fc.nat(1_000_000), {
  minLength: 10,
  maxLength: 60,
  size: "max",
});

interface AttemptPlan {
  readonly beginAt: number;
  readonly attemptId: string;
  readonly fingerprint: string;
}

const attemptPlansArbitrary: fc.Arbitrary<AttemptPlan[]> = fc.array(
  fc.record({
    beginAt: fc.nat(30),
    // A router may send one attempt id twice.
    attemptId: fc.constantFrom("x", "y"),
    fingerprint: fc.constantFrom("f", "f", "f", "g"),
  }),
  { minLength: 2, maxLength: 3, size: "max" },
);

/**
 * Runs a simulation. Each number of `schedule` selects one of the actions that
 * are possible at that point; `check` is called after each action.
 */
function simulate(
  schedule: readonly number[],
  plans: readonly AttemptPlan[],
  check: (simulation: Simulation) => void,
): Simulation {
  const simulation = new Simulation();
  schedule.forEach((choice, n) => {
    for (const { attemptId, beginAt, fingerprint } of plans) {
      if (beginAt % schedule.length === n) {
        simulation.begin(attemptId, fingerprint);
      }
    }
    const actions = simulation.actions();
    actions[choice % actions.length]();
    check(simulation);
  });
  return simulation;
}

function expectAtMostOneRun({ attempts }: Simulation): void {
  const runs = attempts
    .filter(({ callState }) => callState === "running" || callState === "ended")
    .map(({ startedAtMs }) => startedAtMs)
    .sort((a, b) => a - b);
  runs.slice(1).forEach((startedAtMs, i) => {
    // A key is free again once its record has expired.
    expect(startedAtMs - runs[i]).toBeGreaterThanOrEqual(RECORD_RETENTION_MS);
  });
}

describe("keyed calls", () => {
  describe("in any interleaving of attempts, faults, pauses and restarts", () => {
    it.each([true, false])(
      "run at most once and are all answered (store answers at the end: %s)",
      (storeAnswers) => {
        fc.assert(
          fc.property(
            scheduleArbitrary,
            attemptPlansArbitrary,
            (schedule, plans) => {
              const simulation = simulate(schedule, plans, expectAtMostOneRun);
              simulation.settle(storeAnswers);
              const earlierAttempts = [...simulation.attempts];
              expectAnswers(simulation, earlierAttempts);
              // Adds one more attempt after the outage and all delayed writes.
              simulation.settle(true);
              simulation.begin("z", "f");
              simulation.settle(true);
              expectAnswers(simulation, simulation.attempts);
              expectAtMostOneRun(simulation);
            },
          ),
          PROPERTY,
        );
      },
    );

    it("leave no record of a refused attempt once the store answers", () => {
      fc.assert(
        fc.property(
          scheduleArbitrary,
          attemptPlansArbitrary,
          (schedule, plans) => {
            const simulation = simulate(schedule, plans, () => {});
            simulation.settle(true);
            const record = simulation.object?.value as
              | ExecutionRecord
              | undefined;
            const owner = simulation.attempts.find((attempt) =>
              attempt.record.claimId === record?.claimId
            );
            // Only a restart may leave a record of a call that never ran. An
            // expired record is left to the sweep.
            if (owner?.alive && simulation.nowMs < owner.record.expiresAtMs) {
              expect(owner.answers).toEqual(["start"]);
              expect(owner.callState).not.toBe("not-run");
            }
          },
        ),
        PROPERTY,
      );
    });
  });

  describe("a delayed create", () => {
    it("does not start the call if it takes effect after the refusal", () => {
      const input = inputOf("own");
      let step = startKeyedCall(input);
      step = next(step, { type: "create_unknown" });
      step = next(step, { type: "read_unavailable" });
      step = next(step, { type: "read_unavailable" });
      expect(step.effects).toMatchObject([
        {
          type: "refuse_call",
          outcome: "not-run",
          reason: "store_unavailable",
        },
        { type: "remove_record", claimId: "own" },
      ]);
      const current = { key: KEY, version: 1, value: input.record };
      for (const type of ["record_read", "create_conflicted"] as const) {
        expect(next(step, { type, current }).effects).toEqual([]);
      }
      expect(next(step, { type: "created", version: 1 }).effects).toEqual([]);
    });

    it("is recognized by the second create and starts the call once", () => {
      const input = inputOf("own");
      let step = next(startKeyedCall(input), { type: "create_unknown" });
      step = next(step, { type: "record_read", current: undefined });
      const current = { key: KEY, version: 1, value: input.record };
      step = next(step, { type: "create_conflicted", current });
      expect(step.effects).toEqual([{ type: "start_call" }]);
    });
  });

  describe("a repeat", () => {
    const minuteMs = 60_000;
    const finished = {
      ...inputOf("other").record,
      state: "finished",
      status: 201,
      headers: { "content-type": "text/plain" },
    };
    const cases: [string, unknown, number, Partial<CallRefusal>][] = [
      ["of a running call", inputOf("other").record, 9.9 * minuteMs, {
        reason: "duplicate_running",
        outcome: "unknown",
        retryAfterMs: 1_000,
      }],
      [
        "of a call that counts as lost",
        inputOf("other").record,
        10 * minuteMs,
        {
          reason: "duplicate_unknown",
          outcome: "unknown",
        },
      ],
      ["of a finished call", { ...finished, answer: "aGk=" }, 0, {
        reason: "duplicate_finished",
        answer: {
          status: 201,
          headers: finished.headers,
          body: new Uint8Array([104, 105]),
        },
      }],
      ["of a call whose answer was not recorded", finished, 0, {
        reason: "duplicate_finished",
        outcome: "unknown",
      }],
      ["with another request", { ...finished, fingerprint: "g" }, 0, {
        reason: "fingerprint_mismatch",
        outcome: "not-run",
      }],
      [
        "whose key holds a value that is not a known record",
        { state: "new" },
        0,
        {
          reason: "duplicate_unknown",
          outcome: "unknown",
        },
      ],
    ];
    it.each(cases)("%s is refused", (_name, value, wallMs, refusal) => {
      const current = { key: KEY, version: 1, value };
      const { snapshot } = startKeyedCall(inputOf("own"));
      const { effects } = stepKeyedCall(snapshot, {
        type: "create_conflicted",
        current,
        nowMs: 0,
        wallMs,
      });
      expect(effects).toHaveLength(1);
      expect(effects[0]).toMatchObject({ type: "refuse_call", ...refusal });
      const isRecorded = value !== finished &&
        refusal.reason === "duplicate_finished";
      expect("answer" in effects[0]).toBe(isRecorded);
    });
  });

  describe("a finished call", () => {
    it("records an answer of up to 64 KB and omits a larger one", () => {
      for (
        const [size, isRecorded] of [[65_536, true], [65_537, false]] as const
      ) {
        const body = Uint8Array.from({ length: size }, (_, n) => n % 256);
        const answer = { status: 200, headers: {}, body };
        let step = next(startKeyedCall(inputOf("own")), {
          type: "created",
          version: 1,
        });
        step = next(step, { type: "call_finished", answer });
        const [effect] = step.effects;
        const record = effect.type === "update_record" ? effect.record : null;
        expect(record?.state).toBe("finished");
        expect(record?.state === "finished" && recordedAnswer(record))
          .toEqual(isRecorded ? answer : undefined);
      }
    });

    it("stops retrying a record update after a bounded number of tries", () => {
      let step = next(startKeyedCall(inputOf("own")), {
        type: "created",
        version: 1,
      });
      const answer = { status: 200, headers: {} };
      step = next(step, { type: "call_finished", answer });
      let waitedMs = 0;
      for (let n = 0; n < 100 && !step.done; n++) {
        step = next(step, { type: "update_unavailable" });
        const [effect] = step.effects;
        waitedMs += effect?.type === "start_timer" ? effect.delayMs : 0;
        step = next(step, { type: "timer_fired" });
      }
      expect(step.done).toBe(true);
      expect(waitedMs).toBeGreaterThan(9 * 60_000);
    });
  });
});

/** Each attempt has one answer, unless its sidecar restarted first. */
function expectAnswers(
  simulation: Simulation,
  attempts: readonly Attempt[],
): void {
  for (const attempt of attempts) {
    const { alive, answers } = attempt;
    expect(answers.length).toBeLessThanOrEqual(1);
    expect(answers).toHaveLength(alive ? 1 : answers.length);
    expectAccurateRefusal(simulation, attempt);
  }
}

/**
 * Checks that a refused attempt did not start its call, and that an answer
 * carried by the refusal comes from a finished call with the same fingerprint.
 */
function expectAccurateRefusal(simulation: Simulation, attempt: Attempt): void {
  const [refusal] = attempt.answers;
  if (refusal === undefined || refusal === "start") {
    return;
  }
  expect(attempt.callState).toBe("waiting");
  if (refusal.answer !== undefined) {
    const claimId = new TextDecoder().decode(refusal.answer.body);
    const originalAttempt = simulation.attempts.find((a) =>
      a.record.claimId === claimId
    );
    expect(originalAttempt?.callState).toBe("ended");
    expect(originalAttempt?.record.fingerprint).toBe(
      attempt.record.fingerprint,
    );
  }
}

function inputOf(claimId: string) {
  const record: StartedRecord = {
    state: "started",
    attemptId: "a",
    claimId,
    fingerprint: "f",
    endpointId: "e",
    startedAtMs: 0,
    expiresAtMs: RECORD_RETENTION_MS,
  };
  return { key: KEY, record, startByMs: START_WINDOW_MS };
}

type Untimed<E> = E extends unknown ? Omit<E, "nowMs" | "wallMs"> : never;

function next(
  step: KeyedCallStep,
  event: Untimed<KeyedCallEvent>,
): KeyedCallStep {
  return stepKeyedCall(step.snapshot, { ...event, nowMs: 0, wallMs: 0 });
}
