import { type Bundle, BundleSchema } from "../config/index.js";
import type { InstanceRow } from "../membership/index.js";
import { CacheAwarePolicy } from "../placement/cache_aware_policy.js";
import {
  createSidecarState,
  type ExecutionDecision,
  loadTokensOf,
  reduceSidecar,
  type SidecarEffect,
  type SidecarEvent,
  type SidecarState,
} from "../sidecar/index.js";
import type { Message, StoredAnswer, Submit } from "../wire/index.js";
import { reduceRouter } from "./reduce_router.js";
import type {
  CallerRequest,
  RouterEffect,
  RouterEvent,
} from "./router_event.js";
import { createRouterState, type RouterState } from "./router_state.js";

type WithoutTime<E> = E extends unknown ? Omit<E, "nowMs"> : never;

/** Kind of a call; two calls with the same key share their record. */
export type CallKind = "chat" | "once" | "keyed";

/** One step of a random schedule. Indexes are taken modulo what exists. */
export type Step =
  | {
    type: "call";
    router: number;
    kind: CallKind;
    key: number;
    chunks: number;
    wide: boolean;
  }
  | { type: "work"; rounds: number }
  /** Endpoints and the store go on while no frame is delivered. */
  | { type: "endpoints"; rounds: number }
  | { type: "deliver"; link: number; direction: Direction; frames: number }
  | { type: "duplicate"; link: number }
  | { type: "reset"; link: number }
  | { type: "silence"; link: number; direction: Direction | "both" }
  | { type: "wait"; ticks: number }
  | { type: "restart"; sidecar: number }
  | { type: "drain"; sidecar: number }
  | { type: "drain_router"; router: number }
  | { type: "config"; node: number; version: number }
  | { type: "store"; up: boolean }
  | { type: "engine"; sidecar: number; accepts: boolean }
  | { type: "break_call"; sidecar: number }
  | { type: "leave_caller"; call: number };

export type Direction = "to_sidecar" | "to_router";

/** Length of a tick; hosts tick every 25 to 50 ms. */
const TICK_MS = 50;

/** Longer than every time limit of the reducers but the caller's deadline. */
const SETTLE_TICKS = 800;

/** Smallest buffer that the settings allow; the sidecar uses 64 KiB. */
const STREAM_BUFFER_BYTES = 1;

/** Three of these fill the buffer, so that calls are paused. */
const WIDE_CHUNK_BYTES = 24 * 1024;

const DEADLINE_MS = 600_000;
const MODEL = "m";
const SERVICE = "approvals";
const ACCOUNT = "wiki";
const KEY_HASH = "0".repeat(64);

interface RouterNode {
  readonly id: string;
  readonly state: RouterState;
  /** Incarnations of which this router has seen that they drain. */
  readonly drained: Set<string>;
  version: number;
}

interface RunningCall {
  readonly attemptId: string;
  readonly submit: Submit;
  readonly chunks: readonly Uint8Array[];
  next: number;
  paused: boolean;
}

interface SidecarNode {
  readonly id: string;
  incarnation: number;
  state: SidecarState;
  version: number;
  engineAccepts: boolean;
  readonly calls: Map<string, RunningCall>;
  readonly undecided: Map<string, Submit>;
}

/** A connection; each side may already have closed its end. */
interface Link {
  readonly connectionId: string;
  readonly router: RouterNode;
  readonly sidecar: SidecarNode;
  readonly incarnation: number;
  ready: boolean;
  routerOpen: boolean;
  sidecarOpen: boolean;
  readonly unsent: Message[];
  readonly frames: Record<Direction, Message[]>;
  readonly silent: Record<Direction, boolean>;
}

interface CallRecord {
  readonly attemptId: string;
  readonly fingerprint: string;
  answer: StoredAnswer | undefined;
}

/** What became of one call as its caller sees it. */
export interface CallResult {
  readonly requestId: string;
  readonly kind: CallKind;
  readonly key: string | undefined;
  readonly expected: string;
  readonly router: number;
  received: string;
  finals: string[];
  callerLeft: boolean;
  replayed: boolean;
}

/**
 * Joins router and sidecar reducers by queues of frames in memory. Every
 * violated invariant is added to `violations` at the moment it is seen.
 */
