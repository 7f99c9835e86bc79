import * as fc from "fast-check";
import { describe, expect, it } from "vitest";
import type { AnswerHead, DirectCall, DirectEffect } from "./direct_event.js";
import { createDirectState, type DirectState } from "./direct_state.js";
import { reduceDirect } from "./reduce_direct.js";
import type { EndpointRecord, RoutingConfig } from "./routing_config.js";

const NUM_RUNS = 400;
const SEED = 20_261;
const MAX_ATTEMPTS = 2;

/** How an endpoint responds to an attempt. */
type Answer =
  | "complete"
  | "error"
  | "not_run"
  | "misdirected"
  | "mismatched"
  | "reset"
  | "connect_failed"
  | "no_answer";

interface Step {
  readonly action:
    | "call"
    | "answer"
    | "end"
    | "connection_reset"
    | "caller_gone"
    | "attempt_timeout"
    | "config"
    | "endpoints";
  /**
   * Random number that selects the request, configuration or endpoints of a
   * step.
   */
  readonly pick: number;
  readonly route: "read" | "write" | "chat" | "resume";
  readonly answer: Answer;
  /** Time since the previous step. */
  readonly gapMs: number;
}

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
  action: fc.constantFrom(
    "call",
    "call",
    "answer",
    "answer",
    "answer",
    "end",
    "connection_reset",
    "caller_gone",
    "attempt_timeout",
    "config",
    "endpoints",
  ),
  pick: fc.nat(1000),
  route: fc.constantFrom("read", "write", "chat", "resume"),
  answer: fc.constantFrom(
    "complete",
    "complete",
    "error",
    "not_run",
    "misdirected",
    "mismatched",
    "reset",
    "connect_failed",
    "no_answer",
  ),
  gapMs: fc.nat(400),
});

function config(version: number): RoutingConfig {
  const route = (
    name: string,
    callKind: "idempotent" | "non_idempotent" | "stream",
    resumable = false,
  ) => ({
    name,
    host: "h",
    pathPrefix: `/${name}/`,
    callKind,
    targets: [{ service: "s", weight: 1 }],
    timeoutMs: 2000,
    priority: 1,
    // Non-idempotent calls get several attempts too. A retry of such a call is
    // then refused because the call is not idempotent, never because of this
    // limit.
    maxAttempts: MAX_ATTEMPTS,
    open: true,
    sticky: callKind === "stream",
    resumable,
  });
  return {
    version,
    routes: [
      route("read", "idempotent"),
      route("write", "non_idempotent"),
      route("chat", "stream"),
      route("resume", "stream", true),
    ],
    services: [{ name: "s" }],
    limits: {
      maxHeaderBytes: 1000,
      maxBodyBytes: 1000,
      headerTimeoutMs: 1000,
      idleTimeoutMs: 1000,
    },
  };
}

function endpoint(i: number, incarnation: number): EndpointRecord {
  return {
    id: `e${i}`,
    service: "s",
    address: `10.0.0.${i}:80`,
    failureDomain: i % 2 === 0 ? "a" : "b",
    state: incarnation % 3 === 2 ? "draining" : "ready",
    incarnation,
  };
}

function callTo(route: string, key: number): DirectCall {
  return {
    callId: `c${key}`,
    host: "h",
    path: `/${route}/x`,
    method: "POST",
    apiKey: undefined,
    deadlineMs: 3000,
    model: undefined,
    promptTokens: 0,
    outputTokens: 0,
    lastEventId: undefined,
    continuedCallId: undefined,
    promptParts: [{ id: `p${key % 3}`, tokens: 500 }, { id: "own", tokens: 9 }],
    headerBytes: 10,
    bodyBytes: 0,
    contentDigest: () => `digest of ${key}`,
  };
}

/** One request as the caller and the endpoints observe it. */
interface ObservedRequest {
  readonly route: Step["route"];
  attemptNumber: number;
  endpointId: string;
  /** Numbers of the attempts that ran or may have run. */
  possibleExecutions: Set<number>;
  relayed: boolean;
  outcomes: string[];
  removed: boolean;
}

