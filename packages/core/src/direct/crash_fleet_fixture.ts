import { uniformInt } from "pure-rand/distribution/uniformInt";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { relayTargets } from "../membership/index.js";
import type { DirectCall, DirectEffect, DirectEvent } from "./direct_event.js";
import { createDirectState, type DirectState } from "./direct_state.js";
import { ACCEPTED_HEAD, poolCall, poolConfig } from "./pool_fixture.js";
import { CrashSuspects } from "./crash_suspects.js";
import {
  olderReport,
  reportKeyOf,
  type SuspectReport,
} from "./suspect_report.js";
import { reduceDirect } from "./reduce_direct.js";
import type { TraitKind } from "./request_trait.js";
import type { EndpointRecord } from "./routing_config.js";

/** `contact_ms` of the platform. */
const CONTACT_MS = 3000;

/** Crashes after which the platform allows few requests of that kind. */
const FREE_CRASHES = { prompt_part: 5, content: 3 };

const DEFAULT_SEED = 7;

const STEP_MS = 10;
const TICK_MS = 400;
const TIME_TO_HEAD_MS = 60;
const ANSWER_MS = 300;
const CHECK_MS = 60;
const MESSAGE_MS = 20;
const ENDPOINT_RESTART_MS = 2500;
const ENTRY_EXPIRY_MS = 3600;
const ROUTER_RESTART_MS = 600;
const STORE_SYNC_MS = 1000;
const STORE_WRITE_MS = 200;

/** Routers of large fleets are connected to some of the others only. */
const MAX_NEIGHBOURS = 32;

const CONFIGS = {
  prompt_part: poolConfig({ sticky: true }),
  content: poolConfig({ callKind: "idempotent", maxAttempts: 2 }),
};

export interface CrashScenario {
  /** What makes endpoints crash: prompt parts or requests named `bad`. */
  readonly cause: TraitKind;
  readonly routers: number;
  readonly endpoints: number;
  readonly soundPerS: number;
  readonly crashingPerS: number;
  readonly durationMs: number;
  /** Times at which a router is killed. */
  readonly killsMs?: (router: number) => readonly number[];
  /** Group of a router; routers of different groups do not reach each other. */
  readonly group?: (router: number) => number;
  /** Times at which endpoints crash by chance, and how many at once. */
  readonly chanceCrashesMs?: readonly number[];
  readonly crashesAtOnce?: number;
  /** Part that comes with the crashing one before a time and alone after it. */
  readonly companionUntilMs?: number;
  /** Whether the part under which endpoints crash comes first in prompts. */
  readonly crashingComesFirst?: boolean;
  /** Number of first parts, of which each prompt has one; 4 if it is left out. */
  readonly firstParts?: number;
  /** Number of parts in the middle of sound prompts; many if it is left out. */
  readonly middleParts?: number;
  /** Number of crashing parts or requests that differ; 1 if it is left out. */
  readonly crashingKinds?: number;
  /** Sound requests a second that are all alike. */
  readonly polledPerS?: number;
  /** Seed of all random choices. */
  readonly seed?: number;
}

/** Faults of routers that must not make them forget what they know, by name. */
export function routerFaults(
  routers: number,
): [name: string, fault: Pick<CrashScenario, "group" | "killsMs">][] {
  const restartMs = (router: number) =>
    1000 + Math.floor(router * 6000 / routers / STEP_MS) * STEP_MS;
  return [
    ["without a fault of routers", {}],
    ["when all are killed at once", { killsMs: () => [4000] }],
    ["when all are killed before they have enough evidence", {
      killsMs: () => [600],
    }],
    ["when they restart in turn", { killsMs: (router) => [restartMs(router)] }],
    ["when two halves do not reach each other", {
      group: (router) => router % 2,
    }],
  ];
}

type CallKind = "sound" | "polled" | "crashing";

interface Router {
  readonly index: number;
  state: DirectState;
  /** The process serves from then on. */
  startMs: number;
  readonly neighbours: number[];
  /** Suspects to send with the next batch. */
  readonly pending: Map<
    string,
    { madeMs: number; report: SuspectReport; isOwn: boolean }
  >;
}

interface Attempt {
  readonly router: Router;
  readonly state: DirectState;
  readonly key: number;
  readonly number: number;
  readonly endpointId: string;
}

interface SoundCall {
  readonly kind: CallKind;
  readonly sentMs: number;
  outcome: string;
}

/**
 * Fleet of reducers before endpoints that crash under certain requests, with
 * delays in place of a network.
 */
