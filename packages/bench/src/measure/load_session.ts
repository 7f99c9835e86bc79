import { createPrefixHasher } from "@anvildeal/core";
import { clientKeys, MODEL_NAME } from "../fleet/bench_bundle.js";
import type { Fleet } from "../fleet/fleet.js";
import { LoadClient } from "../load/load_client.js";
import { LoadRunner } from "../load/load_runner.js";
import type { PlannedRequest } from "../load/planned_request.js";
import type { RequestResult } from "../load/request_result.js";
import type { AccountShare } from "../load/workload.js";
import { type LoadSummary, summarizeLoad } from "../report/load_summary.js";
import { type BoundSummary, readBound } from "./bound_audit.js";
import { EngineSampler, type SkewSummary } from "./engine_sampler.js";
import type { AuditSummary } from "./execution_audit.js";
import {
  RouterUsageMeter,
  type RouterUsageSummary,
} from "./router_usage_meter.js";

/**
 * Load samples start this much later than the load. While the first requests
 * arrive, the ratio of the highest to the mean load is the number of engines.
 */
const RAMP_MS = 2000;

export interface SessionSummary {
  readonly load: LoadSummary;
  readonly skew: SkewSummary;
  readonly calls: AuditSummary;
  readonly routers: RouterUsageSummary;
  /** Since the start of the sidecars that run at the end. */
  readonly bound: BoundSummary;
}

export interface SessionReport {
  readonly results: readonly RequestResult[];
  readonly summary: SessionSummary;
}

export interface SessionOptions {
  readonly accounts: readonly AccountShare[];
  /** Runs beside the load, for faults and replacements. */
  readonly during?: (client: LoadClient) => Promise<void>;
}

/** Sends one plan to a fleet and measures everything beside it. */
export async function runSession(
  fleet: Fleet,
  plan: readonly PlannedRequest[],
  options: SessionOptions,
): Promise<SessionReport> {
  const sampler = new EngineSampler(
    () => fleet.engines,
    await createPrefixHasher(),
  );
  const usage = new RouterUsageMeter(() => fleet.routers);
  const client = new LoadClient({
    routerUrls: () => fleet.balancer.readyUrls,
    model: MODEL_NAME,
    clientKeys: clientKeys(options.accounts),
  });
  try {
    await usage.start();
    const lastMs = plan.at(-1)?.atMs ?? 0;
    const timers = [
      setTimeout(() => {
        sampler.isRecording = true;
      }, Math.min(RAMP_MS, lastMs / 4)),
      setTimeout(() => {
        sampler.isRecording = false;
      }, lastMs),
    ];
    const [results] = await Promise.all([
      new LoadRunner(client, sampler).run(plan),
      options.during?.(client),
    ]);
    timers.forEach(clearTimeout);
    const routers = await usage.stop();
    const bound = await readBound(fleet.engines);
    await fleet.collectExecutions();
    return {
      results,
      summary: {
        load: summarizeLoad(results),
        skew: sampler.summarize(),
        calls: fleet.audit.summarize(results),
        routers,
        bound,
      },
    };
  } finally {
    usage.dispose();
    sampler.dispose();
    await client.dispose();
  }
}
