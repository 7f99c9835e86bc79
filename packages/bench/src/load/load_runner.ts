import type { LoadClient } from "./load_client.js";
import type { PlannedRequest } from "./planned_request.js";
import type { RequestResult } from "./request_result.js";

/**
 * Time to wait for outstanding answers after the last request was sent.
 * Limited, so that an overloaded arm does not have to work off its whole
 * backlog.
 */
const FINISH_TIMEOUT_MS = 6000;

/** Knows the cache contents of all engines. */
export interface CacheOracle {
  /**
   * Returns the number of tokens in the longest prompt prefix that any one
   * engine has cached.
   */
  cachedTokens(plan: PlannedRequest): number;
}

/**
 * Sends a plan open-loop: every request is sent at its due time, whether or not
 * earlier requests have been answered.
 */
export class LoadRunner {
  constructor(
    private readonly client: LoadClient,
    private readonly oracle?: CacheOracle,
  ) {}

  /** Returns one result for each request, in the order of the plan. */
  async run(plan: readonly PlannedRequest[]): Promise<RequestResult[]> {
    const startMs = performance.now();
    const results = new Map<PlannedRequest, RequestResult>();
    const pendingSends: Promise<void>[] = [];
    for (const request of plan) {
      await sleepUntil(startMs + request.atMs);
      pendingSends.push(
        this.#sendRequest(request, startMs + request.atMs).then((result) => {
          results.set(request, result);
        }),
      );
    }
    const timeoutAbort = new AbortController();
    await Promise.race([
      Promise.all(pendingSends),
      sleep(FINISH_TIMEOUT_MS, timeoutAbort.signal),
    ]);
    timeoutAbort.abort();
    return plan.map((request) =>
      results.get(request) ?? unfinishedResult(request, startMs)
    );
  }

  async #sendRequest(
    plan: PlannedRequest,
    dueMs: number,
  ): Promise<RequestResult> {
    const oracleTokens = this.oracle?.cachedTokens(plan) ?? 0;
    const result = await this.client.send(plan, dueMs);
    return { ...result, oracleTokens };
  }
}

function unfinishedResult(
  plan: PlannedRequest,
  startMs: number,
): RequestResult {
  return {
    plan,
    verdict: "unfinished",
    atMs: plan.atMs,
    totalMs: performance.now() - startMs - plan.atMs,
    gapsMs: [],
    promptTokens: 0,
    cachedTokens: 0,
    outputTokens: 0,
    oracleTokens: 0,
    reason: "end_of_run",
    routerIndex: -1,
  };
}

export async function sleepUntil(atMs: number): Promise<void> {
  const remainingMs = atMs - performance.now();
  if (remainingMs > 1) {
    await sleep(remainingMs);
  }
}

/** Resolves after `ms` or as soon as the signal aborts; never rejects. */
export function sleep(ms: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(resolve, ms);
    signal?.addEventListener("abort", () => {
      clearTimeout(timer);
      resolve();
    });
  });
}
