import { createHash, randomUUID } from "node:crypto";
import {
  type CallRefusal,
  type Clock,
  executionRecordKey,
  type KeyedCallEffect,
  type KeyedCallEvent,
  type KeyedCallSnapshot,
  type KeyedCallStep,
  type Millis,
  type ObjectStore,
  type Outcome,
  RECORD_RETENTION_MS,
  startKeyedCall,
  stepKeyedCall,
  StoreConflictError,
  type StoredAnswer,
  StoreUnknownOutcomeError,
} from "@anvildeal/core";
import { LocalExecutionRecordExpiry } from "./local_execution_record_expiry.js";
import { ExecutionRecordRemover } from "./execution_record_remover.js";
import { TimerSet } from "./timer_set.js";

/** An attempt with an idempotency key that the sidecar wants to run. */
export interface KeyedCallRequest {
  readonly attemptId: string;
  readonly account: string;
  readonly idempotencyKey: string;
  /** SHA-256 of method, path and body. */
  readonly fingerprint: string;
  /** Monotonic time after which the call must not be started. */
  readonly startByMs: Millis;
}

/**
 * Receives the result of a claim: exactly one of the methods is called, once,
 * for each attempt.
 */
export interface KeyedCallListener {
  /** The key is claimed; the call must be started at once. */
  startCall(): void;
  /** The attempt was not run and will not be run later. */
  refuseCall(refusal: CallRefusal): void;
}

/**
 * Receives the sidecar's reports on an attempt. Reports that arrive after the
 * attempt has ended have no effect.
 */
export interface KeyedCallHandle {
  /** Cancels the attempt; has no effect once the call was started. */
  cancel(): void;
  /** The call has ended; its answer is stored for retries with the same key. */
  finished(answer: StoredAnswer): void;
  /** The call has ended without an answer. */
  failed(outcome: Outcome): void;
}

export interface ExecutionHostOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly endpointId: string;
  /**
   * Called with the key of an execution record when its removal is dropped
   * because too many removals are pending.
   */
  readonly onRemovalDropped?: (key: string) => void;
}

type WithoutTime<E> = E extends unknown ? Omit<E, "nowMs" | "wallMs"> : never;

/** An event without the times, which the host adds. */
type UntimedCallEvent = WithoutTime<KeyedCallEvent>;

/**
 * Claims idempotency keys in an object store so that a call with a key runs at
 * most once. Executes the effects of the state machine for such calls
 * (`stepKeyedCall`).
 */
export class ExecutionHost {
  readonly #store: ObjectStore;
  readonly #clock: Clock;
  readonly #endpointId: string;
  readonly #timers = new TimerSet();
  readonly #remover: ExecutionRecordRemover;
  readonly #localRecords: LocalExecutionRecordExpiry;
  #disposed = false;

  constructor(options: ExecutionHostOptions) {
    const { clock, endpointId, onRemovalDropped, store } = options;
    this.#store = store;
    this.#clock = clock;
    this.#endpointId = endpointId;
    this.#remover = new ExecutionRecordRemover({
      store,
      clock,
      ...(onRemovalDropped === undefined ? {} : { onRemovalDropped }),
    });
    this.#localRecords = new LocalExecutionRecordExpiry({ store, clock });
  }

  /**
   * Number of execution records of refused attempts that are not removed yet.
   */
  get pendingRemovals(): number {
    return this.#remover.pending;
  }

  /** Claims the key of an attempt; the result is reported to the listener. */
  begin(
    request: KeyedCallRequest,
    listener: KeyedCallListener,
  ): KeyedCallHandle {
    const wallMs = this.#clock.wallMs();
    const { account, attemptId, fingerprint, idempotencyKey } = request;
    const step = startKeyedCall({
      key: executionRecordKey(account, idempotencyKey, sha256Hex),
      record: {
        state: "started",
        attemptId,
        claimId: randomUUID(),
        fingerprint,
        endpointId: this.#endpointId,
        startedAtMs: wallMs,
        expiresAtMs: wallMs + RECORD_RETENTION_MS,
      },
      startByMs: request.startByMs,
    });
    let snapshot: KeyedCallSnapshot;
    const apply = (next: KeyedCallStep) => {
      snapshot = next.snapshot;
      for (const effect of next.effects) {
        void this.#runEffect(effect, listener, report);
      }
    };
    const report = (event: UntimedCallEvent) => {
      if (this.#disposed) {
        return;
      }
      apply(stepKeyedCall(snapshot, {
        ...event,
        nowMs: this.#clock.nowMs(),
        wallMs: this.#clock.wallMs(),
      }));
    };
    apply(step);
    return {
      cancel: () => report({ type: "cancel" }),
      finished: (answer) => report({ type: "call_finished", answer }),
      failed: (outcome) => report({ type: "call_failed", outcome }),
    };
  }

  /**
   * Stops all work; execution records of attempts in progress are left
   * unchanged.
   */
  dispose(): void {
    this.#disposed = true;
    this.#timers.dispose();
    this.#remover.dispose();
    this.#localRecords.dispose();
  }

  async #runEffect(
    effect: KeyedCallEffect,
    listener: KeyedCallListener,
    report: (event: UntimedCallEvent) => void,
  ): Promise<void> {
    switch (effect.type) {
      case "create_record":
        return report(await this.#create(effect));
      case "read_record":
        return report(await this.#read(effect.key));
      case "update_record":
        return report(await this.#update(effect));
      case "remove_record":
        return this.#remover.add(effect);
      case "start_call":
        return listener.startCall();
      case "refuse_call": {
        const { type: _type, ...refusal } = effect;
        return listener.refuseCall(refusal);
      }
      case "start_timer":
        return this.#timers.after(
          effect.delayMs,
          () => report({ type: "timer_fired" }),
        );
    }
  }

  async #create(
    effect: Extract<KeyedCallEffect, { type: "create_record" }>,
  ): Promise<UntimedCallEvent> {
    try {
      const version = await this.#store.create(effect.key, effect.record);
      return { type: "created", version };
    } catch (error) {
      if (error instanceof StoreConflictError) {
        return { type: "create_conflicted", current: error.current };
      }
      return error instanceof StoreUnknownOutcomeError
        ? { type: "create_unknown" }
        : { type: "create_unavailable" };
    }
  }

  async #read(key: string): Promise<UntimedCallEvent> {
    try {
      return { type: "record_read", current: await this.#store.get(key) };
    } catch {
      return { type: "read_unavailable" };
    }
  }

  async #update(
    effect: Extract<KeyedCallEffect, { type: "update_record" }>,
  ): Promise<UntimedCallEvent> {
    const { ifVersion, key, record } = effect;
    try {
      const version = await this.#store.update(key, record, ifVersion);
      this.#localRecords.add({ key, version, expiresAtMs: record.expiresAtMs });
      return { type: "updated" };
    } catch (error) {
      if (error instanceof StoreConflictError) {
        return { type: "update_conflicted" };
      }
      return error instanceof StoreUnknownOutcomeError
        ? { type: "update_unknown" }
        : { type: "update_unavailable" };
    }
  }
}

function sha256Hex(content: string): string {
  return createHash("sha256").update(content).digest("hex");
}