export class ReducerHarness {
  readonly results = new Map<string, CallResult>();
  readonly violations: string[] = [];
  readonly executions = new Map<string, number>();
  readonly #keyExecutions = new Map<string, number>();
  readonly #notRun = new Set<string>();
  readonly #records = new Map<string, CallRecord>();
  readonly #routers: RouterNode[];
  readonly #sidecars: SidecarNode[];
  #links: Link[] = [];
  #pending: (() => void)[] = [];
  #nowMs = 1_000_000;
  #highestVersion = 1;
  #storeUp = true;
  #nextConnection = 0;

  constructor(seed: number) {
    this.#sidecars = ["e1", "e2", "e3"].map((id, i) => ({
      id,
      incarnation: 1,
      state: this.#createSidecar(id, 1, seed + i),
      version: 0,
      engineAccepts: true,
      calls: new Map(),
      undecided: new Map(),
    }));
    this.#routers = ["r1", "r2"].map((id, i) => ({
      id,
      state: createRouterState({
        nodeId: id,
        failureDomain: "a",
        seed: seed + 10 + i,
        placement: new CacheAwarePolicy(),
        probeCount: 3,
        probeFreshMs: 250,
        probeTimeoutMs: 100,
        enforceBound: true,
        plainRetries: false,
        detectSilence: true,
      }),
      drained: new Set(),
      version: 0,
    }));
    for (const sidecar of this.#sidecars) {
      this.#startSidecar(sidecar);
    }
    for (const router of this.#routers) {
      this.#route(router, {
        type: "membership",
        event: {
          type: "list_received",
          nowMs: this.#nowMs,
          listVersion: 1,
          instances: this.#rows(),
        },
      });
      this.#applyToRouter(router, 1);
    }
    // The bound is enforced only some time after the join.
    this.#wait(50);
  }

  run(steps: readonly Step[]): void {
    for (const step of steps) {
      this.#step(step);
    }
  }

  /** Ends all faults and lets time pass; then everything has to be over. */
  settle(): void {
    this.#storeUp = true;
    for (const sidecar of this.#sidecars) {
      sidecar.engineAccepts = true;
    }
    for (let i = 0; i < SETTLE_TICKS && !this.#isQuiet(); i++) {
      this.#tick();
      this.#deliverAll();
      this.#work();
    }
    this.#checkEnd();
  }

  #step(step: Step): void {
    switch (step.type) {
      case "call":
        this.#call(step);
        break;
      case "work":
        for (let i = 0; i < step.rounds; i++) {
          this.#deliverAll();
          this.#work();
        }
        break;
      case "endpoints":
        for (let i = 0; i < step.rounds; i++) {
          this.#work();
        }
        break;
      case "deliver":
        this.#withLink(step.link, (link) => {
          for (let i = 0; i < step.frames; i++) {
            this.#deliver(link, step.direction);
          }
        });
        break;
      case "duplicate":
        this.#withLink(step.link, ({ frames }) => {
          const submit = frames.to_sidecar.find(({ type }) =>
            type === "submit"
          );
          if (submit) {
            frames.to_sidecar.push(submit);
          }
        });
        break;
      case "reset":
        this.#withLink(step.link, (link) => this.#reset(link));
        break;
      case "silence":
        this.#withLink(step.link, ({ ready, silent }) => {
          silent.to_router ||= ready && step.direction !== "to_sidecar";
          silent.to_sidecar ||= ready && step.direction !== "to_router";
        });
        break;
      case "wait":
        this.#wait(step.ticks);
        break;
      case "restart":
        this.#restart(at(this.#sidecars, step.sidecar));
        break;
      case "drain":
        this.#reach(at(this.#sidecars, step.sidecar), {
          type: "drain_requested",
          exit: false,
        });
        break;
      case "drain_router":
        this.#route(at(this.#routers, step.router), {
          type: "drain_requested",
        });
        break;
      case "config":
        this.#offerConfig(step.node, step.version);
        break;
      case "store":
        this.#storeUp = step.up;
        break;
      case "engine":
        at(this.#sidecars, step.sidecar).engineAccepts = step.accepts;
        break;
      case "break_call":
        this.#breakCall(at(this.#sidecars, step.sidecar));
        break;
      case "leave_caller":
        this.#leaveCaller(step.call);
        break;
    }
  }

  #call(step: Extract<Step, { type: "call" }>): void {
    const { key, kind, router, wide } = step;
    // Calls with the same key repeat each other, so their answers agree.
    const chunks = kind === "keyed" ? key + 1 : step.chunks;
    const requestId = `q${this.results.size}`;
    const keyed = kind === "keyed" ? `k${key}` : undefined;
    const index = router % this.#routers.length;
    const name = keyed ?? requestId;
    const spec = { name, chunks, wide: wide && kind !== "keyed" };
    this.results.set(requestId, {
      requestId,
      kind,
      key: keyed,
      expected: answerTexts(spec).join(""),
      router: index,
      received: "",
      finals: [],
      callerLeft: false,
      replayed: false,
    });
    const isChat = kind === "chat";
    const request: CallerRequest = {
      requestId,
      kind: isChat ? "chat" : "service",
      keyHash: KEY_HASH,
      method: "POST",
      path: "/",
      headers: {},
      body: new TextEncoder().encode(JSON.stringify(spec)),
      target: isChat ? MODEL : SERVICE,
      stream: isChat,
      chatId: `chat${key}`,
      blockHashes: [BigInt(key + 1)],
      promptTokens: 100 * (key + 1),
      idempotent: isChat,
      idempotencyKey: keyed,
      fingerprint: name,
    };
    this.#route(this.#routers[index], { type: "request_received", request });
  }

  #wait(ticks: number): void {
    for (let i = 0; i < ticks; i++) {
      this.#tick();
    }
  }

  #tick(): void {
    this.#nowMs += TICK_MS;
    for (const sidecar of this.#sidecars) {
      this.#reach(sidecar, {
        type: "endpoint_health",
        healthy: sidecar.state.configVersion > 0,
      });
      this.#reach(sidecar, { type: "tick" });
    }
    for (const router of this.#routers) {
      this.#route(router, { type: "tick" });
    }
    this.#runPending();
  }

  /** Delivers all frames under way, also those that cause new ones. */
  #deliverAll(): void {
    const MAX_ROUNDS = 20;
    let moved = true;
    for (let i = 0; i < MAX_ROUNDS && moved; i++) {
      moved = false;
      for (const link of [...this.#links]) {
        moved = this.#deliver(link, "to_sidecar") || moved;
        moved = this.#deliver(link, "to_router") || moved;
      }
    }
  }

  /** Delivers one frame, or the end of the connection; false for neither. */
  #deliver(link: Link, direction: Direction): boolean {
    if (!link.ready) {
      this.#connect(link);
      return true;
    }
    const receiving = direction === "to_router"
      ? link.routerOpen
      : link.sidecarOpen;
    const sending = direction === "to_router"
      ? link.sidecarOpen
      : link.routerOpen;
    const message = receiving && !link.silent[direction]
      ? link.frames[direction].shift()
      : undefined;
    if (!receiving || link.silent[direction] || (!message && sending)) {
      return false;
    }
    if (!message) {
      // The end of the connection arrives after all frames.
      this.#closeEnd(link, direction);
    } else if (direction === "to_router") {
      this.#receiveAtRouter(link, message);
    } else {
      this.#receiveAtSidecar(link, message);
    }
    this.#runPending();
    return true;
  }

  #connect(link: Link): void {
    const { connectionId, router, sidecar } = link;
    link.ready = true;
    const hello = {
      type: "hello",
      protocolVersion: 1,
      failureDomain: "a",
      nonce: new Uint8Array(),
    } as const;
    link.sidecarOpen = true;
    link.frames.to_sidecar.push(...link.unsent.splice(0));
    this.#reach(sidecar, {
      type: "connected",
      connectionId,
      hello: {
        ...hello,
        role: "router",
        nodeId: router.id,
        incarnation: 1,
        configVersion: router.version,
      },
    });
    this.#route(router, {
      type: "connected",
      endpointId: sidecar.id,
      hello: {
        ...hello,
        role: "sidecar",
        nodeId: sidecar.id,
        incarnation: sidecar.incarnation,
        configVersion: sidecar.version,
      },
    });
    this.#runPending();
  }

  #receiveAtRouter({ router, sidecar }: Link, message: Message): void {
    if ("facts" in message && message.facts.state === "draining") {
      router.drained.add(`${sidecar.id}/${message.facts.incarnation}`);
    }
    this.#route(router, {
      type: "message",
      endpointId: sidecar.id,
      message,
    });
  }

  #receiveAtSidecar({ connectionId, sidecar }: Link, message: Message): void {
    const { state } = sidecar;
    const { mode } = state;
    const known = message.type === "submit" &&
      state.attempts.has(message.attemptId);
    this.#reach(sidecar, { type: "message", connectionId, message });
    if (
      message.type === "submit" && !known &&
      state.attempts.has(message.attemptId)
    ) {
      this.#checkAdmitted(sidecar, message, mode);
    }
  }

  #checkAdmitted(
    { id, state }: SidecarNode,
    submit: Submit,
    mode: SidecarState["mode"],
  ): void {
    if (mode !== "active") {
      this.#violate(`${id} admitted ${submit.attemptId} while ${mode}`);
    }
    if (submit.configVersion < state.configVersion) {
      this.#violate(`${id} admitted ${submit.attemptId} of an old version`);
    }
    const { freshLoadTokens, freshPeers, knownPeers } = state.table.summarize(
      this.#nowMs,
    );
    const loadTokens = loadTokensOf(state);
    const mean = (freshLoadTokens + loadTokens) / (freshPeers + 1);
    const { load_bound_multiple: multiple, load_floor_tokens: floor } =
      state.pool;
    // The bound holds once more than half of a pool of three is fresh; the
    // time after a join is left out by the decision's own counter.
    const enforced = knownPeers >= 2 && 2 * freshPeers >= knownPeers &&
      state.bound.counters.admitted.after_join === 0;
    if (enforced && loadTokens > Math.max(multiple * mean, floor)) {
      this.#violate(`${id} carries ${loadTokens} tokens at a mean of ${mean}`);
    }
  }

  #closeEnd(link: Link, direction: Direction): void {
    if (direction === "to_router") {
      link.routerOpen = false;
      this.#dropLink(link);
      this.#route(link.router, {
        type: "connection_closed",
        endpointId: link.sidecar.id,
        wasReady: true,
        unsent: [],
      });
    } else {
      link.sidecarOpen = false;
      this.#dropLink(link);
      this.#reach(link.sidecar, {
        type: "connection_closed",
        connectionId: link.connectionId,
      });
    }
  }

  /** A reset loses all frames under way, and both ends notice it. */
  #reset(link: Link): void {
    const { connectionId, router, sidecar, ready, routerOpen, sidecarOpen } =
      link;
    this.#links = this.#links.filter((other) => other !== link);
    const unsent = link.unsent.splice(0);
    link.routerOpen = false;
    link.sidecarOpen = false;
    if (sidecarOpen && sidecar.incarnation === link.incarnation) {
      this.#reach(sidecar, { type: "connection_closed", connectionId });
    }
    if (routerOpen) {
      this.#route(router, {
        type: "connection_closed",
        endpointId: sidecar.id,
        wasReady: ready,
        unsent,
      });
    }
    this.#runPending();
  }

  #dropLink(link: Link): void {
    if (!link.routerOpen && !link.sidecarOpen) {
      this.#links = this.#links.filter((other) => other !== link);
    }
  }

  #restart(sidecar: SidecarNode): void {
    const links = this.#links.filter((link) => link.sidecar === sidecar);
    sidecar.incarnation++;
    sidecar.calls.clear();
    sidecar.undecided.clear();
    sidecar.version = 0;
    sidecar.state = this.#createSidecar(
      sidecar.id,
      sidecar.incarnation,
      sidecar.incarnation,
    );
    this.#startSidecar(sidecar);
    links.forEach((link) => this.#reset(link));
  }

  #startSidecar(sidecar: SidecarNode): void {
    this.#applyToSidecar(sidecar, this.#highestVersion);
    this.#reach(sidecar, {
      type: "peers_changed",
      peers: this.#sidecars.map(({ id }) => ({
        endpointId: id,
        address: "127.0.0.1:1",
      })),
    });
    for (const peer of this.#sidecars) {
      this.#reach(sidecar, {
        type: "connected",
        connectionId: peer.id,
        hello: {
          type: "hello",
          protocolVersion: 1,
          role: "sidecar",
          nodeId: peer.id,
          incarnation: peer.incarnation,
          failureDomain: "a",
          configVersion: 0,
          nonce: new Uint8Array(),
        },
      });
    }
  }

  #createSidecar(id: string, incarnation: number, seed: number): SidecarState {
    return createSidecarState({
      endpointId: id,
      incarnation,
      address: "127.0.0.1:1",
      pool: "p",
      seed,
      streamBufferBytes: STREAM_BUFFER_BYTES,
      firstCome: false,
    }, this.#nowMs);
  }

  /** Lets each endpoint and the store advance by one step. */
  #work(): void {
    for (const sidecar of this.#sidecars) {
      for (const [attemptId, submit] of [...sidecar.undecided]) {
        sidecar.undecided.delete(attemptId);
        this.#reach(sidecar, {
          type: "execution_decided",
          attemptId,
          decision: this.#decide(attemptId, submit),
        });
      }
      for (const call of [...sidecar.calls.values()]) {
        this.#advanceCall(sidecar, call);
      }
    }
    this.#runPending();
  }

  #decide(attemptId: string, submit: Submit): ExecutionDecision {
    const refuse = (
      reason: "store_unavailable" | "duplicate_running" | "duplicate_finished",
      answer?: StoredAnswer,
    ): ExecutionDecision => ({
      type: "refuse",
      reason,
      outcome: reason === "store_unavailable" ? "not-run" : "unknown",
      retryAfterMs: 1000,
      answer,
    });
    if (!this.#storeUp) {
      return refuse("store_unavailable");
    }
    const key = submit.idempotencyKey ?? "";
    const record = this.#records.get(key);
    if (!record) {
      const fingerprint = submit.fingerprint ?? "";
      this.#records.set(key, { attemptId, fingerprint, answer: undefined });
      return { type: "start" };
    }
    return record.answer
      ? refuse("duplicate_finished", record.answer)
      : refuse("duplicate_running");
  }

  #advanceCall(sidecar: SidecarNode, call: RunningCall): void {
    const { attemptId, chunks, submit } = call;
    if (call.paused) {
      return;
    }
    const index = call.next++;
    if (index === 0) {
      this.#reach(sidecar, {
        type: "call_head",
        attemptId,
        status: 200,
        headers: submit.kind === "chat"
          ? { "content-type": "text/event-stream" }
          : {},
      });
    } else if (index <= chunks.length) {
      this.#reach(sidecar, {
        type: "call_data",
        attemptId,
        data: chunks[index - 1],
        outputTokens: submit.kind === "chat" ? 1 : 0,
      });
    } else {
      sidecar.calls.delete(attemptId);
      this.#reach(sidecar, { type: "call_ended", attemptId });
    }
  }

  #breakCall(sidecar: SidecarNode): void {
    const [call] = sidecar.calls.values();
    if (call) {
      sidecar.calls.delete(call.attemptId);
      this.#reach(sidecar, {
        type: "call_failed",
        attemptId: call.attemptId,
        mayHaveRun: true,
        reason: "engine reset the connection",
      });
    }
  }

  #startCall(sidecar: SidecarNode, attemptId: string, submit: Submit): void {
    if (!sidecar.engineAccepts) {
      this.#pending.push(() =>
        this.#reach(sidecar, {
          type: "call_failed",
          attemptId,
          mayHaveRun: false,
          reason: "connection refused",
        })
      );
      return;
    }
    this.#countExecution(submit);
    const texts = answerTexts(
      JSON.parse(new TextDecoder().decode(submit.body)) as AnswerSpec,
    );
    const given = submit.resumeText ?? "";
    if (!texts.join("").startsWith(given)) {
      this.#violate(`${attemptId} continues foreign text ${given}`);
    }
    const done = texts.findIndex((_, i) =>
      texts.slice(0, i).join("") === given
    );
    const rest = done === -1 ? [] : texts.slice(done);
    sidecar.calls.set(attemptId, {
      attemptId,
      submit,
      chunks: rest.map((text) =>
        new TextEncoder().encode(submit.kind === "chat" ? sseEvent(text) : text)
      ),
      next: 0,
      paused: false,
    });
  }

  #countExecution({ requestId, idempotencyKey }: Submit): void {
    const count = (this.executions.get(requestId) ?? 0) + 1;
    this.executions.set(requestId, count);
    if (this.#notRun.has(requestId)) {
      this.#violate(`${requestId} ran after it was answered not-run`);
    }
    const { kind } = this.results.get(requestId)!;
    if (kind !== "chat" && count > 1) {
      this.#violate(`${requestId} of kind ${kind} ran ${count} times`);
    }
    if (idempotencyKey !== undefined) {
      const uses = (this.#keyExecutions.get(idempotencyKey) ?? 0) + 1;
      this.#keyExecutions.set(idempotencyKey, uses);
      if (uses > 1) {
        this.#violate(`key ${idempotencyKey} ran ${uses} times`);
      }
    }
  }

  #offerConfig(node: number, version: number): void {
    this.#highestVersion = Math.max(this.#highestVersion, version);
    const nodes = this.#routers.length + this.#sidecars.length;
    const index = node % nodes;
    if (index < this.#routers.length) {
      this.#applyToRouter(this.#routers[index], version);
    } else {
      this.#applyToSidecar(
        this.#sidecars[index - this.#routers.length],
        version,
      );
    }
  }

  #applyToRouter(router: RouterNode, version: number): void {
    this.#route(router, { type: "config_applied", version, bundle: BUNDLE });
    const held = router.state.config?.version ?? 0;
    if (held < router.version) {
      this.#violate(`${router.id} fell from ${router.version} to ${held}`);
    }
    router.version = held;
  }

  #applyToSidecar(sidecar: SidecarNode, version: number): void {
    this.#reach(sidecar, {
      type: "config_applied",
      version,
      pool: BUNDLE.pools[0],
    });
    const held = sidecar.state.configVersion;
    if (held < sidecar.version) {
      this.#violate(`${sidecar.id} fell from ${sidecar.version} to ${held}`);
    }
    sidecar.version = held;
  }

  #leaveCaller(call: number): void {
    const open = [...this.results.values()].filter(({ finals, callerLeft }) =>
      finals.length === 0 && !callerLeft
    );
    if (open.length > 0) {
      const result = at(open, call);
      result.callerLeft = true;
      this.#route(this.#routers[result.router], {
        type: "caller_gone",
        requestId: result.requestId,
      });
    }
  }

  #route(router: RouterNode, event: WithoutTime<RouterEvent>): void {
    const full = { ...event, nowMs: this.#nowMs } as RouterEvent;
    for (const effect of reduceRouter(router.state, full)) {
      this.#runRouterEffect(router, effect);
    }
  }

  #runRouterEffect(router: RouterNode, effect: RouterEffect): void {
    switch (effect.type) {
      case "send":
        this.#sendToSidecar(router, effect.endpointId, effect.message);
        break;
      case "close_connection": {
        const link = this.#openLink(router, effect.endpointId);
        if (link) {
          link.routerOpen = false;
          this.#dropLink(link);
        }
        break;
      }
      case "respond_head":
        this.#resultOf(effect.requestId).replayed =
          effect.headers["idempotent-replayed"] === "true";
        break;
      case "respond_data":
        this.#resultOf(effect.requestId).received += textOf(effect.data);
        break;
      case "respond_end":
        this.#finish(effect.requestId, "whole");
        break;
      case "respond_abort":
        this.#finish(effect.requestId, "aborted");
        break;
      case "respond_error":
        this.#finish(
          effect.requestId,
          `${effect.error.code} ${effect.error.outcome}`,
        );
        if (effect.error.outcome === "not-run") {
          this.#noteNotRun(effect.requestId);
        }
        break;
      case "config_hint": {
        const { version } = effect;
        this.#pending.push(() => this.#applyToRouter(router, version));
        break;
      }
    }
  }

  #sendToSidecar(router: RouterNode, id: string, message: Message): void {
    const sidecar = this.#sidecars.find((node) => node.id === id)!;
    if (
      message.type === "submit" &&
      router.drained.has(`${id}/${sidecar.incarnation}`)
    ) {
      this.#violate(`${router.id} sent new work to ${id}, which drains`);
    }
    let link = this.#openLink(router, id);
    if (!link) {
      link = {
        connectionId: `c${this.#nextConnection++}`,
        router,
        sidecar,
        incarnation: sidecar.incarnation,
        ready: false,
        routerOpen: true,
        sidecarOpen: false,
        unsent: [],
        frames: { to_sidecar: [], to_router: [] },
        silent: { to_sidecar: false, to_router: false },
      };
      this.#links.push(link);
    }
    (link.ready ? link.frames.to_sidecar : link.unsent).push(message);
  }

  #reach(sidecar: SidecarNode, event: WithoutTime<SidecarEvent>): void {
    const full = { ...event, nowMs: this.#nowMs } as SidecarEvent;
    for (const effect of reduceSidecar(sidecar.state, full)) {
      this.#runSidecarEffect(sidecar, effect);
    }
  }

  #runSidecarEffect(sidecar: SidecarNode, effect: SidecarEffect): void {
    switch (effect.type) {
      case "send":
        this.#sendOver(sidecar, effect.connectionId, effect.message);
        break;
      case "send_peer":
        this.#sendToPeer(sidecar, effect.peer.endpointId, effect.message);
        break;
      case "close_connection": {
        const link = this.#linkOf(effect.connectionId);
        if (link) {
          link.sidecarOpen = false;
          this.#dropLink(link);
        }
        break;
      }
      case "create_record":
        sidecar.undecided.set(effect.attemptId, effect.submit);
        break;
      case "finish_record": {
        const record = [...this.#records.values()].find(({ attemptId }) =>
          attemptId === effect.attemptId
        );
        if (record && this.#storeUp) {
          record.answer = effect.answer;
        }
        break;
      }
      case "start_call":
        this.#startCall(sidecar, effect.attemptId, effect.submit);
        break;
      case "abort_call":
        sidecar.calls.delete(effect.attemptId);
        break;
      case "pause_call": {
        const call = sidecar.calls.get(effect.attemptId);
        if (call) {
          call.paused = effect.paused;
        }
        break;
      }
      case "config_hint": {
        const { version } = effect;
        const { incarnation } = sidecar;
        this.#pending.push(() => {
          if (sidecar.incarnation === incarnation) {
            this.#applyToSidecar(sidecar, version);
          }
        });
        break;
      }
    }
  }

  #sendOver(
    sidecar: SidecarNode,
    connectionId: string,
    message: Message,
  ): void {
    if (this.#sidecars.some(({ id }) => id === connectionId)) {
      this.#sendToPeer(sidecar, connectionId, message);
      return;
    }
    const link = this.#linkOf(connectionId);
    if (link?.sidecarOpen) {
      link.frames.to_router.push(message);
    }
  }

  #sendToPeer(from: SidecarNode, id: string, message: Message): void {
    this.#pending.push(() =>
      this.#reach(this.#sidecars.find((node) => node.id === id)!, {
        type: "message",
        connectionId: from.id,
        message,
      })
    );
  }

  #runPending(): void {
    for (let next = this.#pending.shift(); next; next = this.#pending.shift()) {
      next();
    }
  }

  #finish(requestId: string, final: string): void {
    const result = this.#resultOf(requestId);
    result.finals.push(final);
    if (result.finals.length > 1) {
      this.#violate(`${requestId} was answered twice: ${result.finals}`);
    }
    if (final === "whole" && result.received !== result.expected) {
      this.#violate(
        `${requestId} received "${result.received}", not "${result.expected}"`,
      );
    }
    if (!result.expected.startsWith(result.received)) {
      this.#violate(`${requestId} received foreign data "${result.received}"`);
    }
  }

  #noteNotRun(requestId: string): void {
    this.#notRun.add(requestId);
    if (this.executions.has(requestId)) {
      this.#violate(`${requestId} was answered not-run, but it ran`);
    }
  }

  /** Whether nothing is left that could still cause an event. */
  #isQuiet(): boolean {
    return this.#routers.every(({ state }) => state.requests.size === 0) &&
      this.#sidecars.every(({ state }) => state.attempts.size === 0) &&
      this.#links.every(({ frames, ready, silent }) =>
        ready && (silent.to_sidecar || frames.to_sidecar.length === 0)
      );
  }

  #checkEnd(): void {
    for (const { callerLeft, finals, requestId } of this.results.values()) {
      if (finals.length === 0 && !callerLeft) {
        this.#violate(`${requestId} was never answered`);
      }
    }
    for (const { id, state } of this.#routers) {
      const open = state.requests.size + state.requestsByAttempt.size +
        state.requestsByProbe.size;
      const concurrent = [...state.usage.values()].reduce(
        (sum, usage) => sum + usage.concurrent,
        0,
      );
      if (open !== 0 || concurrent !== 0) {
        this.#violate(`${id} keeps ${open} entries, ${concurrent} concurrent`);
      }
    }
    for (const { id, state } of this.#sidecars) {
      const load = loadTokensOf(state);
      if (load !== 0 || state.attempts.size + state.running.size !== 0) {
        this.#violate(
          `${id} keeps ${state.attempts.size} attempts, ` +
            `${state.running.size} slots, ${load} tokens`,
        );
      }
    }
  }

  #rows(): InstanceRow[] {
    const row = (instanceId: string, role: InstanceRow["role"]) => ({
      instanceId,
      role,
      pool: role === "endpoint" ? "p" : "",
      address: "127.0.0.1:1",
      failureDomain: "a",
      state: "live" as const,
    });
    return [
      ...["r1", "r2"].map((id) => row(id, "router")),
      ...this.#sidecars.map(({ id }) => row(id, "endpoint")),
    ];
  }

  #openLink(router: RouterNode, endpointId: string): Link | undefined {
    return this.#links.find((link) =>
      link.routerOpen && link.router === router &&
      link.sidecar.id === endpointId
    );
  }

  #linkOf(connectionId: string): Link | undefined {
    return this.#links.find((link) => link.connectionId === connectionId);
  }

  #withLink(index: number, run: (link: Link) => void): void {
    if (this.#links.length > 0) {
      run(at(this.#links, index));
    }
  }

  #resultOf(requestId: string): CallResult {
    return this.results.get(requestId)!;
  }

  #violate(text: string): void {
    this.violations.push(text);
  }
}

