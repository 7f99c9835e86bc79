// A fleet of routers without network.

import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Millis } from "../clock.js";
import {
  BatchEngine,
  CACHE_TOKENS,
  SHARED_TOKENS,
  type SimRequest,
} from "./batch_engine_fixture.js";
import {
  ACCEPTED_HEAD,
  endpointsListed,
  poolCall,
  poolConfig,
  poolEndpoint,
  poolState,
  startedEndpointId,
} from "../direct/pool_fixture.js";
import {
  type DirectEffect,
  type DirectEvent,
  type DirectState,
  localInFlightByEndpoint,
  reduceDirect,
} from "../direct/index.js";

/** How requests are placed; the first two are the product's own choice. */
export type Arm =
  | "today"
  | "expected_time"
  | "least_outstanding"
  | "two_random"
  | "oracle";

const ENGINES = 45;
/** An engine gets 5 to 6 requests a second. */
const REQUESTS_PER_MS = 0.25;
const CHATS = 274;
const DURATION_MS = 30_000;
const WARM_UP_MS = 5000;
const STATE_PERIOD_MS = 400;
const MESSAGE_MS = 20;
const PACE_PERIOD_MS = 600;
const HINT_ERROR = 0.5;
/** Callers give up a chat that shows nothing by then. */
const FIRST_EVENT_DEADLINE_MS = 600;

/** Result of one arm. */
export interface FleetResult {
  readonly requests: number;
  readonly p50Ms: Millis;
  readonly p99Ms: Millis;
  /** Part of the requests without a first event in time. */
  readonly missed: number;
  /** Shared prompt tokens that engines processed. */
  readonly sharedTokens: number;
}

