import { loadTokensOf } from "../../sidecar/index.js";
import type { SidecarState } from "../../sidecar/index.js";
import type { SubmitMessage } from "../../wire/index.js";
import type { RouterNode, SidecarNode } from "./harness_nodes.js";
import type { CallKind } from "./harness_step.js";

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
 * Promises that hold at every moment. What breaks one is noted when it is
 * seen.
 */
export class HarnessInvariants {
  readonly results = new Map<string, CallResult>();
  readonly violations: string[] = [];
  readonly executions = new Map<string, number>();
  readonly #keyExecutions = new Map<string, number>();
  readonly #notRun = new Set<string>();

  /** A sidecar takes calls within its bound and only while it is active. */
  checkAdmitted(
    { id, state }: SidecarNode,
    submit: SubmitMessage,
    mode: SidecarState["mode"],
    nowMs: number,
  ): void {
    if (mode !== "active") {
      this.violate(`${id} admitted ${submit.attemptId} while ${mode}`);
    }
    if (submit.configVersion < state.configVersion) {
      this.violate(`${id} admitted ${submit.attemptId} of an old version`);
    }
    const { freshLoadTokens, freshPeers, knownPeers } = state.table.summarize(
      nowMs,
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
      this.violate(`${id} carries ${loadTokens} tokens at a mean of ${mean}`);
    }
  }

  /** No call runs after a refusal, and none but chats runs twice. */
  countExecution({ requestId, idempotencyKey }: SubmitMessage): void {
    const count = (this.executions.get(requestId) ?? 0) + 1;
    this.executions.set(requestId, count);
    if (this.#notRun.has(requestId)) {
      this.violate(`${requestId} ran after it was answered not-run`);
    }
    const { kind } = this.results.get(requestId)!;
    if (kind !== "chat" && count > 1) {
      this.violate(`${requestId} of kind ${kind} ran ${count} times`);
    }
    if (idempotencyKey !== undefined) {
      const uses = (this.#keyExecutions.get(idempotencyKey) ?? 0) + 1;
      this.#keyExecutions.set(idempotencyKey, uses);
      if (uses > 1) {
        this.violate(`key ${idempotencyKey} ran ${uses} times`);
      }
    }
  }

  /** Each caller gets one answer, and only its own. */
  finish(requestId: string, final: string): void {
    const result = this.resultOf(requestId);
    result.finals.push(final);
    if (result.finals.length > 1) {
      this.violate(`${requestId} was answered twice: ${result.finals}`);
    }
    if (final === "whole" && result.received !== result.expected) {
      this.violate(
        `${requestId} received "${result.received}", not "${result.expected}"`,
      );
    }
    if (!result.expected.startsWith(result.received)) {
      this.violate(`${requestId} received foreign data "${result.received}"`);
    }
  }

  noteNotRun(requestId: string): void {
    this.#notRun.add(requestId);
    if (this.executions.has(requestId)) {
      this.violate(`${requestId} was answered not-run, but it ran`);
    }
  }

  /** In the end nothing is open, counted or held any more. */
  checkEnd(
    routers: readonly RouterNode[],
    sidecars: readonly SidecarNode[],
  ): void {
    for (const { callerLeft, finals, requestId } of this.results.values()) {
      if (finals.length === 0 && !callerLeft) {
        this.violate(`${requestId} was never answered`);
      }
    }
    for (const { id, state } of routers) {
      const open = state.requests.size + state.requestsByAttempt.size +
        state.requestsByProbe.size;
      const concurrent = [...state.usage.values()].reduce(
        (sum, usage) => sum + usage.concurrent,
        0,
      );
      if (open !== 0 || concurrent !== 0) {
        this.violate(`${id} keeps ${open} entries, ${concurrent} concurrent`);
      }
    }
    for (const { id, state } of sidecars) {
      const load = loadTokensOf(state);
      if (load !== 0 || state.attempts.size + state.running.size !== 0) {
        this.violate(
          `${id} keeps ${state.attempts.size} attempts, ` +
            `${state.running.size} slots, ${load} tokens`,
        );
      }
    }
  }

  resultOf(requestId: string): CallResult {
    return this.results.get(requestId)!;
  }

  violate(text: string): void {
    this.violations.push(text);
  }
}
