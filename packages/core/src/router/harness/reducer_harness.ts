import { reduceSidecar } from "../../sidecar/index.js";
import type { SidecarEffect, SidecarEvent } from "../../sidecar/index.js";
import type { Message } from "../../wire/index.js";
import { reduceRouter } from "../reduce_router.js";
import type {
  CallerRequest,
  RouterEffect,
  RouterEvent,
} from "../router_event.js";
import { answerTexts, chunkTextOf } from "./harness_answer.js";
import { API_KEY_HASH, BUNDLE, MODEL, SERVICE } from "./harness_bundle.js";
import { type CallResult, HarnessInvariants } from "./harness_invariants.js";
import {
  createRouterNode,
  createSidecarNode,
  instanceRows,
  restartSidecarNode,
  type RouterNode,
  type SidecarNode,
} from "./harness_nodes.js";
import { elementAt } from "./element_at.js";
import { HarnessEngines } from "./harness_engines.js";
import { HarnessExecutionRecords } from "./harness_execution_records.js";
import { HarnessNetwork } from "./harness_network.js";
import type { Step, WithoutTime } from "./harness_step.js";

/** Interval of ticks; hosts tick every 25 to 50 ms. */
const TICK_MS = 50;

/**
 * Maximum number of ticks in `settle`. In total they last longer than every
 * time limit of the reducers except the caller's deadline.
 */
const SETTLE_TICKS = 800;

/**
 * Runs two routers and three sidecars, connected by queues of frames in memory,
 * and checks the invariants at every step.
 */
