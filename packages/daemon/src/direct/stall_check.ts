import type {
  AttemptStall,
  Clock,
  DirectEvent,
  EndpointStall,
  Millis,
} from "@anvildeal/core";
import type { Disposable } from "../net/index.js";
import type { EndpointAttempt } from "./endpoint_attempt.js";

/** Interval of the check for stalled endpoints and answers. */
const CHECK_INTERVAL_MS: Millis = 100;

/** A check is skipped if the previous one was more than this many intervals ago. */
const MAX_CHECK_INTERVALS = 2;

/**
 * Endpoints and answers that have sent nothing for less than this are not
 * reported as stalled.
 */
const MIN_REPORTED_SILENT_MS: Millis = 200;

export interface StallCheckOptions {
  readonly clock: Clock;
  /** The attempts in progress. */
  readonly attempts: () => Iterable<EndpointAttempt>;
  readonly push: (event: DirectEvent) => void;
}

/** Finds endpoints and answers in progress that have sent nothing for some time. */
export class StallCheck implements Disposable {
  readonly #options: StallCheckOptions;
  #timer: NodeJS.Timeout | undefined;
  #lastCheckMs: Millis = 0;

  constructor(options: StallCheckOptions) {
    this.#options = options;
  }

  start(): void {
    this.#timer = setInterval(() => this.#check(), CHECK_INTERVAL_MS);
  }

  dispose(): void {
    clearInterval(this.#timer);
  }

  #check(): void {
    const nowMs = this.#options.clock.nowMs();
    const sinceLastMs = nowMs - this.#lastCheckMs;
    this.#lastCheckMs = nowMs;
    if (sinceLastMs > CHECK_INTERVAL_MS * MAX_CHECK_INTERVALS) {
      // This process was paused, so received bytes may not have been read yet.
      return;
    }
    const running = [...this.#options.attempts()];
    const busy = groupByEndpoint(running);
    const endpoints = [...busy].map(([endpointId, attempts]) =>
      endpointStallOf(endpointId, attempts, nowMs)
    ).filter(isReported);
    const attempts = running.filter(({ awaitsBodyBytes }) => awaitsBodyBytes)
      .map((attempt) => attemptStallOf(attempt, nowMs))
      .filter(isReported);
    if (attempts.length + endpoints.length > 0) {
      this.#options.push({
        type: "stalls_observed",
        nowMs,
        busyEndpoints: busy.size,
        endpoints,
        attempts,
      });
    }
  }
}

function groupByEndpoint(
  attempts: readonly EndpointAttempt[],
): Map<string, EndpointAttempt[]> {
  const groups = new Map<string, EndpointAttempt[]>();
  for (const attempt of attempts) {
    const { endpointId } = attempt.effect;
    const group = groups.get(endpointId);
    if (group) {
      group.push(attempt);
    } else {
      groups.set(endpointId, [attempt]);
    }
  }
  return groups;
}

function endpointStallOf(
  endpointId: string,
  attempts: readonly EndpointAttempt[],
  nowMs: Millis,
): EndpointStall {
  const lastMs = attempts.reduce(
    (latestMs, { lastReceivedMs }) => Math.max(latestMs, lastReceivedMs),
    Number.NEGATIVE_INFINITY,
  );
  return {
    endpointId,
    silentMs: nowMs - lastMs,
    onReusedConnections: attempts.every(({ isOnReusedConnection }) =>
      isOnReusedConnection
    ),
  };
}

function attemptStallOf(
  { canResume, effect: { attemptNumber, key }, lastReceivedMs }:
    EndpointAttempt,
  nowMs: Millis,
): AttemptStall {
  return { key, attemptNumber, silentMs: nowMs - lastReceivedMs, canResume };
}

function isReported({ silentMs }: { readonly silentMs: Millis }): boolean {
  return silentMs >= MIN_REPORTED_SILENT_MS;
}
