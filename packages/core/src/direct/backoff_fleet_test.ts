import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { describe, expect, it } from "vitest";
import type { Millis } from "../clock.js";
import type { AnswerHead, DirectEffect, DirectEvent } from "./direct_event.js";
import { createDirectState, type DirectState } from "./direct_state.js";
import { ACCEPTED_HEAD, poolCall, poolConfig } from "./pool_fixture.js";
import { reduceDirect } from "./reduce_direct.js";
import type { EndpointRecord } from "./routing_config.js";

/** Requests that the platform allows in a backoff that an endpoint asked for. */
const ALLOWED_REQUESTS = 2;

/** A router counts from this time after the answer that asks for a backoff. */
const TOLD_MS: Millis = 500;

const BACKOFF_MS: Millis = 3000;
const DURATION_MS: Millis = 9000;

/** `drain_ms` of the users' smaller deployments. */
const DRAIN_MS: Millis = 2000;

/** Interval at which entries are written anew. */
const ENTRY_MS: Millis = 500;
const STEP_MS: Millis = 10;
const ANSWER_MS: Millis = 60;

const REFUSED_HEAD: AnswerHead = {
  ...ACCEPTED_HEAD,
  status: 503,
  signed: false,
  notRun: true,
  retryAfterMs: BACKOFF_MS,
};

interface Scenario {
  readonly routers: number;
  readonly endpoints: number;
  readonly requestsPerS: number;
  /** Fraction of the endpoints that shed load. */
  readonly sheddingFraction: number;
  /** Fraction of the requests that such an endpoint refuses. */
  readonly refusedFraction: number;
  /** What an answer names; {@link BACKOFF_MS} if it is left out. */
  readonly backoffMs?: (answerNumber: number) => Millis;
  /** Whether these endpoints say in all answers that they leave. */
  readonly isLeaving?: boolean;
  /**
   * How the entries of these endpoints are written, one after the other and
   * again; undefined removes them. They stay as they are if it is left out.
   */
  readonly entries?: readonly (Partial<EndpointRecord> | undefined)[];
}

interface Backoff {
  readonly fromMs: Millis;
  readonly untilMs: Millis;
  arrivals: number;
}

/** Fleet of reducers before endpoints that refuse requests for a time. */
class SheddingFleet {
  readonly refusals: Extract<DirectEffect, { type: "refuse" }>[] = [];
  answered = 0;
  sent = 0;
  /** Requests that were sent too late to an endpoint that leaves. */
  lateAtLeaving = 0;
  /** When an endpoint first told a router that it leaves. */
  readonly #toldMs = new Map<string, Millis>();
  readonly #scenario: Scenario;
  readonly #states: DirectState[];
  readonly #endpoints: EndpointRecord[];
  readonly #backoffs = new Map<string, Backoff[]>();
  readonly #events = new Map<Millis, (() => void)[]>();
  readonly #generator = xoroshiro128plus(7);
  #answerNumber = 0;
  #nowMs: Millis = 0;

