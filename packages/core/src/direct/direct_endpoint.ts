import type { Millis } from "../clock.js";
import { FailureRate } from "./failure_rate.js";
import type { EndpointRecord } from "./routing_config.js";

/** First time for which an unreachable endpoint is avoided. */
const FIRST_SUSPICION_MS: Millis = 500;
const MAX_SUSPICION_MS: Millis = 8000;

/** A load that another process told is not used beyond this age. */
const REPORT_MAX_AGE_MS: Millis = 1500;

/** Requests that an endpoint holds, as its answers tell. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
}

interface TimedLoad {
  readonly requests: number;
  readonly atMs: Millis;
}

/** What this router knows about one endpoint. */
export class DirectEndpoint {
  record: EndpointRecord;
  /** Requests of this router that have not ended. */
  ownInFlight = 0;
  /**
   * The entry disappeared while the directory was disturbed and may come back;
   * the endpoint is used only where no other is left, up to this time.
   */
  lapsedUntilMs: Millis | undefined;
  readonly failures = new FailureRate();
  #suspicions = 0;
  #suspectedUntilMs: Millis = 0;
  #others: TimedLoad | undefined;
  readonly #peerLoads = new Map<string, TimedLoad>();

  constructor(record: EndpointRecord) {
    this.record = record;
  }

  get id(): string {
    return this.record.id;
  }

  /** Avoids the endpoint for a time that doubles with each failure. */
  suspect(nowMs: Millis): void {
    if (nowMs < this.#suspectedUntilMs) {
      return;
    }
    const delayMs = Math.min(
      MAX_SUSPICION_MS,
      FIRST_SUSPICION_MS * 2 ** this.#suspicions,
    );
    this.#suspicions++;
    this.#suspectedUntilMs = nowMs + delayMs;
  }

  isSuspected(nowMs: Millis): boolean {
    return nowMs < this.#suspectedUntilMs;
  }

  suspectedUntil(): Millis {
    return this.#suspectedUntilMs;
  }

  noteSuccess(nowMs: Millis): void {
    this.failures.note(nowMs, false);
    this.#suspicions = 0;
    this.#suspectedUntilMs = 0;
  }

  noteReport(nowMs: Millis, report: ReportedLoad): void {
    const requests = report.running + report.waiting - this.ownInFlight;
    this.#others = { requests: Math.max(0, requests), atMs: nowMs };
  }

  notePeerLoad(nowMs: Millis, peerId: string, requests: number): void {
    if (requests === 0) {
      this.#peerLoads.delete(peerId);
      return;
    }
    this.#peerLoads.set(peerId, { requests, atMs: nowMs });
  }

  /** Requests that the endpoint holds, those of other routers included. */
  load(nowMs: Millis): number {
    let others = 0;
    for (const [peerId, load] of this.#peerLoads) {
      if (nowMs - load.atMs > REPORT_MAX_AGE_MS) {
        this.#peerLoads.delete(peerId);
        continue;
      }
      others += load.requests;
    }
    const report = this.#others;
    if (report && nowMs - report.atMs <= REPORT_MAX_AGE_MS) {
      others = Math.max(others, report.requests);
    }
    return this.ownInFlight + others;
  }

  /** Age of the newest report of the endpoint itself, if there was one. */
  reportAgeMs(nowMs: Millis): Millis | undefined {
    return this.#others && nowMs - this.#others.atMs;
  }
}