export class CrashFleet {
  /** Times at which requests reached an endpoint that crashes under them. */
  readonly #crashingArrivalsMs = new Map<string, number[]>();
  readonly crashesMs: number[] = [];
  /** Messages with suspects between routers. */
  suspectMessages = 0;
  readonly #sound: SoundCall[] = [];
  readonly #scenario: CrashScenario;
  readonly #routers: Router[] = [];
  readonly #store = new CrashSuspects();
  readonly #generator: RandomGenerator;
  readonly #events = new Map<number, (() => void)[]>();
  readonly #alive = new Map<string, EndpointRecord>();
  /** What the directory lists. */
  readonly #listed = new Map<string, EndpointRecord>();
  readonly #attempts = new Map<string, Set<Attempt>>();
  readonly #soundByKey = new Map<number, SoundCall>();
  readonly #calls = new Map<number, DirectCall>();
  #nowMs = 0;
  #key = 0;
  #endpointCount = 0;

  constructor(scenario: CrashScenario) {
    this.#scenario = scenario;
    this.#generator = xoroshiro128plus(scenario.seed ?? DEFAULT_SEED);
    for (let i = 0; i < scenario.endpoints; i++) {
      this.#startEndpoint();
    }
    for (let index = 0; index < scenario.routers; index++) {
      this.#routers.push({
        index,
        state: this.#createState(index),
        startMs: 0,
        neighbours: [],
        pending: new Map(),
      });
    }
    this.#connectRouters();
    this.#routers.forEach((router) => this.#start(router));
  }

  run(): void {
    const { crashingPerS, durationMs, polledPerS = 0, soundPerS } =
      this.#scenario;
    const due = { sound: 0, polled: 0, crashing: 0 };
    for (; this.#nowMs < durationMs; this.#nowMs += STEP_MS) {
      this.#events.get(this.#nowMs)?.forEach((event) => event());
      this.#events.delete(this.#nowMs);
      this.#disturb();
      due.sound += soundPerS * STEP_MS / 1000;
      due.polled += polledPerS * STEP_MS / 1000;
      due.crashing += crashingPerS * STEP_MS / 1000;
      for (const kind of ["sound", "polled", "crashing"] as const) {
        for (; due[kind] >= 1; due[kind]--) {
          this.#call(kind);
        }
      }
    }
  }

  /**
   * Most requests of one kind that reached endpoints though the platform does not
   * allow it.
   */
  get lateArrivals(): number {
    const { cause } = this.#scenario;
    return Math.max(
      0,
      ...[...this.#crashingArrivalsMs.values()].map((arrivalsMs) => {
        const boundMs = (arrivalsMs[FREE_CRASHES[cause] - 1] ?? Infinity) +
          TIME_TO_HEAD_MS + CONTACT_MS;
        return arrivalsMs.filter((atMs) => atMs > boundMs).length;
      }),
    );
  }

  /** Fraction of the sound requests from a time on that ended like this. */
  soundFraction(
    outcome: string,
    fromMs: number,
    kind: CallKind = "sound",
  ): number {
    const sound = this.#sound.filter((call) =>
      call.kind === kind && call.sentMs >= fromMs &&
      call.sentMs < this.#scenario.durationMs - 1000
    );
    return sound.filter((call) => call.outcome === outcome).length /
      Math.max(1, sound.length);
  }

  #random(count: number): number {
    return uniformInt(this.#generator, 0, count - 1);
  }

  #after(delayMs: number, event: () => void): void {
    const steps = Math.max(1, Math.ceil(delayMs / STEP_MS));
    const atMs = this.#nowMs + steps * STEP_MS;
    const events = this.#events.get(atMs) ?? [];
    events.push(event);
    this.#events.set(atMs, events);
  }

  #createState(index: number): DirectState {
    return createDirectState({
      nodeId: routerId(index),
      failureDomain: "a",
      retryRatio: 0.2,
      retryExtra: 50,
      loadMultiple: 1.6,
      maxDirectoryAgeMs: CONTACT_MS,
      stopGraceMs: 8000,
      awaitsSuspects: true,
    });
  }

  #connectRouters(): void {
    const { routers } = this.#scenario;
    for (const router of this.#routers) {
      const wanted = Math.min(MAX_NEIGHBOURS, routers - 1);
      while (router.neighbours.length < wanted) {
        const other = this.#routers[this.#random(routers)]!;
        if (other !== router && !router.neighbours.includes(other.index)) {
          router.neighbours.push(other.index);
          if (!other.neighbours.includes(router.index)) {
            other.neighbours.push(router.index);
          }
        }
      }
    }
  }

  /** A process reads the directory and what its neighbours know. */
  #start(router: Router): void {
    const nowMs = this.#nowMs;
    this.#dispatch(router, {
      type: "config_received",
      nowMs,
      config: CONFIGS[this.#scenario.cause],
      source: "test",
    });
    this.#dispatch(router, {
      type: "endpoints_changed",
      nowMs,
      change: {
        upserts: [...this.#listed.values()],
        removedIds: [],
        isSnapshot: true,
      },
      source: "test",
    });
    this.#receive(router, this.#store.reports(nowMs));
    for (const neighbour of this.#reachable(router)) {
      this.#receive(router, neighbour.state.crashSuspects.reports(nowMs));
    }
    this.#tick(router);
    this.#syncStore(router);
  }

  #tick(router: Router): void {
    const { state } = router;
    this.#dispatch(router, {
      type: "router_count_observed",
      nowMs: this.#nowMs,
      routerCount: this.#scenario.routers,
      isFirst: router.index === 0,
      routerIds: this.#routers.filter((other) => other !== router)
        .map(({ index }) => routerId(index)),
    });
    this.#after(TICK_MS, () => {
      if (router.state === state) {
        this.#tick(router);
      }
    });
  }

  #syncStore(router: Router): void {
    const { state } = router;
    const evidence = state.crashSuspects.reports(this.#nowMs)
      .filter(({ crashes }) => crashes.length > 1);
    if (evidence.length > 0) {
      this.#receive(router, this.#store.reports(this.#nowMs));
      this.#store.merge(
        this.#nowMs,
        state.crashSuspects.reports(this.#nowMs)
          .filter(({ crashes }) => crashes.length > 1),
      );
    }
    this.#after(STORE_SYNC_MS, () => {
      if (router.state === state) {
        this.#syncStore(router);
      }
    });
  }

  /** The router that finds evidence stores it, if it is not a single crash. */
  #storeOwn(router: Router, suspects: readonly SuspectReport[]): void {
    const evidence = suspects.filter(({ crashes }) => crashes.length > 1);
    const { state } = router;
    if (evidence.length > 0) {
      this.#after(STORE_WRITE_MS, () => {
        if (router.state === state) {
          this.#store.merge(this.#nowMs, evidence);
        }
      });
    }
  }

  #reachable(router: Router): Router[] {
    const { group } = this.#scenario;
    return router.neighbours.map((index) => this.#routers[index]!)
      .filter((other) =>
        other.startMs <= this.#nowMs &&
        (!group || group(other.index) === group(router.index))
      );
  }

  #receive(router: Router, reports: readonly SuspectReport[]): void {
    this.#dispatch(router, {
      type: "suspects_received",
      nowMs: this.#nowMs,
      reports,
      source: "test",
    });
  }

  #disturb(): void {
    const { chanceCrashesMs, crashesAtOnce = 1, killsMs } = this.#scenario;
    if (chanceCrashesMs?.includes(this.#nowMs)) {
      for (let i = 0; i < crashesAtOnce && this.#alive.size > 0; i++) {
        this.#crash([...this.#alive.keys()][this.#random(this.#alive.size)]!);
      }
    }
    if (!killsMs) {
      return;
    }
    for (const router of this.#routers) {
      if (killsMs(router.index).includes(this.#nowMs)) {
        router.state = this.#createState(router.index);
        router.startMs = this.#nowMs + ROUTER_RESTART_MS;
        const { state } = router;
        this.#after(ROUTER_RESTART_MS, () => {
          if (router.state === state) {
            this.#start(router);
          }
        });
      }
    }
  }

  #call(kind: CallKind): void {
    const key = ++this.#key;
    const router = this.#routers[this.#random(this.#routers.length)]!;
    if (router.startMs > this.#nowMs) {
      return;
    }
    if (kind !== "crashing") {
      const sound = { kind, sentMs: this.#nowMs, outcome: "pending" };
      this.#sound.push(sound);
      this.#soundByKey.set(key, sound);
    }
    const call = this.#scenario.cause === "prompt_part"
      ? this.#promptOf(kind, key)
      : this.#plainCallOf(kind, key);
    this.#calls.set(key, call);
    this.#dispatch(router, {
      type: "call_received",
      nowMs: this.#nowMs,
      key,
      call,
    });
  }

  /** Prompts share a first part, have one of few in the middle, and an own one. */
  #promptOf(kind: CallKind, key: number): DirectCall {
    const {
      companionUntilMs,
      crashingComesFirst = false,
      endpoints,
      firstParts = 4,
      middleParts = endpoints * 6,
    } = this.#scenario;
    const isEarly = this.#nowMs < (companionUntilMs ?? -1);
    const page = () => `page-${this.#random(middleParts)}`;
    const first = () => `root-${this.#random(firstParts)}`;
    if (kind === "crashing" && crashingComesFirst) {
      return this.#promptWith([this.#crashingPart(), page()], key);
    }
    const middle = kind === "crashing"
      ? [this.#crashingPart(), ...(isEarly ? ["companion"] : [])]
      : companionUntilMs !== undefined && !isEarly && key % 10 === 0
      ? ["companion"]
      : [page()];
    return this.#promptWith([first(), ...middle], key);
  }

  #promptWith(sharedParts: readonly string[], key: number): DirectCall {
    return poolCall({
      promptTokens: 900,
      promptParts: [...sharedParts, `own-${key}`]
        .map((id) => ({ id, tokens: 300 })),
    });
  }

  #crashingPart(): string {
    const { crashingKinds = 1 } = this.#scenario;
    return crashingKinds === 1 ? "bad" : `bad-${this.#random(crashingKinds)}`;
  }

  /** Only the digest tells the requests of a path from each other. */
  #plainCallOf(kind: CallKind, key: number): DirectCall {
    const digest = kind === "crashing"
      ? `bad-${this.#random(this.#scenario.crashingKinds ?? 1)}`
      : kind === "polled"
      ? "status"
      : `page-${key}`;
    return poolCall({ contentDigest: () => digest });
  }

  #dispatch(router: Router, event: DirectEvent): void {
    for (const effect of reduceDirect(router.state, event)) {
      this.#run(router, effect);
    }
  }

  #run(router: Router, effect: DirectEffect): void {
    const { state } = router;
    switch (effect.type) {
      case "start_attempt":
        this.#startAttempt({
          router,
          state,
          key: effect.key,
          number: effect.attemptNumber,
          endpointId: effect.endpointId,
        });
        break;
      case "discard_attempt":
        for (const attempts of this.#attempts.values()) {
          for (const attempt of attempts) {
            if (
              attempt.state === state && attempt.key === effect.key &&
              attempt.number === effect.attemptNumber
            ) {
              attempts.delete(attempt);
            }
          }
        }
        break;
      case "check_endpoint":
        this.#after(CHECK_MS, () => {
          if (router.state === state) {
            this.#dispatch(router, {
              type: "endpoint_checked",
              nowMs: this.#nowMs,
              endpointId: effect.endpointId,
              refusesConnections: !this.#alive.has(effect.endpointId),
            });
          }
        });
        break;
      case "review_suspects":
        this.#after(effect.delayMs, () => {
          if (router.state === state) {
            this.#dispatch(router, {
              type: "suspects_review_due",
              nowMs: this.#nowMs,
            });
          }
        });
        break;
      case "share_suspects":
        this.#share(router, effect.suspects, effect.isOwn);
        if (effect.isOwn) {
          this.#storeOwn(router, effect.suspects);
        }
        break;
      case "refuse":
        this.#endSound(effect.key, effect.refusal.reason);
        break;
      case "abort_answer":
        this.#endSound(effect.key, "broken");
        break;
    }
  }

  /** Sends what changed in a batch, as the exchange between routers does. */
  #share(
    router: Router,
    suspects: readonly SuspectReport[],
    isOwn: boolean,
  ): void {
    const { pending, state } = router;
    const isScheduled = pending.size > 0;
    for (const report of suspects) {
      const key = reportKeyOf(report);
      pending.set(key, {
        madeMs: this.#nowMs,
        report,
        isOwn: isOwn || pending.get(key)?.isOwn === true,
      });
    }
    if (isScheduled || pending.size === 0) {
      return;
    }
    const delayMs = 2 * router.neighbours.length;
    this.#after(MESSAGE_MS + delayMs, () => {
      const batch = [...pending.values()];
      pending.clear();
      if (router.state === state) {
        const all = this.#reachable(router);
        const relayed = batch.filter((each) => !each.isOwn);
        this.#send(batch.filter((each) => each.isOwn), all);
        if (relayed.length > 0) {
          this.#send(relayed, this.#relayTargets(router, all));
        }
      }
    });
  }

  #send(
    batch: readonly { madeMs: number; report: SuspectReport }[],
    routers: readonly Router[],
  ): void {
    if (batch.length === 0) {
      return;
    }
    const sentMs = this.#nowMs - MESSAGE_MS;
    const reports = batch.map(({ madeMs, report }) =>
      olderReport(report, sentMs - madeMs)
    );
    this.suspectMessages += routers.length;
    routers.forEach((other) => this.#receive(other, reports));
  }

  /** Routers that are known but not reachable count as not connected. */
  #relayTargets(
    router: Router,
    reachable: readonly Router[],
  ): readonly Router[] {
    if (reachable.length < this.#routers.length - 1) {
      return reachable;
    }
    const ids = reachable.map(({ index }) => routerId(index));
    const targets = new Set(relayTargets(routerId(router.index), ids, ids));
    return reachable.filter(({ index }) => targets.has(routerId(index)));
  }

  #endSound(key: number, outcome: string): void {
    const sound = this.#soundByKey.get(key);
    if (sound) {
      sound.outcome = outcome;
    }
  }

  #startAttempt(attempt: Attempt): void {
    const { endpointId, key } = attempt;
    if (!this.#alive.has(endpointId)) {
      this.#after(STEP_MS, () => this.#fail(attempt, "connect"));
      return;
    }
    const attempts = this.#attempts.get(endpointId) ?? new Set();
    attempts.add(attempt);
    this.#attempts.set(endpointId, attempts);
    const crash = this.#crashOf(this.#calls.get(key)!);
    if (crash !== undefined) {
      const arrivalsMs = this.#crashingArrivalsMs.get(crash) ?? [];
      arrivalsMs.push(this.#nowMs);
      this.#crashingArrivalsMs.set(crash, arrivalsMs);
    }
    const ifRunning = (action: () => void) => () => {
      if (attempts.has(attempt) && attempt.router.state === attempt.state) {
        action();
      }
    };
    this.#after(
      TIME_TO_HEAD_MS,
      ifRunning(() => {
        if (crash === undefined || this.#scenario.cause === "prompt_part") {
          this.#dispatch(attempt.router, {
            type: "attempt_head",
            ...this.#eventFields(attempt),
            head: ACCEPTED_HEAD,
          });
        }
        if (crash !== undefined) {
          this.#crash(endpointId);
        }
      }),
    );
    this.#after(
      ANSWER_MS,
      ifRunning(() => {
        attempts.delete(attempt);
        this.#endSound(key, "whole");
        this.#dispatch(attempt.router, {
          type: "attempt_ended",
          ...this.#eventFields(attempt),
        });
      }),
    );
  }

  /** Names what makes endpoints crash under the call; undefined if nothing does. */
  #crashOf(call: DirectCall): string | undefined {
    const names = this.#scenario.cause === "prompt_part"
      ? call.promptParts.map(({ id }) => id)
      : [call.contentDigest()];
    return names.find((name) => name.startsWith("bad"));
  }

  #eventFields({ key, number }: Attempt) {
    return { nowMs: this.#nowMs, key, attemptNumber: number };
  }

  #fail(attempt: Attempt, kind: "connect" | "reset"): void {
    if (attempt.router.state !== attempt.state) {
      return;
    }
    this.#dispatch(attempt.router, {
      type: "attempt_failed",
      ...this.#eventFields(attempt),
      failure: { kind, sent: kind === "reset", portClosed: kind === "connect" },
      canResume: false,
    });
  }

  #crash(endpointId: string): void {
    if (!this.#alive.delete(endpointId)) {
      return;
    }
    this.crashesMs.push(this.#nowMs);
    const attempts = [...this.#attempts.get(endpointId) ?? []];
    this.#attempts.delete(endpointId);
    attempts.forEach((attempt) => this.#fail(attempt, "reset"));
    this.#after(ENDPOINT_RESTART_MS, () => this.#startEndpoint());
    this.#after(ENTRY_EXPIRY_MS, () => {
      this.#listed.delete(endpointId);
      this.#changeEndpoints([], [endpointId]);
    });
  }

  #startEndpoint(): void {
    const record: EndpointRecord = {
      id: `e${++this.#endpointCount}`,
      service: "pool",
      address: "10.0.0.1:80",
      failureDomain: "a",
      state: "ready",
      incarnation: 1,
    };
    this.#alive.set(record.id, record);
    this.#listed.set(record.id, record);
    this.#changeEndpoints([record], []);
  }

  #changeEndpoints(upserts: EndpointRecord[], removedIds: string[]): void {
    for (const router of this.#routers) {
      if (router.startMs <= this.#nowMs) {
        this.#dispatch(router, {
          type: "endpoints_changed",
          nowMs: this.#nowMs,
          change: { upserts, removedIds, isSnapshot: false },
          source: "test",
        });
      }
    }
  }
}

function routerId(index: number): string {
  return `router-${index}`;
}