  constructor(scenario: Scenario) {
    this.#scenario = scenario;
    this.#endpoints = Array.from({ length: scenario.endpoints }, (_, i) => ({
      id: `e${i}`,
      service: "pool",
      address: "10.0.0.1:80",
      failureDomain: "a",
      state: "ready",
      incarnation: 1,
    }));
    this.#states = Array.from(
      { length: scenario.routers },
      (_, index) => this.#createState(index),
    );
  }

  run(): this {
    let due = 0;
    for (; this.#nowMs < DURATION_MS; this.#nowMs += STEP_MS) {
      this.#events.get(this.#nowMs)?.forEach((event) => event());
      this.#events.delete(this.#nowMs);
      if (this.#nowMs % ENTRY_MS === 0) {
        this.#writeEntries(this.#nowMs / ENTRY_MS);
      }
      due += this.#scenario.requestsPerS * STEP_MS / 1000;
      for (; due >= 1; due--) {
        this.#call();
      }
    }
    return this;
  }

  /** Largest number of requests that an endpoint got within one backoff. */
  get mostArrivals(): number {
    const all = [...this.#backoffs.values()].flat();
    return Math.max(0, ...all.map(({ arrivals }) => arrivals));
  }

  get backoffCount(): number {
    return [...this.#backoffs.values()].flat().length;
  }

  #createState(index: number): DirectState {
    const { endpoints, routers } = this.#scenario;
    const state = createDirectState({
      nodeId: `r${index}`,
      failureDomain: "a",
      retryRatio: 0.2,
      retryExtra: 2 * endpoints + 12,
      loadMultiple: 2,
      maxDirectoryAgeMs: 3000,
      stopGraceMs: 8000,
    });
    const events: DirectEvent[] = [
      {
        type: "config_received",
        nowMs: 0,
        source: "test",
        config: poolConfig({ sticky: true }),
      },
      {
        type: "endpoints_changed",
        nowMs: 0,
        source: "test",
        change: {
          upserts: this.#endpoints,
          removedIds: [],
          isSnapshot: true,
        },
      },
      {
        type: "router_count_observed",
        nowMs: 0,
        routerCount: routers,
        routerIds: [],
      },
    ];
    events.forEach((event) => reduceDirect(state, event));
    return state;
  }

  #writeEntries(turn: number): void {
    const { entries } = this.#scenario;
    if (!entries) {
      return;
    }
    const fields = entries[turn % entries.length];
    const shedding = this.#endpoints.filter(({ id }) => this.#sheds(id));
    const change = {
      upserts: fields
        ? shedding.map((record) => ({ ...record, ...fields }))
        : [],
      removedIds: fields ? [] : shedding.map(({ id }) => id),
      isSnapshot: false,
    };
    this.#states.forEach((_, router) =>
      this.#dispatch(router, {
        type: "endpoints_changed",
        nowMs: this.#nowMs,
        source: "test",
        directoryReliable: true,
        change,
      })
    );
  }

  #sheds(endpointId: string): boolean {
    const { endpoints, sheddingFraction } = this.#scenario;
    return Number(endpointId.slice(1)) < endpoints * sheddingFraction;
  }

  #call(): void {
    const key = ++this.sent;
    const page = this.#random(40);
    this.#dispatch(this.#random(this.#scenario.routers), {
      type: "call_received",
      nowMs: this.#nowMs,
      key,
      call: poolCall({
        promptParts: [{ id: `page${page}`, tokens: 500 }, {
          id: `own${key}`,
          tokens: 50,
        }],
      }),
    });
  }

  #dispatch(router: number, event: DirectEvent): void {
    for (const effect of reduceDirect(this.#states[router]!, event)) {
      if (effect.type === "start_attempt") {
        this.#answer(router, effect);
      } else if (effect.type === "refuse") {
        this.refusals.push(effect);
      }
    }
  }

  #answer(
    router: number,
    { attemptNumber, endpointId, key }: Extract<
      DirectEffect,
      { type: "start_attempt" }
    >,
  ): void {
    const { isLeaving, refusedFraction } = this.#scenario;
    const pair = `${router} ${endpointId}`;
    const backoffs = this.#backoffs.get(pair) ?? [];
    this.#backoffs.set(pair, backoffs);
    if (this.#nowMs > (this.#toldMs.get(pair) ?? Infinity) + DRAIN_MS) {
      this.lateAtLeaving++;
    }
    for (const backoff of backoffs) {
      if (this.#nowMs > backoff.fromMs && this.#nowMs < backoff.untilMs) {
        backoff.arrivals++;
      }
    }
    const sheds = this.#sheds(endpointId);
    const draining = sheds && (isLeaving ?? false);
    const isRefused = sheds && this.#random(1000) < refusedFraction * 1000;
    this.#after(isRefused ? STEP_MS : ANSWER_MS, () => {
      const fields = { nowMs: this.#nowMs, key, attemptNumber };
      const head = isRefused
        ? this.#refusedHead()
        : { ...ACCEPTED_HEAD, draining };
      if (draining) {
        this.#toldMs.set(pair, this.#toldMs.get(pair) ?? this.#nowMs);
      }
      if (isRefused) {
        backoffs.push({
          fromMs: this.#nowMs + TOLD_MS,
          untilMs: this.#nowMs + head.retryAfterMs!,
          arrivals: 0,
        });
      }
      this.#dispatch(router, { type: "attempt_head", ...fields, head });
      if (!isRefused) {
        this.answered++;
        this.#dispatch(router, { type: "attempt_ended", ...fields });
      }
    });
  }

  #refusedHead(): AnswerHead {
    const { backoffMs } = this.#scenario;
    return {
      ...REFUSED_HEAD,
      retryAfterMs: backoffMs?.(++this.#answerNumber) ?? BACKOFF_MS,
    };
  }

  #after(delayMs: Millis, action: () => void): void {
    const atMs = this.#nowMs + delayMs;
    this.#events.set(atMs, [...this.#events.get(atMs) ?? [], action]);
  }

  #random(count: number): number {
    return uniformInt(this.#generator, 0, count - 1);
  }
}

