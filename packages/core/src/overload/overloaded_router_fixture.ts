// A simulated event loop of a router with a fraction of a core, around the reducer.

import type { Millis } from "../clock.js";
import type { DirectEffect, DirectEvent } from "../direct/direct_event.js";
import type { DirectState } from "../direct/direct_state.js";
import {
  ACCEPTED_HEAD,
  configReceived,
  endpointsListed,
  poolCall,
  poolConfig,
  poolEndpoint,
  poolState,
} from "../direct/pool_fixture.js";
import { reduceDirect } from "../direct/reduce_direct.js";
import type { DirectRoute } from "../direct/routing_config.js";

export const CPU_SHARE = 0.243;

/** CPU time of a request, 5 ms altogether, by step. */
const READ_MS: Millis = 1;
const PLACE_MS: Millis = 1.5;
const HEAD_MS: Millis = 1;
const REST_MS: Millis = 1.5;

/** The rest of an answer follows its head after this time. */
const REST_AFTER_MS: Millis = 100;

/** Callers that retry at once give up then. */
const LAST_RETRY_MS: Millis = 6000;

/** Ticks follow the last answer until a period of overload must have ended. */
const TICK_MS: Millis = 400;
const TICKS = 15;

/** Requests a second that the router can serve. */
export const CAPACITY_PER_S = 1000 * CPU_SHARE /
  (READ_MS + PLACE_MS + HEAD_MS + REST_MS);

/** Kinds of requests, with their part of the traffic. */
export const KINDS = {
  long: { priority: 2, objectiveMs: 1500, perS: 42, endpointMs: 400 },
  short: { priority: 0, objectiveMs: 500, perS: 109, endpointMs: 100 },
  tags: { priority: 1, objectiveMs: 500, perS: 78, endpointMs: 100 },
  write: { priority: 2, objectiveMs: 120, perS: 79, endpointMs: 15 },
  read: { priority: 2, objectiveMs: 120, perS: 18, endpointMs: 10 },
} as const;
export type Kind = keyof typeof KINDS;

export interface Arrival {
  readonly atMs: Millis;
  readonly kind: Kind;
  readonly account: string;
  /** Whether the caller repeats a refused request at once. */
  readonly retriesAtOnce?: boolean;
}

/** What became of requests. */
export interface Tally {
  received: number;
  late: number;
  refused: number;
  answered: number;
}

interface Work {
  readonly atMs: Millis;
  readonly cpuMs: Millis;
  readonly run: () => void;
}

const ACCOUNTS = ["a0", "a1", "a2", "a3", "a4", "a5", "a6", "a7", "flood"];

/** The account `flood` finds no endpoint, so its requests are refused. */
const EMPTY_HOST = "empty";

function routeOf(kind: Kind, host: string, service: string): DirectRoute {
  const { objectiveMs, priority } = KINDS[kind];
  return {
    ...poolConfig().routes[0],
    name: `${host}/${kind}`,
    host,
    pathPrefix: `/${kind}/`,
    callKind: "non_idempotent",
    targets: [{ service, weight: 1 }],
    objectiveMs,
    priority,
    open: false,
  };
}

export const KIND_NAMES = Object.keys(KINDS) as Kind[];

const CONFIG = {
  ...poolConfig(
    {},
    ACCOUNTS.map((name) => ({ name, keys: [name] })),
  ),
  routes: KIND_NAMES.flatMap((kind) => [
    routeOf(kind, "h", "pool"),
    routeOf(kind, EMPTY_HOST, "none"),
  ]),
};

/** Runs a router until all requests have ended, and counts what became of them. */
export class OverloadedRouter {
  readonly #state: DirectState;
  readonly #tallies = new Map<string, Tally>();
  readonly logs: Extract<DirectEffect, { type: "log" }>[] = [];
  #nowMs: Millis = 0;
  /** When the current iteration began. */
  #turnMs: Millis = 0;
  #nextKey = 1;
  #isTurnDue = false;
  #scheduledMs: Millis = 0;
  #work: Work[] = [];
  #checks: (() => void)[] = [];
  readonly #sent = new Map<number, Arrival & { readonly sentMs: Millis }>();

  /** @param ordered Whether requests wait while the router is behind. */
  constructor(ordered: boolean) {
    this.#state = poolState(ordered ? { cpuShare: CPU_SHARE } : {});
    this.#push(configReceived(CONFIG));
    this.#push(endpointsListed(0, [poolEndpoint("e0"), poolEndpoint("e1")]));
  }

  run(arrivals: readonly Arrival[]): void {
    for (const arrival of arrivals) {
      this.#receive(arrival);
    }
    while (this.#work.length + this.#checks.length > 0 || this.#isTurnDue) {
      this.#iterate();
    }
    for (let tick = 0; tick < TICKS; tick++) {
      this.#nowMs += TICK_MS;
      this.#push({ type: "tick", nowMs: this.#nowMs });
    }
  }