/** Plays one arm; equal seeds give equal requests. */
export class PlacementFleet {
  readonly #arm: Arm;
  readonly #generator;
  readonly #armGenerator;
  readonly #engines = Array.from(
    { length: ENGINES },
    (_, i) => new BatchEngine(i),
  );
  readonly #engineById = new Map(this.#engines.map((e) => [e.id, e]));
  readonly #routers: DirectState[];
  /** Loads that a router knows of by the reports of others, for other arms. */
  #reported: Record<string, number>[] = [];
  readonly #own: Record<string, number>[];
  readonly #agenda = new Map<number, (() => void)[]>();
  readonly #firstEventsMs: Millis[] = [];
  #nowMs: Millis = 0;
  #keys = 0;
  #sharedTokens = 0;

  constructor(arm: Arm, routers: number, seed: number) {
    this.#arm = arm;
    this.#generator = xoroshiro128plus(seed);
    this.#armGenerator = xoroshiro128plus(seed + 1);
    this.#routers = Array.from(
      { length: routers },
      () => poolState({ placesByExpectedTime: true }),
    );
    this.#own = this.#routers.map(() => ({}));
  }

  run(): FleetResult {
    this.#routers.forEach((_, router) => this.#startRouter(router));
    this.#changePace();
    this.#shareState();
    this.#arrive();
    while (this.#nowMs < DURATION_MS) {
      this.#nowMs++;
      const due = this.#agenda.get(this.#nowMs) ?? [];
      this.#agenda.delete(this.#nowMs);
      due.forEach((action) => action());
    }
    const times = this.#firstEventsMs.sort((a, b) => a - b);
    const at = (part: number) => times[Math.floor(times.length * part)]!;
    const late = times.filter((ms) => ms > FIRST_EVENT_DEADLINE_MS).length;
    return {
      requests: times.length,
      p50Ms: at(0.5),
      p99Ms: at(0.99),
      missed: late / times.length,
      sharedTokens: this.#sharedTokens,
    };
  }

  #after(delayMs: Millis, action: () => void): void {
    const atMs = this.#nowMs + Math.max(1, Math.round(delayMs));
    const actions = this.#agenda.get(atMs) ?? [];
    actions.push(action);
    this.#agenda.set(atMs, actions);
  }

  #dispatch(router: number, event: DirectEvent): DirectEffect[] {
    return reduceDirect(this.#routers[router]!, event);
  }

  #startRouter(router: number): void {
    const base = poolConfig({ sticky: true });
    const engine = { slots: 64, cacheTokens: CACHE_TOKENS };
    const config = { ...base, services: [{ name: "pool", engine }] };
    const endpoints = this.#engines.map(({ id }) => poolEndpoint(id));
    const nowMs = this.#nowMs;
    this.#dispatch(router, {
      type: "config_received",
      nowMs,
      source: "test",
      config,
    });
    this.#dispatch(router, endpointsListed(nowMs, endpoints));
    this.#dispatch(router, {
      type: "router_count_observed",
      nowMs,
      routerCount: this.#routers.length,
    });
  }

  #random(generator = this.#generator): number {
    return (uniformInt(generator, 0, 999_999) + 0.5) / 1_000_000;
  }

  /** Log-normal number with a mean and a deviation of its logarithm. */
  #logNormal(mean: number, spread: number): number {
    const normal = Math.sqrt(-2 * Math.log(this.#random())) *
      Math.cos(2 * Math.PI * this.#random());
    return mean * Math.exp(spread * normal - spread * spread / 2);
  }

  #changePace(): void {
    for (const [i, engine] of this.#engines.entries()) {
      const isUneven = this.#random() < 0.15;
      const isSlow = i % 4 === 0 && this.#nowMs >= 12_000 &&
        this.#nowMs < 20_000;
      engine.pace = isSlow ? 3 : isUneven ? 2.5 : 1;
    }
    this.#after(PACE_PERIOD_MS, () => this.#changePace());
  }

  #shareState(): void {
    const reports = this.#routers.map((state, i) =>
      this.#isOwnChoice ? localInFlightByEndpoint(state) : { ...this.#own[i] }
    );
    this.#after(MESSAGE_MS, () => {
      this.#reported = reports;
      if (this.#isOwnChoice) {
        this.#routers.forEach((_, router) =>
          reports.forEach((inFlight, peer) =>
            peer !== router && this.#dispatch(router, {
              type: "peer_loads_received",
              nowMs: this.#nowMs,
              peerId: `r${peer}`,
              inFlight,
            })
          )
        );
      }
    });
    this.#after(STATE_PERIOD_MS, () => this.#shareState());
  }

  get #isOwnChoice(): boolean {
    return this.#arm === "today" || this.#arm === "expected_time";
  }

  #arrive(): void {
    const events = Math.min(159, Math.ceil(this.#logNormal(55, 0.86)));
    const ownTokens = Math.ceil(this.#logNormal(1300, 1.4));
    const request: SimRequest = {
      key: ++this.#keys,
      router: Math.floor(this.#random() * this.#routers.length),
      chat: `chat-${Math.floor(this.#random() * CHATS)}`,
      ownTokens: Math.min(11_000, ownTokens),
      events,
      hint: Math.ceil(this.#logNormal(events, HINT_ERROR)),
      arrivedMs: this.#nowMs,
      prefillLeft: 0,
      eventsLeft: events,
    };
    request.prefillLeft = request.ownTokens;
    const engine = this.#place(request);
    const own = this.#own[request.router]!;
    own[engine.id] = (own[engine.id] ?? 0) + 1;
    this.#sharedTokens += engine.accept(request);
    if (!engine.isStepping) {
      this.#step(engine);
    }
    const gapMs = -Math.log(this.#random()) / REQUESTS_PER_MS;
    this.#after(gapMs, () => this.#arrive());
  }

  #place(request: SimRequest): BatchEngine {
    switch (this.#arm) {
      case "least_outstanding":
        return minBy(this.#engines, ({ id }) => this.#known(request, id));
      case "two_random":
        return minBy(
          [1, 2].map(() =>
            this.#engines[
              Math.floor(this.#random(this.#armGenerator) * ENGINES)
            ]!
          ),
          ({ id }) => this.#known(request, id),
        );
      case "oracle":
        return minBy(this.#engines, (engine) => engine.trueCostMs(request));
      default:
        return this.#placeByRouter(request);
    }
  }

  #known({ router }: SimRequest, id: string): number {
    const others = this.#reported.reduce(
      (sum, loads, i) => i === router ? sum : sum + (loads[id] ?? 0),
      0,
    );
    return others + (this.#own[router]![id] ?? 0);
  }

  #placeByRouter(
    { chat, hint, key, ownTokens, router }: SimRequest,
  ): BatchEngine {
    const effects = this.#dispatch(router, {
      type: "call_received",
      nowMs: this.#nowMs,
      key,
      call: poolCall({
        promptTokens: SHARED_TOKENS + ownTokens,
        outputTokens: 159,
        lengthHintTokens: hint,
        promptParts: [
          { id: chat, tokens: SHARED_TOKENS },
          { id: `own-${key}`, tokens: ownTokens },
        ],
      }),
    });
    for (const effect of effects) {
      if (effect.type === "broadcast_prompt_cache_entry") {
        const sentAtMs = this.#nowMs;
        this.#after(
          MESSAGE_MS,
          () =>
            this.#routers.forEach((_, other) =>
              other !== router && this.#dispatch(other, {
                type: "prompt_cache_entries_received",
                sentAtMs,
                entries: [effect.entry],
              })
            ),
        );
      }
    }
    return this.#engineById.get(startedEndpointId(effects)!)!;
  }

  /** One pass of the model: some prefill, and an event of each answer. */
  #step(engine: BatchEngine): void {
    engine.isStepping = engine.load > 0;
    if (!engine.isStepping) {
      return;
    }
    this.#after(engine.startStep(), () => {
      for (const request of engine.endStep()) {
        this.#emit(engine, request);
      }
      this.#step(engine);
    });
  }

  #emit(engine: BatchEngine, request: SimRequest): void {
    const { arrivedMs, events, key, router } = request;
    const fields = { nowMs: this.#nowMs, key, attemptNumber: 1 };
    if (request.eventsLeft === events) {
      if (arrivedMs >= WARM_UP_MS) {
        this.#firstEventsMs.push(this.#nowMs - arrivedMs);
      }
      this.#notify(router, {
        type: "attempt_head",
        ...fields,
        head: { ...ACCEPTED_HEAD, load: this.#reportOf(engine) },
      });
      this.#notify(router, { type: "attempt_progress", ...fields });
    }
    if (--request.eventsLeft === 0) {
      engine.decoding.splice(engine.decoding.indexOf(request), 1);
      this.#own[router]![engine.id]!--;
      this.#notify(router, { type: "attempt_ended", ...fields, events });
    }
  }

  #reportOf({ decoding, pace, waiting }: BatchEngine) {
    return {
      running: decoding.length,
      waiting: waiting.length,
      paceFactor: this.#arm === "expected_time" ? pace : undefined,
    };
  }

  #notify(router: number, event: DirectEvent): void {
    if (this.#isOwnChoice) {
      this.#dispatch(router, event);
    }
  }
}

function minBy<T>(items: readonly T[], value: (item: T) => number): T {
  const values = items.map(value);
  return items[values.indexOf(Math.min(...values))]!;
}
