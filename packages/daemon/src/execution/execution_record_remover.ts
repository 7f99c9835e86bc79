import {
  type Clock,
  type ObjectStore,
  type RecordRemovalEffect,
  type RecordRemovalEvent,
  type RecordRemovalInput,
  type RecordRemovalSnapshot,
  type RecordRemovalStep,
  startRecordRemoval,
  stepRecordRemoval,
  StoreConflictError,
  StoreUnknownOutcomeError,
} from "@anvildeal/core";
import { CallPacer } from "./call_pacer.js";
import { TimerSet } from "./timer_set.js";

export interface ExecutionRecordRemoverOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly onRemovalDropped?: (key: string) => void;
}

/**
 * When this many removals are pending, further records are left to the {@link
 * ExecutionRecordSweeper}.
 */
const MAX_PENDING_REMOVALS = 10_000;

/**
 * Rate limit of the store calls of one sidecar. After an outage of the store,
 * all sidecars may have pending removals; together they make at most 2,900
 * sidecars (the fleet size expected in two years) x 0.5 = 1,450 calls/s. The
 * store sustains 2,000 reads/s.
 */
const CALLS_PER_S = 0.5;
const BURST_CALLS = 20;

type RemovalResult = RecordRemovalEvent extends infer E
  ? E extends unknown ? Omit<E, "wallMs"> : never
  : never;

/** Removes the execution records of attempts that were refused. */
export class ExecutionRecordRemover {
  readonly #options: ExecutionRecordRemoverOptions;
  readonly #pacer: CallPacer;
  readonly #timers = new TimerSet();
  #pending = 0;
  #disposed = false;

  constructor(options: ExecutionRecordRemoverOptions) {
    this.#options = options;
    this.#pacer = new CallPacer(options.clock, CALLS_PER_S, BURST_CALLS);
  }

  /** Number of removals that have not finished. */
  get pending(): number {
    return this.#pending;
  }

  /** Starts a removal, or reports to `onRemovalDropped` that it is dropped. */
  add(input: RecordRemovalInput): void {
    if (this.#pending >= MAX_PENDING_REMOVALS) {
      this.#options.onRemovalDropped?.(input.key);
      return;
    }
    this.#pending++;
    let removalSnapshot: RecordRemovalSnapshot;
    const apply = (step: RecordRemovalStep) => {
      removalSnapshot = step.snapshot;
      if (step.done) {
        this.#pending--;
      }
      for (const effect of step.effects) {
        this.#runEffect(effect, report);
      }
    };
    const report = (result: RemovalResult) => {
      if (!this.#disposed) {
        const wallMs = this.#options.clock.wallMs();
        apply(stepRecordRemoval(removalSnapshot, { ...result, wallMs }));
      }
    };
    apply(startRecordRemoval(input));
  }

  dispose(): void {
    this.#disposed = true;
    this.#pacer.dispose();
    this.#timers.dispose();
  }

  #runEffect(
    effect: RecordRemovalEffect,
    report: (result: RemovalResult) => void,
  ): void {
    switch (effect.type) {
      case "read_record":
        this.#pacer.add(async () => report(await this.#read(effect.key)));
        break;
      case "delete_record":
        this.#pacer.add(async () =>
          report(await this.#delete(effect.key, effect.ifVersion))
        );
        break;
      case "start_timer":
        this.#timers.after(
          effect.delayMs,
          () => report({ type: "timer_fired" }),
        );
        break;
    }
  }

  async #read(key: string): Promise<RemovalResult> {
    try {
      const current = await this.#options.store.get(key);
      return { type: "record_read", current };
    } catch {
      return { type: "read_unavailable" };
    }
  }

  async #delete(key: string, ifVersion: number): Promise<RemovalResult> {
    try {
      await this.#options.store.delete(key, ifVersion);
      return { type: "deleted" };
    } catch (error) {
      if (error instanceof StoreConflictError) {
        return { type: "delete_conflicted" };
      }
      return error instanceof StoreUnknownOutcomeError
        ? { type: "delete_unknown" }
        : { type: "delete_unavailable" };
    }
  }
}
