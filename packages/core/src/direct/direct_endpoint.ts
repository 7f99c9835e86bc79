import type { Millis } from "../clock.js";
import { ColdPeriod } from "../cold/cold_period.js";
import { COLD_SAVED_FRACTION } from "../cold/cold_rule.js";
import { HeldCopies } from "../copies/held_copies.js";
import { EndpointPace, EndpointWork } from "../cost/index.js";
import { EndpointBackoff } from "./endpoint_backoff.js";
import { FailureRate } from "./failure_rate.js";
import { PrefillBacklog } from "./prefill_backlog.js";
import { RequestLimit } from "./request_limit.js";
import type { EndpointRecord } from "./routing_config.js";

/** How long an endpoint is avoided after it is first suspected. */
const FIRST_SUSPICION_MS: Millis = 500;
/** Maximum time for which a repeatedly suspected endpoint is avoided. */
const MAX_SUSPICION_MS: Millis = 8000;

/**
 * Time for which the directory may list an endpoint that crashed. Its entry is
 * removed after three intervals of silence.
 */
const CRASHED_ENTRY_MS: Millis = 5000;

/** A process that starts has written its entry within this time. */
export const ENTRY_DELAY_MS: Millis = 1500;

/** Load reports of endpoints and peers that are older than this are ignored. */
const REPORT_MAX_AGE_MS: Millis = 1500;

/**
 * Numbers of requests at an endpoint and its pace, as the endpoint reports them
 * in its answers.
 */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  /**
   * How long work currently takes, as a multiple of the usual time; undefined if
   * the endpoint reports no possible value.
   */
  readonly paceFactor?: number | undefined;
}

interface TimedLoad {
  readonly requests: number;
  readonly reportedAtMs: Millis;
}

/** What this router knows about the load and the failures of one endpoint. */
export class DirectEndpoint {
  record: EndpointRecord;
  /** Number of this router's attempts in progress at the endpoint. */
  localInFlight = 0;
  /**
   * Set if the directory stopped listing the endpoint while the directory was
   * unreliable. The endpoint may then still exist. Until this time the endpoint
   * is used only when no other is left; after it, the endpoint is removed.
   */
  lapsedUntilMs: Millis | undefined;
  readonly failureRate = new FailureRate();
  /** Shared prompt parts that all routers sent there and it has not cached yet. */
  readonly prefillBacklog = new PrefillBacklog();
  /** How long work takes at the endpoint, as it reports. */
  readonly pace = new EndpointPace();
  /** Work that this router's attempts have left there. */
  readonly work = new EndpointWork();
  /** Copies of this router's requests that run at other endpoints. */
  readonly copies = new HeldCopies();
  /** Limit of its requests that the endpoint names in its answers. */
  readonly limit = new RequestLimit();
  /** When the endpoint is cold, and handles few requests. */
  readonly cold = new ColdPeriod();
  /** Limit of its requests while it is cold and while it gets warm. */
  readonly coldLimit = new RequestLimit(COLD_SAVED_FRACTION);
  /** Whether the last limit that it named is no possible value. */
  hasInvalidLimit = false;
  /** Time for which it wants no requests of this router. */
  readonly backoff = new EndpointBackoff();
  /** Whether it named a backoff that is no possible value. */
  hasInvalidBackoff = false;
  /**
   * Whether an answer said that the endpoint is draining. The directory may show
   * that later, show it and then an older state again, or never. A process that
   * leaves does not come back.
   */
  announcesDrain = false;
  #suspicionCount = 0;
  #suspectedUntilMs: Millis = 0;
  #crashedUntilMs: Millis = Number.NEGATIVE_INFINITY;
  /** When this router last found that the process had ended. */
  #endedMs: Millis = Number.NEGATIVE_INFINITY;
  /** When it last closed the only connection of this router that was left. */
  #connectionsLostMs: Millis = Number.NEGATIVE_INFINITY;
  /** Since when this router has had a connection to it; undefined if it has none. */
  #connectedSinceMs: Millis | undefined;
  /**
   * Requests of other routers, according to the endpoint's newest load report.
   */
  #reportedOtherLoad: TimedLoad | undefined;
  readonly #peerLoads = new Map<string, TimedLoad>();

  constructor(record: EndpointRecord) {
    this.record = record;
  }

  get id(): string {
    return this.record.id;
  }

  /** Whether the endpoint takes new work, by the directory and its answers. */
  get isReady(): boolean {
    return this.record.state === "ready" && !this.announcesDrain;
  }

  /** Whether the endpoint has ever reported its pace. */
  get isPaceReported(): boolean {
    return this.pace.isReported;
  }

  /**
   * Marks the endpoint as suspected for a period that doubles each time up to a
   * limit. Has no effect if the endpoint is already suspected. A success ends
   * the suspicion and resets the period.
   *
   * @returns The length of the period; undefined if there was no effect.
   */
  markSuspected(nowMs: Millis): Millis | undefined {
    if (nowMs < this.#suspectedUntilMs) {
      return undefined;
    }
    const delayMs = Math.min(
      MAX_SUSPICION_MS,
      FIRST_SUSPICION_MS * 2 ** this.#suspicionCount,
    );
    this.#suspicionCount++;
    this.#suspectedUntilMs = nowMs + delayMs;
    return delayMs;
  }

