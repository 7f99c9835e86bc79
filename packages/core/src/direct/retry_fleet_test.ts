import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { describe, expect, it } from "vitest";
import type { AnswerHead, DirectEffect } from "./direct_event.js";
import { createDirectState, type DirectState } from "./direct_state.js";
import { ACCEPTED_HEAD, poolCall, poolConfig } from "./pool_fixture.js";
import { reduceDirect } from "./reduce_direct.js";
import type { EndpointRecord } from "./routing_config.js";

/** Retries per request of the platform's budget. */
const RETRIES_PER_REQUEST = 0.2;
const WINDOW_MS = 10_000;
const STEP_MS = 10;
const TICK_MS = 400;

/** Time from a kill until the new process serves requests. */
const RESTART_MS = 600;

/** Time from its start until a process knows the other routers. */
const DISCOVERY_MS = 1000;

const CONFIG = poolConfig();

const ENDPOINTS = ["e1", "e2", "e3", "e4"].map((id): EndpointRecord => ({
  id,
  service: "pool",
  address: "10.0.0.1:80",
  failureDomain: "a",
  state: "ready",
  incarnation: 1,
}));

const REJECTED: AnswerHead = { ...ACCEPTED_HEAD, status: 503, notRun: true };

interface Scenario {
  readonly routers: number;
  readonly requestsPerS: number;
  /** Additional retries of the platform's budget, whatever the requests. */
  readonly additionalRetries: number;
  readonly durationMs: number;
  /** From then on, every endpoint rejects every request. */
  readonly rejectFromMs: number;
  /** Times at which a router is killed. */
  readonly killsMs?: (router: number) => readonly number[];
  /** From then on, routers do not reach each other. */
  readonly partitionFromMs?: number;
  /** Requests that are rejected by their first endpoint before the outage. */
  readonly rejectedFraction?: number;
}

interface Router {
  state: DirectState;
  startedMs: number;
}

/** A fleet of reducers without a network: all endpoints are reached at once. */
class ModelFleet {
  refusedForBudget = 0;
  readonly #requestTimesMs: number[] = [];
  readonly #retryTimesMs: number[] = [];
  readonly #scenario: Scenario;
  readonly #routers: Router[] = [];
  readonly #random = xoroshiro128plus(1);
  #key = 0;

  constructor(scenario: Scenario) {
    this.#scenario = scenario;
    for (let i = 0; i < scenario.routers; i++) {
      this.#routers.push({ state: this.#createState(0), startedMs: 0 });
    }
  }

  run(): void {
    const { durationMs, requestsPerS } = this.#scenario;
    let due = 0;
    for (let nowMs = 0; nowMs < durationMs; nowMs += STEP_MS) {
      this.#killAndTick(nowMs);
      due += requestsPerS * STEP_MS / 1000;
      for (; due >= 1; due--) {
        this.#request(nowMs);
      }
    }
  }

  /** Largest number by which the retries of a window exceed the budget. */
  get excessRetries(): number {
    const { additionalRetries, durationMs } = this.#scenario;
    const requestsIn = windowCounter(this.#requestTimesMs);
    const retriesIn = windowCounter(this.#retryTimesMs);
    let excess = -Infinity;
    for (let fromMs = 0; fromMs < durationMs; fromMs += STEP_MS) {
      const requests = Math.max(
        requestsIn(fromMs),
        requestsIn(fromMs - WINDOW_MS / 2),
        requestsIn(fromMs - WINDOW_MS),
      );
      excess = Math.max(
        excess,
        retriesIn(fromMs) - RETRIES_PER_REQUEST * requests - additionalRetries,
      );
    }
    return excess;
  }

  get retryCount(): number {
    return this.#retryTimesMs.length;
  }

  #createState(nowMs: number): DirectState {
    const state = createDirectState({
      nodeId: "n",
      failureDomain: "a",
      retryRatio: RETRIES_PER_REQUEST,
      retryExtra: this.#scenario.additionalRetries,
      loadMultiple: 1.6,
      maxDirectoryAgeMs: 3000,
      stopGraceMs: 8000,
    });
    reduceDirect(state, {
      type: "config_received",
      nowMs,
      config: CONFIG,
      source: "test",
    });
    reduceDirect(state, {
      type: "endpoints_changed",
      nowMs,
      change: { upserts: ENDPOINTS, removedIds: [], isSnapshot: true },
      source: "test",
    });
    return state;
  }

  #killAndTick(nowMs: number): void {
    const { killsMs, partitionFromMs, routers } = this.#scenario;
    this.#routers.forEach((router, index) => {
      if (killsMs?.(index).includes(nowMs)) {
        router.startedMs = nowMs + RESTART_MS;
        router.state = this.#createState(router.startedMs);
      }
      if (nowMs % TICK_MS === 0 && nowMs >= router.startedMs) {
        const alone = nowMs < router.startedMs + DISCOVERY_MS ||
          nowMs >= (partitionFromMs ?? Infinity);
        reduceDirect(router.state, {
          type: "router_count_observed",
          nowMs,
          routerCount: alone ? 1 : routers,
        });
      }
    });
  }

  #request(nowMs: number): void {
    const { rejectFromMs, rejectedFraction } = this.#scenario;
    this.#requestTimesMs.push(nowMs);
    const key = ++this.#key;
    const router = this.#routers[key % this.#routers.length]!;
    if (nowMs < router.startedMs) {
      return;
    }
    let effects = reduceDirect(router.state, {
      type: "call_received",
      nowMs,
      key,
      call: poolCall(),
    });
    const firstRejected = rejectedFraction !== undefined &&
      this.#nextFraction() < rejectedFraction;
    for (let attempt = 1;; attempt++) {
      const started = effects.some(({ type }) => type === "start_attempt");
      if (started && attempt > 1) {
        this.#retryTimesMs.push(nowMs);
      }
      if (!started) {
        this.refusedForBudget += wasRefusedForBudget(effects) ? 1 : 0;
        return;
      }
      const rejected = nowMs >= rejectFromMs || firstRejected && attempt === 1;
      effects = reduceDirect(router.state, {
        type: "attempt_head",
        nowMs,
        key,
        attemptNumber: attempt,
        head: rejected ? REJECTED : ACCEPTED_HEAD,
      });
      if (!rejected) {
        reduceDirect(router.state, {
          type: "attempt_ended",
          nowMs,
          key,
          attemptNumber: attempt,
        });
        return;
      }
    }
  }

  #nextFraction(): number {
    return (this.#random.next() >>> 0) / 2 ** 32;
  }
}