export class ReducerHarness {
  readonly #invariants = new HarnessInvariants();
  readonly #executionRecords = new HarnessExecutionRecords();
  readonly #engines = new HarnessEngines({
    invariants: this.#invariants,
    dispatchToSidecar: (sidecar, event) =>
      this.#dispatchToSidecar(sidecar, event),
    defer: (run) => this.#deferredActions.push(run),
  });
  readonly #network = new HarnessNetwork({
    invariants: this.#invariants,
    nowMs: () => this.#nowMs,
    dispatchToRouter: (router, event) => this.#dispatchToRouter(router, event),
    dispatchToSidecar: (sidecar, event) =>
      this.#dispatchToSidecar(sidecar, event),
    runDeferred: () => this.#runDeferredActions(),
  });
  readonly #routers: RouterNode[];
  readonly #sidecars: SidecarNode[];
  /**
   * Functions to run after the current event, so that reducers are not called
   * recursively.
   */
  #deferredActions: (() => void)[] = [];
  #nowMs = 1_000_000;
  #highestConfigVersion = 1;

  /** Results of the calls by request id. */
  get results(): ReadonlyMap<string, CallResult> {
    return this.#invariants.results;
  }

  get violations(): readonly string[] {
    return this.#invariants.violations;
  }

  /** Number of executions of a request at endpoints, by request id. */
  get executions(): ReadonlyMap<string, number> {
    return this.#invariants.executions;
  }

  constructor(seed: number) {
    this.#sidecars = ["e1", "e2", "e3"].map((id, i) =>
      createSidecarNode(id, seed + i, this.#nowMs)
    );
    this.#routers = ["r1", "r2"].map((id, i) =>
      createRouterNode(id, seed + 10 + i)
    );
    for (const sidecar of this.#sidecars) {
      this.#startSidecar(sidecar);
    }
    for (const router of this.#routers) {
      this.#dispatchToRouter(router, {
        type: "membership",
        event: {
          type: "list_received",
          nowMs: this.#nowMs,
          listVersion: 1,
          instances: instanceRows(this.#routers, this.#sidecars),
        },
      });
      this.#applyConfigToRouter(router, 1);
    }
    // Sidecars do not enforce the load bound in the first 2 s after they joined
    // the pool. 50 ticks take 2.5 s.
    this.#wait(50);
  }

  run(steps: readonly Step[]): void {
    for (const step of steps) {
      this.#runStep(step);
    }
  }

  /**
   * Makes the execution record store and the endpoints available, runs until no
   * request is left, and checks that each call was answered.
   */
  settle(): void {
    this.#executionRecords.available = true;
    for (const sidecar of this.#sidecars) {
      sidecar.engineAcceptsCalls = true;
    }
    for (let i = 0; i < SETTLE_TICKS && !this.#isSettled(); i++) {
      this.#tick();
      this.#network.deliverAll();
      this.#advanceEndpointsAndStore();
    }
    this.#invariants.checkSettledState(this.#routers, this.#sidecars);
  }

  #runStep(step: Step): void {
    switch (step.type) {
      case "call":
        this.#startCall(step);
        break;
      case "work":
        for (let i = 0; i < step.rounds; i++) {
          this.#network.deliverAll();
          this.#advanceEndpointsAndStore();
        }
        break;
      case "endpoints":
        for (let i = 0; i < step.rounds; i++) {
          this.#advanceEndpointsAndStore();
        }
        break;
      case "deliver":
        this.#network.withLink(step.link, (link) => {
          for (let i = 0; i < step.frames; i++) {
            this.#network.deliverNext(link, step.direction);
          }
        });
        break;
      case "duplicate":
        this.#network.withLink(
          step.link,
          (link) => this.#network.duplicateFrame(link, step),
        );
        break;
      case "reset":
        this.#network.withLink(
          step.link,
          (link) => this.#network.reset(link),
        );
        break;
      case "stall":
        this.#network.withLink(
          step.link,
          (link) => this.#network.stall(link, step.direction),
        );
        break;
      case "wait":
        this.#wait(step.ticks);
        break;
      case "restart":
        this.#restartSidecar(elementAt(this.#sidecars, step.sidecar));
        break;
      case "drain":
        this.#dispatchToSidecar(elementAt(this.#sidecars, step.sidecar), {
          type: "drain_requested",
          exitWhenDrained: false,
        });
        break;
      case "drain_router":
        this.#dispatchToRouter(elementAt(this.#routers, step.router), {
          type: "drain_requested",
        });
        break;
      case "config":
        this.#applyConfigToNode(step.node, step.version);
        break;
      case "store":
        this.#executionRecords.available = step.available;
        break;
      case "engine":
        elementAt(this.#sidecars, step.sidecar).engineAcceptsCalls =
          step.accepts;
        break;
      case "fail_call":
        this.#engines.failOldestCall(elementAt(this.#sidecars, step.sidecar));
        break;
      case "disconnect_caller":
        this.#disconnectCaller(step.call);
        break;
    }
  }

  #startCall(step: Extract<Step, { type: "call" }>): void {
    const { key, kind, router, large } = step;
    // Calls with the same key are retries of one call and have the same answer.
    const chunks = kind === "keyed" ? key + 1 : step.chunks;
    const requestId = `q${this.#invariants.results.size}`;
    const idempotencyKey = kind === "keyed" ? `k${key}` : undefined;
    const routerIndex = router % this.#routers.length;
    const name = idempotencyKey ?? requestId;
    const answerSpec = { name, chunks, large: large && kind !== "keyed" };
    this.#invariants.results.set(requestId, {
      requestId,
      kind,
      idempotencyKey,
      expectedText: answerTexts(answerSpec).join(""),
      routerIndex,
      receivedText: "",
      outcomes: [],
      callerDisconnected: false,
      replayed: false,
    });
    const isChat = kind === "chat";
    const request: CallerRequest = {
      requestId,
      kind: isChat ? "chat" : "service",
      keyHash: API_KEY_HASH,
      method: "POST",
      path: "/",
      headers: {},
      body: new TextEncoder().encode(JSON.stringify(answerSpec)),
      target: isChat ? MODEL : SERVICE,
      stream: isChat,
      chatId: `chat${key}`,
      affinityKey: `chat${key}`,
      blockHashes: [BigInt(key + 1)],
      promptTokens: 100 * (key + 1),
      idempotent: isChat,
      idempotencyKey,
      fingerprint: name,
    };
    this.#dispatchToRouter(this.#routers[routerIndex], {
      type: "request_received",
      request,
    });
  }

  #wait(ticks: number): void {
    for (let i = 0; i < ticks; i++) {
      this.#tick();
    }
  }

  #tick(): void {
    this.#nowMs += TICK_MS;
    for (const sidecar of this.#sidecars) {
      this.#dispatchToSidecar(sidecar, {
        type: "endpoint_health",
        healthy: sidecar.state.configVersion > 0,
      });
      this.#dispatchToSidecar(sidecar, { type: "tick" });
    }
    for (const router of this.#routers) {
      this.#dispatchToRouter(router, { type: "tick" });
    }
    this.#runDeferredActions();
  }

  #restartSidecar(sidecar: SidecarNode): void {
    restartSidecarNode(sidecar, this.#nowMs);
    this.#startSidecar(sidecar);
    this.#network.resetLinksOf(sidecar);
  }

  #startSidecar(sidecar: SidecarNode): void {
    this.#applyConfigToSidecar(sidecar, this.#highestConfigVersion);
    this.#dispatchToSidecar(sidecar, {
      type: "peers_changed",
      peers: this.#sidecars.map(({ id }) => ({
        endpointId: id,
        address: "127.0.0.1:1",
      })),
    });
    for (const peer of this.#sidecars) {
      this.#dispatchToSidecar(sidecar, {
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

  /**
   * Lets the execution record store decide all pending calls, and each endpoint
   * send the next part of the answer to each running call.
   */
  #advanceEndpointsAndStore(): void {
    for (const sidecar of this.#sidecars) {
      for (const [attemptId, submit] of [...sidecar.pendingDecisions]) {
        sidecar.pendingDecisions.delete(attemptId);
        this.#dispatchToSidecar(sidecar, {
          type: "execution_decided",
          attemptId,
          decision: this.#executionRecords.decideExecution(attemptId, submit),
        });
      }
      for (const call of [...sidecar.runningCalls.values()]) {
        this.#engines.sendNextPart(sidecar, call);
      }
    }
    this.#runDeferredActions();
  }

  /**
   * Applies a configuration version to a node; routers are numbered before
   * sidecars.
   */
  #applyConfigToNode(node: number, version: number): void {
    this.#highestConfigVersion = Math.max(this.#highestConfigVersion, version);
    const nodeCount = this.#routers.length + this.#sidecars.length;
    const nodeIndex = node % nodeCount;
    if (nodeIndex < this.#routers.length) {
      this.#applyConfigToRouter(this.#routers[nodeIndex], version);
    } else {
      this.#applyConfigToSidecar(
        this.#sidecars[nodeIndex - this.#routers.length],
        version,
      );
    }
  }

  #applyConfigToRouter(router: RouterNode, version: number): void {
    this.#dispatchToRouter(router, {
      type: "config_applied",
      configVersion: version,
      bundle: BUNDLE,
    });
    const appliedVersion = router.state.config?.version ?? 0;
    if (appliedVersion < router.configVersion) {
      this.#invariants.recordViolation(
        `${router.id} went back from version ${router.configVersion} to ${appliedVersion}`,
      );
    }
    router.configVersion = appliedVersion;
  }

  #applyConfigToSidecar(sidecar: SidecarNode, version: number): void {
    this.#dispatchToSidecar(sidecar, {
      type: "config_applied",
      configVersion: version,
      pool: BUNDLE.pools[0],
    });
    const appliedVersion = sidecar.state.configVersion;
    if (appliedVersion < sidecar.configVersion) {
      this.#invariants.recordViolation(
        `${sidecar.id} went back from version ${sidecar.configVersion} to ${appliedVersion}`,
      );
    }
    sidecar.configVersion = appliedVersion;
  }

  #disconnectCaller(call: number): void {
    const unfinishedCalls = [...this.#invariants.results.values()].filter((
      { outcomes, callerDisconnected },
    ) => outcomes.length === 0 && !callerDisconnected);
    if (unfinishedCalls.length > 0) {
      const result = elementAt(unfinishedCalls, call);
      result.callerDisconnected = true;
      this.#dispatchToRouter(this.#routers[result.routerIndex], {
        type: "caller_gone",
        requestId: result.requestId,
      });
    }
  }

  #dispatchToRouter(router: RouterNode, event: WithoutTime<RouterEvent>): void {
    const timedEvent = { ...event, nowMs: this.#nowMs } as RouterEvent;
    for (const effect of reduceRouter(router.state, timedEvent)) {
      this.#runRouterEffect(router, effect);
    }
  }

  #runRouterEffect(router: RouterNode, effect: RouterEffect): void {
    switch (effect.type) {
      case "send":
        this.#network.sendToSidecar(
          router,
          this.#sidecars.find(({ id }) => id === effect.endpointId)!,
          effect.message,
        );
        break;
      case "close_connection":
        this.#network.closeRouterEnd(router, effect.endpointId);
        break;
      case "respond_head":
        this.#invariants.resultOf(effect.requestId).replayed =
          effect.headers["idempotent-replayed"] === "true";
        break;
      case "respond_data":
        this.#invariants.resultOf(effect.requestId).receivedText += chunkTextOf(
          effect.data,
        );
        break;
      case "respond_end":
        this.#invariants.recordOutcome(effect.requestId, "whole");
        break;
      case "respond_abort":
        this.#invariants.recordOutcome(effect.requestId, "aborted");
        break;
      case "respond_error":
        this.#invariants.recordOutcome(
          effect.requestId,
          `${effect.error.code} ${effect.error.outcome}`,
        );
        if (effect.error.outcome === "not-run") {
          this.#invariants.recordNotRun(effect.requestId);
        }
        break;
      case "config_hint": {
        const { configVersion } = effect;
        this.#deferredActions.push(() =>
          this.#applyConfigToRouter(router, configVersion)
        );
        break;
      }
    }
  }

  #dispatchToSidecar(
    sidecar: SidecarNode,
    event: WithoutTime<SidecarEvent>,
  ): void {
    const timedEvent = { ...event, nowMs: this.#nowMs } as SidecarEvent;
    for (const effect of reduceSidecar(sidecar.state, timedEvent)) {
      this.#runSidecarEffect(sidecar, effect);
    }
  }

  #runSidecarEffect(sidecar: SidecarNode, effect: SidecarEffect): void {
    switch (effect.type) {
      case "send":
        this.#sendOnConnection(sidecar, effect.connectionId, effect.message);
        break;
      case "send_peer":
        this.#sendToPeer(sidecar, effect.peer.endpointId, effect.message);
        break;
      case "close_connection":
        this.#network.closeSidecarEnd(effect.connectionId);
        break;
      case "create_record":
        sidecar.pendingDecisions.set(effect.attemptId, effect.submit);
        break;
      case "finish_record":
        this.#executionRecords.storeAnswer(effect.attemptId, effect.answer);
        break;
      case "start_call":
        this.#engines.startCall(sidecar, effect.attemptId, effect.submit);
        break;
      case "abort_call":
        sidecar.runningCalls.delete(effect.attemptId);
        break;
      case "pause_call": {
        const call = sidecar.runningCalls.get(effect.attemptId);
        if (call) {
          call.paused = effect.paused;
        }
        break;
      }
      case "config_hint": {
        const { configVersion } = effect;
        const { incarnation } = sidecar;
        this.#deferredActions.push(() => {
          if (sidecar.incarnation === incarnation) {
            this.#applyConfigToSidecar(sidecar, configVersion);
          }
        });
        break;
      }
    }
  }

  #sendOnConnection(
    sidecar: SidecarNode,
    connectionId: string,
    message: Message,
  ): void {
    if (this.#sidecars.some(({ id }) => id === connectionId)) {
      this.#sendToPeer(sidecar, connectionId, message);
      return;
    }
    this.#network.sendToRouter(connectionId, message);
  }

  #sendToPeer(from: SidecarNode, id: string, message: Message): void {
    this.#deferredActions.push(() =>
      this.#dispatchToSidecar(this.#sidecars.find((node) => node.id === id)!, {
        type: "message",
        connectionId: from.id,
        message,
      })
    );
  }

  #runDeferredActions(): void {
    for (
      let nextAction = this.#deferredActions.shift();
      nextAction;
      nextAction = this.#deferredActions.shift()
    ) {
      nextAction();
    }
  }

  /**
   * Whether no request or attempt is in progress, each connection is
   * established, and no frame that a sidecar can receive is in transit.
   */
  #isSettled(): boolean {
    return this.#routers.every(({ state }) => state.requests.size === 0) &&
      this.#sidecars.every(({ state }) => state.attempts.size === 0) &&
      this.#network.isSettled;
  }
}