  /**
   * Marks the endpoint as crashed, so that it is avoided until the directory no
   * longer lists this process. A process that starts in its place has an
   * endpoint object of its own.
   *
   * @returns The time for which it is avoided; undefined if it was so already.
   */
  markCrashed(crashedMs: Millis): Millis | undefined {
    const untilMs = crashedMs + CRASHED_ENTRY_MS;
    const isNews = this.#crashedUntilMs < crashedMs;
    this.#crashedUntilMs = Math.max(this.#crashedUntilMs, untilMs);
    this.#suspectedUntilMs = Math.max(this.#suspectedUntilMs, untilMs);
    return isNews ? CRASHED_ENTRY_MS : undefined;
  }

  /** Records that nothing listens on the endpoint's port. */
  recordPortClosed(nowMs: Millis): void {
    this.#endedMs = nowMs;
  }

  /** Records that an answer has arrived, so that a connection is open. */
  recordConnected(nowMs: Millis): void {
    this.#connectedSinceMs ??= nowMs;
  }

  /** Records that this router has no connection to the endpoint any more. */
  recordDisconnected(nowMs: Millis, isClosedByEndpoint: boolean): void {
    this.#connectedSinceMs = undefined;
    if (isClosedByEndpoint) {
      this.#connectionsLostMs = nowMs;
    }
  }

  /**
   * Whether the process of the entry has ended, so that another one may serve in
   * its place, whose entry is not known yet.
   *
   * @param confirmedMs When the directory last confirmed the entry.
   */
  isReplaced(confirmedMs: Millis): boolean {
    return confirmedMs < this.#endedMs + ENTRY_DELAY_MS;
  }

  /**
   * Whether the endpoint has since closed all connections of this router, as it
   * does when its process ends.
   */
  hasClosedConnectionsSince(confirmedMs: Millis): boolean {
    return this.#connectionsLostMs > confirmedMs;
  }

  /**
   * Takes over the backoff that this process asked for before its entry was known,
   * while the entry was that of the process before it. What was answered after that
   * one had closed all connections, or its port, is of this process.
   */
  takeOverBackoff(former: DirectEndpoint, nowMs: Millis): void {
    const lostMs = Math.max(former.#connectionsLostMs, former.#endedMs);
    if (lostMs !== Number.NEGATIVE_INFINITY) {
      this.backoff.takeOver(
        former.backoff,
        Math.max(lostMs, nowMs - ENTRY_DELAY_MS),
      );
    }
  }

  /** Whether a connection shows that the process of the entry still serves. */
  isConnectedToProcess(confirmedMs: Millis): boolean {
    return this.#connectedSinceMs !== undefined &&
      this.#connectedSinceMs + ENTRY_DELAY_MS <= confirmedMs;
  }

  /** Whether the endpoint's process is known to have ended. */
  isGone(nowMs: Millis): boolean {
    return nowMs < this.#crashedUntilMs;
  }

  isSuspected(nowMs: Millis): boolean {
    return nowMs < this.#suspectedUntilMs;
  }

  /** Time at which the latest suspicion ends or ended; 0 if there was none. */
  suspectedUntilMs(): Millis {
    return this.#suspectedUntilMs;
  }

  recordSuccess(nowMs: Millis): void {
    this.failureRate.record(nowMs, false);
    this.#suspicionCount = 0;
    this.#suspectedUntilMs = 0;
    this.#crashedUntilMs = Number.NEGATIVE_INFINITY;
  }

  /** Records the load and the pace that the endpoint reported in an answer. */
  recordReportedLoad(nowMs: Millis, report: ReportedLoad): void {
    const requests = report.running + report.waiting - this.localInFlight;
    this.#reportedOtherLoad = {
      requests: Math.max(0, requests),
      reportedAtMs: nowMs,
    };
    if (report.paceFactor !== undefined) {
      this.pace.observe(nowMs, report.paceFactor);
    }
  }

  /**
   * Records how many requests in flight at the endpoint another router
   * reported.
   */
  recordPeerLoad(nowMs: Millis, peerId: string, requests: number): void {
    if (requests === 0) {
      this.#peerLoads.delete(peerId);
      return;
    }
    this.#peerLoads.set(peerId, { requests, reportedAtMs: nowMs });
  }

  /**
   * Number of requests running or waiting at the endpoint: those of this
   * router, plus an estimate of those of the other routers. The estimate is the
   * larger of two numbers: the sum of the peers' reports, and what the endpoint
   * itself reported.
   */
  load(nowMs: Millis): number {
    let requestsOfOthers = 0;
    for (const [peerId, load] of this.#peerLoads) {
      if (nowMs - load.reportedAtMs > REPORT_MAX_AGE_MS) {
        this.#peerLoads.delete(peerId);
        continue;
      }
      requestsOfOthers += load.requests;
    }
    const report = this.#reportedOtherLoad;
    if (report && nowMs - report.reportedAtMs <= REPORT_MAX_AGE_MS) {
      requestsOfOthers = Math.max(requestsOfOthers, report.requests);
    }
    return this.localInFlight + requestsOfOthers;
  }

  /** Age of the endpoint's newest load report; undefined if it sent none. */
  reportAgeMs(nowMs: Millis): Millis | undefined {
    return this.#reportedOtherLoad &&
      nowMs - this.#reportedOtherLoad.reportedAtMs;
  }
}