const SIZES = [
  { routers: 4, endpoints: 10, requestsPerS: 120 },
  { routers: 25, endpoints: 40, requestsPerS: 400 },
  { routers: 68, endpoints: 82, requestsPerS: 640 },
  { routers: 390, endpoints: 400, requestsPerS: 500 },
];

describe("fleets before endpoints that refuse requests for a time", () => {
  describe.each(SIZES)("of $routers routers", (size) => {
    // Guards against requests to an endpoint that asked for none, while others
    // are free.
    it("send them nothing and serve the callers elsewhere", () => {
      const fleet = new SheddingFleet({
        ...size,
        sheddingFraction: 0.4,
        refusedFraction: 0.25,
      }).run();
      expect(fleet.backoffCount).toBeGreaterThan(0);
      expect(fleet.mostArrivals).toBeLessThanOrEqual(ALLOWED_REQUESTS);
      expect(fleet.answered / fleet.sent).toBeGreaterThanOrEqual(0.95);
    });

    // Guards against a list that has routers forget what endpoints asked for.
    it.each<[string, Scenario["entries"]]>([
      ["vanish and return", [undefined, {}]],
      ["turn draining and ready again", [{ state: "draining" }, {}]],
      ["name another address", [{ address: "10.0.0.2:80" }, {}]],
    ])("keep to it while their entries %s", (_, entries) => {
      const shedding = { ...size, sheddingFraction: 0.4, entries };
      const resting = new SheddingFleet({ ...shedding, refusedFraction: 0.25 })
        .run();
      expect(resting.mostArrivals).toBeLessThanOrEqual(ALLOWED_REQUESTS);
      const leaving = new SheddingFleet({
        ...shedding,
        refusedFraction: 0,
        isLeaving: true,
      }).run();
      expect(leaving.lateAtLeaving).toBe(0);
      expect(leaving.answered / leaving.sent).toBeGreaterThanOrEqual(0.95);
    });

    // Guards against a shorter time that takes the place of a longer one.
    it("keep the latest end that they name", () => {
      const fleet = new SheddingFleet({
        ...size,
        sheddingFraction: 0.4,
        refusedFraction: 1,
        backoffMs: (number) => number % 2 === 0 ? 600 : BACKOFF_MS,
      }).run();
      expect(fleet.mostArrivals).toBeLessThanOrEqual(ALLOWED_REQUESTS);
    });

    // Guards against callers who are told to return before anybody serves them.
    it("refuse with the time that is left if all ask for it", () => {
      const fleet = new SheddingFleet({
        ...size,
        endpoints: 4,
        sheddingFraction: 1,
        refusedFraction: 1,
      }).run();
      expect(fleet.mostArrivals).toBeLessThanOrEqual(ALLOWED_REQUESTS);
      const refusals = fleet.refusals.map(({ refusal }) => refusal);
      expect(refusals.every(({ outcome }) => outcome === "not-run")).toBe(true);
      const told = refusals.filter(({ reason }) =>
        reason === "endpoints_back_off"
      );
      expect(told.length).toBeGreaterThan(0);
      expect(
        told.every(({ retryAfterMs }) =>
          retryAfterMs! > 0 && retryAfterMs! <= BACKOFF_MS
        ),
      ).toBe(true);
    });
  });
});