class Model {
  readonly state: DirectState;
  readonly observed = new Map<number, ObservedRequest>();
  nowMs = 1000;
  configVersion = 1;
  #nextKey = 1;

  constructor() {
    this.state = createDirectState({
      nodeId: "n",
      failureDomain: "a",
      retryRatio: 0.2,
      retryExtra: 20,
      loadMultiple: 1.5,
      maxDirectoryAgeMs: 3000,
      stopGraceMs: 8000,
    });
    this.apply(reduceDirect(this.state, {
      type: "config_received",
      nowMs: 0,
      config: config(1),
      source: "test",
    }));
    this.#setEndpoints([1, 2, 3].map((i) => endpoint(i, 1)));
  }

  step({ action, answer, gapMs, pick, route }: Step): void {
    this.nowMs += gapMs;
    const active = [...this.observed].filter(([, { removed }]) => !removed);
    const [key, observed] = active[pick % Math.max(1, active.length)] ?? [];
    switch (action) {
      case "call":
        this.#call(route);
        break;
      case "config":
        this.#changeConfig(pick % 5);
        break;
      case "endpoints":
        this.#setEndpoints(
          [1, 2, 3, 4].filter((i) => pick & (1 << i))
            .map((i) => endpoint(i, 1 + pick % 5)),
        );
        break;
      default:
        if (key !== undefined && observed) {
          this.#stepRequest(action, key, observed, answer);
        }
    }
  }

  /** Advances the time past the deadline of every request. */
  finish(): void {
    this.nowMs += 10_000;
    for (const key of this.observed.keys()) {
      this.apply(reduceDirect(this.state, {
        type: "timer_fired",
        nowMs: this.nowMs,
        key,
        timer: "deadline",
      }));
    }
  }

  apply(effects: readonly DirectEffect[]): void {
    for (const effect of effects) {
      const observed = "key" in effect
        ? this.observed.get(effect.key)
        : undefined;
      if (!observed) {
        continue;
      }
      switch (effect.type) {
        case "start_attempt":
          this.#checkStart(observed, effect.attemptNumber);
          observed.attemptNumber = effect.attemptNumber;
          observed.endpointId = effect.endpointId;
          break;
        case "relay":
          observed.relayed = true;
          break;
        case "refuse":
          expect(observed.relayed).toBe(false);
          if (effect.refusal.outcome === "not-run") {
            expect([...observed.possibleExecutions]).toEqual([]);
          } else {
            expect([408, 421, 429, 503]).not.toContain(effect.refusal.status);
          }
          observed.outcomes.push("refuse");
          break;
        case "abort_answer":
          expect(observed.relayed).toBe(true);
          observed.outcomes.push("abort_answer");
          break;
        case "remove_request":
          expect(observed.removed).toBe(false);
          observed.removed = true;
          break;
      }
    }
  }

  #checkStart(observed: ObservedRequest, attemptNumber: number): void {
    expect(observed.removed).toBe(false);
    expect(attemptNumber).toBe(observed.attemptNumber + 1);
    const retryable = observed.route === "read" ||
      observed.route === "resume";
    expect(observed.possibleExecutions.size).toBeLessThan(
      retryable ? MAX_ATTEMPTS : 1,
    );
  }

  #call(route: Step["route"]): void {
    const key = this.#nextKey++;
    this.observed.set(key, {
      route,
      attemptNumber: 0,
      endpointId: "",
      possibleExecutions: new Set(),
      relayed: false,
      outcomes: [],
      removed: false,
    });
    this.apply(reduceDirect(this.state, {
      type: "call_received",
      nowMs: this.nowMs,
      key,
      call: callTo(route, key),
    }));
  }

  #stepRequest(
    action: Step["action"],
    key: number,
    observed: ObservedRequest,
    answer: Answer,
  ): void {
    const eventFields = {
      nowMs: this.nowMs,
      key,
      attemptNumber: observed.attemptNumber,
    };
    if (action === "caller_gone") {
      observed.outcomes.push("caller_gone");
      this.apply(
        reduceDirect(this.state, { type: "caller_gone", ...eventFields }),
      );
      return;
    }
    if (observed.attemptNumber === 0) {
      return;
    }
    switch (action) {
      case "answer":
        this.#answer(observed, eventFields, answer);
        break;
      case "end":
        if (observed.relayed) {
          observed.outcomes.push("end");
          this.apply(
            reduceDirect(this.state, { type: "attempt_ended", ...eventFields }),
          );
        }
        break;
      case "connection_reset":
        observed.possibleExecutions.add(observed.attemptNumber);
        this.apply(reduceDirect(this.state, {
          type: "attempt_failed",
          ...eventFields,
          failure: { kind: "reset", sent: true },
          canResume: observed.route === "resume",
        }));
        break;
      case "attempt_timeout":
        if (observed.route === "read" || observed.route === "resume") {
          observed.possibleExecutions.add(observed.attemptNumber);
          this.apply(reduceDirect(this.state, {
            type: "timer_fired",
            ...eventFields,
            timer: "attempt",
          }));
        }
        break;
    }
  }

  #answer(
    observed: ObservedRequest,
    eventFields: { nowMs: number; key: number; attemptNumber: number },
    answer: Answer,
  ): void {
    if (answer === "no_answer" || observed.relayed) {
      return;
    }
    if (answer === "reset" || answer === "connect_failed") {
      const sent = answer === "reset";
      if (sent) {
        observed.possibleExecutions.add(observed.attemptNumber);
      }
      this.apply(reduceDirect(this.state, {
        type: "attempt_failed",
        ...eventFields,
        failure: { kind: sent ? "reset" : "connect", sent },
        canResume: true,
      }));
      return;
    }
    if (answer !== "not_run" && answer !== "misdirected") {
      observed.possibleExecutions.add(observed.attemptNumber);
    }
    this.apply(reduceDirect(this.state, {
      type: "attempt_head",
      ...eventFields,
      head: headOf(answer, eventFields.key),
    }));
  }

  #changeConfig(offset: number): void {
    const before = this.state.configIndex!.version;
    const version = Math.max(1, before + offset - 2);
    this.apply(reduceDirect(this.state, {
      type: "config_received",
      nowMs: this.nowMs,
      config: config(version),
      source: "test",
    }));
    expect(this.state.configIndex!.version).toBe(Math.max(before, version));
  }

  #setEndpoints(upserts: readonly EndpointRecord[]): void {
    this.apply(reduceDirect(this.state, {
      type: "endpoints_changed",
      nowMs: this.nowMs,
      change: { upserts, removedIds: [], isSnapshot: true },
      source: "test",
    }));
  }
}