function at<T>(items: readonly T[], index: number): T {
  return items[index % items.length];
}

interface AnswerSpec {
  readonly name: string;
  readonly chunks: number;
  readonly wide: boolean;
}

function answerTexts({ chunks, name, wide }: AnswerSpec): string[] {
  const padding = wide ? ".".repeat(WIDE_CHUNK_BYTES) : "";
  return Array.from({ length: chunks }, (_, i) => `${name}:${i};${padding}`);
}

function sseEvent(text: string): string {
  const event = { choices: [{ delta: { content: text } }] };
  return `data: ${JSON.stringify(event)}\n\n`;
}

/** Text of a chunk, whether it is a server-sent event or plain. */
function textOf(data: Uint8Array): string {
  const text = new TextDecoder().decode(data);
  const PREFIX = "data: ";
  if (!text.startsWith(PREFIX)) {
    return text;
  }
  const event = JSON.parse(text.slice(PREFIX.length)) as {
    choices: { delta: { content: string } }[];
  };
  return event.choices[0].delta.content;
}

const BUNDLE: Bundle = BundleSchema.parse({
  accounts: [{
    name: ACCOUNT,
    key_hashes: [KEY_HASH],
    max_requests_per_s: 1000,
    burst_requests: 1000,
    default_deadline_ms: DEADLINE_MS,
  }],
  pools: [{
    name: "p",
    kind: "model",
    models: [MODEL],
    max_concurrent_requests: 2,
    max_queued_requests: 3,
    load_floor_tokens: 400,
    max_output_tokens: 50,
  }],
  services: [{ name: SERVICE, pool: "p" }],
});
