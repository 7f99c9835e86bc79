import { BLOCK_TOKENS, type PrefixHasher } from "@anvildeal/core";
import { callJson } from "../fleet/json_client.js";
import type { EndpointNode } from "../fleet/nodes.js";
import type { CacheOracle } from "../load/load_runner.js";
import type { PlannedRequest } from "../load/planned_request.js";
import { percentile } from "../percentile.js";
import { readSidecarStatus } from "./node_status.js";
import { round } from "../report/load_summary.js";

const SAMPLE_PERIOD_MS = 100;
/** Samples of this many periods make one averaged skew figure. */
const AVERAGED_SAMPLES = 10;
const HASH_HEX_DIGITS = 16;

interface DebugState {
  readonly cached_hashes: readonly string[];
}

export interface SkewSummary {
  /** Over samples of one moment each. */
  readonly max_over_mean_load_p99: number;
  readonly max_over_mean_load_p50: number;
  /** Over averages of one second, which exclude single large prompts. */
  readonly max_over_mean_load_1s_p99: number;
  readonly mean_outstanding_tokens: number;
  readonly max_outstanding_tokens: number;
  readonly load_samples: number;
}

/**
 * Samples the cache content of all engines from their `GET /debug/state` and
 * the outstanding tokens, queued ones included, from their sidecars' `/status`.
 * As an oracle it is at most one period old.
 */
export class EngineSampler implements CacheOracle {
  readonly #timer: NodeJS.Timeout;
  readonly #caches = new Map<string, ReadonlySet<string>>();
  readonly #loads: number[][] = [];
  #isSampling = false;
  #isRecording = false;

  constructor(
    private readonly engines: () => readonly EndpointNode[],
    private readonly hasher: PrefixHasher,
  ) {
    this.#timer = setInterval(() => void this.#sample(), SAMPLE_PERIOD_MS);
  }

  /** Load samples count only between the start and the stop of the load. */
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
    let best = 0;
    for (const cache of this.#caches.values()) {
      const missing = hashes.findIndex((hash) => !cache.has(hash));
      best = Math.max(best, missing === -1 ? hashes.length : missing);
    }
    return best * BLOCK_TOKENS;
  }

  summarize(): SkewSummary {
    const averaged = averageGroups(this.#loads);
    const ratios = this.#loads.flatMap(maxOverMean);
    const all = this.#loads.flat();
    return {
      max_over_mean_load_p99: round(percentile(ratios, 99), 3),
      max_over_mean_load_p50: round(percentile(ratios, 50), 3),
      max_over_mean_load_1s_p99: round(
        percentile(averaged.flatMap(maxOverMean), 99),
        3,
      ),
      mean_outstanding_tokens: round(
        all.reduce((total, load) => total + load, 0) / Math.max(1, all.length),
      ),
      max_outstanding_tokens: all.reduce((a, b) => Math.max(a, b), 0),
      load_samples: this.#loads.length,
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
      Promise.all(engines.map(readState)),
      Promise.all(engines.map(readSidecarStatus)),
    ]);
    this.#caches.clear();
    for (const [index, state] of states.entries()) {
      if (state !== undefined) {
        this.#caches.set(engines[index]!.id, new Set(state.cached_hashes));
      }
    }
    const loads = statuses.flatMap((status) =>
      status?.state === "active" ? [status.load_tokens] : []
    );
    if (this.#isRecording && loads.length > 0) {
      this.#loads.push(loads);
    }
    this.#isSampling = false;
  }
}

/** Ratio of the highest to the mean; none while all loads are zero. */
export function maxOverMean(loads: readonly number[]): number[] {
  const mean = loads.reduce((total, load) => total + load, 0) / loads.length;
  return mean > 0 ? [Math.max(...loads) / mean] : [];
}

/** Averages per engine; groups in which engines came or went are left out. */
function averageGroups(samples: readonly number[][]): number[][] {
  const groups: number[][] = [];
  for (let i = 0; i + AVERAGED_SAMPLES <= samples.length; i++) {
    const group = samples.slice(i, i + AVERAGED_SAMPLES);
    const count = group[0]!.length;
    if (group.every((loads) => loads.length === count)) {
      groups.push(
        group[0]!.map((_, engine) =>
          group.reduce((total, loads) => total + loads[engine]!, 0) /
          AVERAGED_SAMPLES
        ),
      );
    }
  }
  return groups;
}

async function readState(
  engine: EndpointNode,
): Promise<DebugState | undefined> {
  try {
    const answer = await callJson(`${engine.backend.controlUrl}/debug/state`);
    return answer.status === 200 ? answer.body as DebugState : undefined;
  } catch {
    return undefined;
  }
}
