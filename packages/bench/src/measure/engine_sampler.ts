import { BLOCK_TOKENS, type PrefixHasher } from "@anvildeal/core";
import { callJson } from "../fleet/json_client.js";
import type { EndpointNode } from "../fleet/nodes.js";
import type { CacheOracle } from "../load/load_runner.js";
import type { PlannedRequest } from "../load/planned_request.js";
import { percentile } from "../percentile.js";
import { readSidecarStatus } from "./node_status.js";
import { round } from "../report/load_summary.js";

const SAMPLE_PERIOD_MS = 100;
/** Number of samples in one moving average. These samples span one second. */
const SAMPLES_PER_AVERAGE = 10;
const HASH_HEX_DIGITS = 16;

interface DebugState {
  readonly cached_hashes: readonly string[];
}

export interface SkewSummary {
  /**
   * Ratio of the highest to the mean load of the engines in one sample: 99th
   * percentile over all samples.
   */
  readonly max_over_mean_load_p99: number;
  /**
   * Ratio of the highest to the mean load of the engines in one sample: median
   * over all samples.
   */
  readonly max_over_mean_load_p50: number;
  /**
   * Like `max_over_mean_load_p99`, but the load of each engine is first
   * averaged over one second, so that a single large prompt has less weight.
   */
  readonly max_over_mean_load_1s_p99: number;
  readonly mean_outstanding_tokens: number;
  readonly max_outstanding_tokens: number;
  readonly load_samples: number;
}

/**
 * Samples all engines periodically. The cache contents come from the debug
 * state of each engine (`/debug/state`). The loads come from `/status` of the
 * sidecars: the outstanding tokens, including those of queued requests.
 * `cachedTokens` uses the latest sample, which is usually up to one sampling
 * period old.
 */
export class EngineSampler implements CacheOracle {
  readonly #timer: NodeJS.Timeout;
  readonly #cachedHashesByEngineId = new Map<string, ReadonlySet<string>>();
  readonly #loadSamples: number[][] = [];
  #isSampling = false;
  #isRecording = false;

  constructor(
    private readonly engines: () => readonly EndpointNode[],
    private readonly hasher: PrefixHasher,
  ) {
    this.#timer = setInterval(() => void this.#sample(), SAMPLE_PERIOD_MS);
  }

  /** The load is recorded only while this is true. */
  set isRecording(isRecording: boolean) {
    this.#isRecording = isRecording;
  }

  cachedTokens(plan: PlannedRequest): number {
    if (plan.kind !== "chat" || plan.turn === 0) {
      return 0;
    }
    const hashes = this.hasher.blockHashes(plan.messages).map((hash) =>
      hash.toString(16).padStart(HASH_HEX_DIGITS, "0")
    );
    let longestBlockCount = 0;
    for (const cache of this.#cachedHashesByEngineId.values()) {
      const firstMissingIndex = hashes.findIndex((hash) => !cache.has(hash));
      longestBlockCount = Math.max(
        longestBlockCount,
        firstMissingIndex === -1 ? hashes.length : firstMissingIndex,
      );
    }
    return longestBlockCount * BLOCK_TOKENS;
  }

  summarize(): SkewSummary {
    const averagedLoads = movingAverages(this.#loadSamples);
    const ratios = this.#loadSamples.flatMap(maxOverMean);
    const allLoads = this.#loadSamples.flat();
    return {
      max_over_mean_load_p99: round(percentile(ratios, 99), 3),
      max_over_mean_load_p50: round(percentile(ratios, 50), 3),
      max_over_mean_load_1s_p99: round(
        percentile(averagedLoads.flatMap(maxOverMean), 99),
        3,
      ),
      mean_outstanding_tokens: round(
        allLoads.reduce((total, load) => total + load, 0) /
          Math.max(1, allLoads.length),
      ),
      max_outstanding_tokens: allLoads.reduce((a, b) => Math.max(a, b), 0),
      load_samples: this.#loadSamples.length,
    };
  }

  dispose(): void {
    clearInterval(this.#timer);
  }

  async #sample(): Promise<void> {
    if (this.#isSampling) {
      return;
    }
    this.#isSampling = true;
    const engines = this.engines();
    const [states, statuses] = await Promise.all([
      Promise.all(engines.map(readDebugState)),
      Promise.all(engines.map(readSidecarStatus)),
    ]);
    this.#cachedHashesByEngineId.clear();
    for (const [index, state] of states.entries()) {
      if (state !== undefined) {
        this.#cachedHashesByEngineId.set(
          engines[index]!.id,
          new Set(state.cached_hashes),
        );
      }
    }
    const loads = statuses.flatMap((status) =>
      status?.state === "active" ? [status.load_tokens] : []
    );
    if (this.#isRecording && loads.length > 0) {
      this.#loadSamples.push(loads);
    }
    this.#isSampling = false;
  }
}

/**
 * Returns the ratio of the highest to the mean load as the only item, or no
 * item when all loads are zero.
 */
export function maxOverMean(loads: readonly number[]): number[] {
  const mean = loads.reduce((total, load) => total + load, 0) / loads.length;
  return mean > 0 ? [Math.max(...loads) / mean] : [];
}

/**
 * Averages the load of each engine over every window of SAMPLES_PER_AVERAGE
 * samples. Skips the windows in which the number of engines changes.
 */
function movingAverages(samples: readonly number[][]): number[][] {
  const averages: number[][] = [];
  for (let i = 0; i + SAMPLES_PER_AVERAGE <= samples.length; i++) {
    const window = samples.slice(i, i + SAMPLES_PER_AVERAGE);
    const engineCount = window[0]!.length;
    if (window.every((loads) => loads.length === engineCount)) {
      averages.push(
        window[0]!.map((_, engine) =>
          window.reduce((total, loads) => total + loads[engine]!, 0) /
          SAMPLES_PER_AVERAGE
        ),
      );
    }
  }
  return averages;
}

async function readDebugState(
  engine: EndpointNode,
): Promise<DebugState | undefined> {
  try {
    const answer = await callJson(`${engine.backend.controlUrl}/debug/state`);
    return answer.status === 200 ? answer.body as DebugState : undefined;
  } catch {
    return undefined;
  }
}