  #push(event: DirectEvent): void {
    reduceDirect(this.#state, event)
      .forEach((effect) => this.#runEffect(effect));
  }

  #receive(arrival: Arrival): void {
    this.#work.push({
      atMs: arrival.atMs,
      cpuMs: READ_MS,
      run: () => {
        const readMs = this.#turnMs;
        // The host passes requests on after it has read from all sockets again.
        this.#checks.push(() =>
          this.#checks.push(() => this.#pass(arrival, readMs))
        );
      },
    });
  }

  /** One iteration of the event loop. */
  #iterate(): void {
    if (this.#checks.length === 0 && !this.#isTurnDue) {
      const nextMs = Math.min(...this.#work.map(({ atMs }) => atMs));
      this.#nowMs = Math.max(this.#nowMs, nextMs);
    }
    this.#turnMs = this.#nowMs;
    const ready = this.#work.filter(({ atMs }) => atMs <= this.#turnMs);
    this.#work = this.#work.filter(({ atMs }) => atMs > this.#turnMs);
    const wasTurnDue = this.#isTurnDue;
    const checks = this.#checks;
    this.#checks = [];
    for (const { cpuMs, run } of ready) {
      this.#spend(cpuMs);
      run();
    }
    const readNow = this.#checks;
    this.#checks = [];
    checks.forEach((check) => check());
    readNow.forEach((check) => check());
    if (wasTurnDue) {
      this.#isTurnDue = false;
      const lagMs = this.#nowMs - this.#scheduledMs;
      this.#push({ type: "placement_due", nowMs: this.#nowMs, lagMs });
    }
  }

  #spend(cpuMs: Millis): void {
    this.#nowMs += cpuMs / CPU_SHARE;
  }

  #pass(arrival: Arrival, readMs: Millis): void {
    const key = this.#nextKey++;
    this.#sent.set(key, { ...arrival, sentMs: arrival.atMs });
    this.#tally(arrival, (tally) => tally.received++);
    this.#push({
      type: "call_received",
      nowMs: this.#nowMs,
      readMs,
      lagMs: this.#nowMs - readMs,
      key,
      call: poolCall({
        host: arrival.retriesAtOnce ? EMPTY_HOST : "h",
        path: `/${arrival.kind}/x`,
        apiKey: arrival.account,
      }),
    });
  }

  #runEffect(effect: DirectEffect): void {
    if (effect.type === "log" && effect.event.startsWith("overload_")) {
      this.logs.push(effect);
    } else if (effect.type === "schedule_placement") {
      this.#isTurnDue = true;
      this.#scheduledMs = this.#nowMs;
    } else if (effect.type === "start_attempt") {
      this.#spend(PLACE_MS);
      this.#answer(effect.key, effect.attemptNumber);
    } else if (effect.type === "refuse") {
      this.#spend(PLACE_MS);
      this.#handleRefusal(effect.key);
    }
  }

  #handleRefusal(key: number): void {
    const sent = this.#sent.get(key)!;
    this.#tally(sent, (tally) => tally.refused++);
    if (sent.retriesAtOnce && this.#nowMs < LAST_RETRY_MS) {
      this.#receive({ ...sent, atMs: this.#nowMs + 1 });
    }
  }

  #answer(key: number, attemptNumber: number): void {
    const sent = this.#sent.get(key)!;
    const { endpointMs, objectiveMs } = KINDS[sent.kind];
    const fields = { key, attemptNumber };
    this.#work.push({
      atMs: this.#nowMs + endpointMs,
      cpuMs: HEAD_MS,
      run: () => {
        if (this.#nowMs - sent.sentMs > objectiveMs) {
          this.#tally(sent, (tally) => tally.late++);
        }
        this.#tally(sent, (tally) => tally.answered++);
        const nowMs = this.#nowMs;
        const head = ACCEPTED_HEAD;
        this.#push({ type: "attempt_head", nowMs, ...fields, head });
        this.#work.push({
          atMs: nowMs + REST_AFTER_MS,
          cpuMs: REST_MS,
          run: () =>
            this.#push({
              type: "attempt_ended",
              nowMs: this.#nowMs,
              ...fields,
            }),
        });
      },
    });
  }

  /** Sums up what became of the requests of these accounts and kinds. */
  total(accounts: readonly string[], kinds: readonly Kind[]): Tally {
    const total = { ...NO_REQUESTS };
    for (const account of accounts) {
      for (const kind of kinds) {
        const tally = this.#tallies.get(`${account}/${kind}`) ?? NO_REQUESTS;
        total.received += tally.received;
        total.late += tally.late;
        total.refused += tally.refused;
        total.answered += tally.answered;
      }
    }
    return total;
  }

  #tally({ account, kind }: Arrival, count: (tally: Tally) => void): void {
    const name = `${account}/${kind}`;
    const tally = this.#tallies.get(name) ?? { ...NO_REQUESTS };
    this.#tallies.set(name, tally);
    count(tally);
  }
}

const NO_REQUESTS: Readonly<Tally> = {
  received: 0,
  late: 0,
  refused: 0,
  answered: 0,
};