/** Returns a function that counts the times in the window from `fromMs`. */
function windowCounter(
  timesMs: readonly number[],
): (fromMs: number) => number {
  const countBefore = [0];
  for (const timeMs of timesMs) {
    const step = timeMs / STEP_MS + 1;
    countBefore[step] = (countBefore[step] ?? 0) + 1;
  }
  for (let step = 1; step < countBefore.length; step++) {
    countBefore[step] = countBefore[step - 1]! + (countBefore[step] ?? 0);
  }
  const before = (timeMs: number) =>
    countBefore[
      Math.min(countBefore.length - 1, Math.max(0, timeMs / STEP_MS))
    ]!;
  return (fromMs) => before(fromMs + WINDOW_MS) - before(fromMs);
}

function wasRefusedForBudget(effects: readonly DirectEffect[]): boolean {
  return effects.some((effect) =>
    effect.type === "refuse" && effect.refusal.reason === "retry_budget_spent"
  );
}

const SIZES = [
  { routers: 4, requestsPerS: 83, additionalRetries: 52 },
  { routers: 25, requestsPerS: 300, additionalRetries: 90 },
  { routers: 68, requestsPerS: 640, additionalRetries: 176 },
  { routers: 390, requestsPerS: 2000, additionalRetries: 820 },
];

const KILLS_MS = [6000, 7500, 9000, 10_500];

// Guards against retries beyond the platform's budget, which holds for the
// whole fleet, when endpoints reject everything while routers lose their state
// or each other.
describe.each(SIZES)("the retries of $routers routers", (size) => {
  const OUTAGE = { ...size, durationMs: 20_000, rejectFromMs: 5000 };

  it.each([
    ["without a fault of routers", {}],
    ["when all are killed at once", { killsMs: () => KILLS_MS.slice(0, 1) }],
    ["when all are killed four times", { killsMs: () => KILLS_MS }],
    ["when they restart in turn", {
      killsMs: (router: number) => [
        5000 + Math.floor(router * 9000 / size.routers / 10) * 10,
      ],
    }],
    ["when they are cut off from each other", {
      partitionFromMs: 2000,
      rejectFromMs: 10_000,
    }],
    ["when they start cut off from each other", {
      killsMs: () => [2000],
      partitionFromMs: 2000,
      rejectFromMs: 10_000,
    }],
  ])("stay within the budget %s", (_name, faults) => {
    const fleet = new ModelFleet({ ...OUTAGE, ...faults });
    fleet.run();
    expect(fleet.retryCount).toBeGreaterThan(0);
    expect(fleet.excessRetries).toBeLessThanOrEqual(0);
  });

  // Guards against a limit that forgets its debts by granting nothing at first.
  it("are granted for single rejections in the first second", () => {
    const fleet = new ModelFleet({
      ...size,
      durationMs: 1000,
      rejectFromMs: Infinity,
      rejectedFraction: 0.08,
    });
    fleet.run();
    expect(fleet.retryCount).toBeGreaterThan(
      9 * fleet.refusedForBudget,
    );
  });
});
