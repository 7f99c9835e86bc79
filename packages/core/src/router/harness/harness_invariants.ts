import { loadTokensOf } from "../../sidecar/index.js";
import type { SidecarState } from "../../sidecar/index.js";
import type { SubmitMessage } from "../../wire/index.js";
import type { RouterNode, SidecarNode } from "./harness_nodes.js";
import type { CallKind } from "./harness_step.js";

/** Result of one call as its caller sees it. */
export interface CallResult {
  readonly requestId: string;
  readonly kind: CallKind;
  /** Undefined unless the call is of kind "keyed". */
  readonly idempotencyKey: string | undefined;
  /** Text of the complete answer. */
  readonly expectedText: string;
  /** Index of the router that received the call. */
  readonly routerIndex: number;
  /** Text that the caller has received so far. */
  receivedText: string;
  /**
   * Outcomes reported to the caller: "whole", "aborted", or an error's code and
   * outcome. More than one violates an invariant.
   */
  outcomes: string[];
  callerDisconnected: boolean;
  /**
   * Whether the answer is the stored answer of an earlier call with the same
   * key.
   */
  replayed: boolean;
}

/** Checks invariants while the harness runs and collects their violations. */
export class HarnessInvariants {
  readonly results = new Map<string, CallResult>();
  readonly violations: string[] = [];
  /** Number of executions of a request at endpoints, by request id. */
  readonly executions = new Map<string, number>();
  readonly #executionsByKey = new Map<string, number>();
  readonly #requestIdsReportedNotRun = new Set<string>();

  /**
   * Checks that the sidecar was active when it admitted the attempt, that the
   * submit frame's configuration version was not older than the sidecar's, and
   * that the load is within the load bound where that bound is enforced.
   */
  checkAdmitted(
    { id, state }: SidecarNode,
    submit: SubmitMessage,
    endpointState: SidecarState["endpointState"],
    nowMs: number,
  ): void {
    if (endpointState !== "active") {
      this.recordViolation(
        `${id} admitted ${submit.attemptId} while ${endpointState}`,
      );
    }
    if (submit.configVersion < state.configVersion) {
      this.recordViolation(
        `${id} admitted ${submit.attemptId} with an old configuration version`,
      );
    }
    const { freshLoadTokens, freshPeers, knownPeers } = state.loadTable
      .summarize(
        nowMs,
      );
    const loadTokens = loadTokensOf(state);
    const meanLoadTokens = (freshLoadTokens + loadTokens) / (freshPeers + 1);
    const { load_bound_multiple: multiple, load_floor_tokens: floor } =
      state.pool;
    // The sidecar enforces the bound once at least half of its two peers have a
    // fresh load entry. A call that was admitted in the grace time after a join
    // may exceed the bound, so the load is not checked after such a call.
    const isBoundEnforced = knownPeers >= 2 && 2 * freshPeers >= knownPeers &&
      state.loadBound.counters.admitted.after_join === 0;
    if (
      isBoundEnforced && loadTokens > Math.max(multiple * meanLoadTokens, floor)
    ) {
      this.recordViolation(
        `${id} has a load of ${loadTokens} tokens at a pool mean of ${meanLoadTokens}`,
      );
    }
  }

  /**
   * Counts an execution. Checks that a call that was reported as not run never
   * runs, that no call other than a chat runs more than once, and that at most
   * one call runs for an idempotency key.
   */
  countExecution({ requestId, idempotencyKey }: SubmitMessage): void {
    const executionCount = (this.executions.get(requestId) ?? 0) + 1;
    this.executions.set(requestId, executionCount);
    if (this.#requestIdsReportedNotRun.has(requestId)) {
      this.recordViolation(`${requestId} ran after it was reported as not run`);
    }
    const { kind } = this.results.get(requestId)!;
    if (kind !== "chat" && executionCount > 1) {
      this.recordViolation(
        `${requestId} of kind ${kind} ran ${executionCount} times`,
      );
    }
    if (idempotencyKey !== undefined) {
      const executionsOfKey = (this.#executionsByKey.get(idempotencyKey) ?? 0) +
        1;
      this.#executionsByKey.set(idempotencyKey, executionsOfKey);
      if (executionsOfKey > 1) {
        this.recordViolation(
          `key ${idempotencyKey} ran ${executionsOfKey} times`,
        );
      }
    }
  }

  /**
   * Records the outcome of a call. Checks that the call has only one outcome,
   * that a complete answer has the expected text, and that an incomplete answer
   * is a prefix of that text.
   */
  recordOutcome(requestId: string, outcome: string): void {
    const result = this.resultOf(requestId);
    result.outcomes.push(outcome);
    if (result.outcomes.length > 1) {
      this.recordViolation(
        `${requestId} has more than one outcome: ${result.outcomes}`,
      );
    }
    if (outcome === "whole" && result.receivedText !== result.expectedText) {
      this.recordViolation(
        `${requestId} received "${result.receivedText}", not "${result.expectedText}"`,
      );
    }
    if (!result.expectedText.startsWith(result.receivedText)) {
      this.recordViolation(
        `${requestId} received mismatched data "${result.receivedText}"`,
      );
    }
  }

  /**
   * Records that the caller received an error with the outcome "not-run".
   * Checks that the call did not run.
   */
  recordNotRun(requestId: string): void {
    this.#requestIdsReportedNotRun.add(requestId);
    if (this.executions.has(requestId)) {
      this.recordViolation(`${requestId} was reported as not run, but it ran`);
    }
  }

  /**
   * Checks that each call was answered, unless its caller disconnected, and that
   * the nodes keep no state of requests or attempts.
   */
  checkSettledState(
    routers: readonly RouterNode[],
    sidecars: readonly SidecarNode[],
  ): void {
    for (
      const { callerDisconnected, outcomes, requestId } of this.results.values()
    ) {
      if (outcomes.length === 0 && !callerDisconnected) {
        this.recordViolation(`${requestId} was never answered`);
      }
    }
    for (const { id, state } of routers) {
      const remainingEntries = state.requests.size +
        state.requestsByAttempt.size +
        state.requestsByProbe.size;
      const concurrentRequests = [...state.accountUsage.values()].reduce(
        (sum, usage) => sum + usage.concurrentRequests,
        0,
      );
      if (remainingEntries !== 0 || concurrentRequests !== 0) {
        this.recordViolation(
          `${id} keeps ${remainingEntries} request entries and counts ${concurrentRequests} concurrent requests`,
        );
      }
    }
    for (const { id, state } of sidecars) {
      const loadTokens = loadTokensOf(state);
      if (
        loadTokens !== 0 ||
        state.attempts.size + state.runningAttemptIds.size !== 0
      ) {
        this.recordViolation(
          `${id} keeps ${state.attempts.size} attempts, ` +
            `${state.runningAttemptIds.size} slots, ${loadTokens} tokens`,
        );
      }
    }
  }

  resultOf(requestId: string): CallResult {
    return this.results.get(requestId)!;
  }

  recordViolation(text: string): void {
    this.violations.push(text);
  }
}