function headOf(
  answer: "complete" | "error" | "not_run" | "misdirected" | "mismatched",
  key: number,
): AnswerHead {
  return {
    status: { complete: 200, error: 500, not_run: 503, misdirected: 421 }[
      answer as "complete"
    ] ?? 200,
    contentType: "text/event-stream",
    callId: answer === "mismatched" ? "another" : `c${key}`,
    signed: answer === "complete" || answer === "error",
    notRun: answer === "not_run",
    misdirected: answer === "misdirected",
    load: undefined,
  };
}

describe("reduceDirect", () => {
  it("ends each request once and never runs it too often, in any order", () => {
    fc.assert(
      fc.property(fc.array(stepArbitrary, { maxLength: 150 }), (steps) => {
        const model = new Model();
        for (const step of steps) {
          model.step(step);
        }
        model.finish();
        for (const observed of model.observed.values()) {
          expect(observed.removed).toBe(true);
          expect(observed.outcomes.length).toBe(1);
        }
        expect(model.state.requests.size).toBe(0);
        expect(model.state.deferredCalls.size).toBe(0);
        for (const endpointState of model.state.directory.all()) {
          expect(endpointState.localInFlight).toBe(0);
        }
      }),
      { seed: SEED, numRuns: NUM_RUNS },
    );
  });
});
