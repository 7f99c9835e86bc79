import { createPrefixHasher } from "@anvildeal/core";
import { clientKeys, MODEL_NAME } from "../fleet/bench_bundle.js";
import type { Fleet } from "../fleet/fleet.js";
import { LoadClient } from "../load/load_client.js";
import { LoadRunner } from "../load/load_runner.js";
import type { PlannedRequest } from "../load/planned_request.js";
import type { RequestResult } from "../load/request_result.js";
import type { AccountWeight } from "../load/workload.js";
import { type LoadSummary, summarizeLoad } from "../report/load_summary.js";
import { type BoundSummary, readBoundSummary } from "./bound_summary.js";
import { EngineSampler, type SkewSummary } from "./engine_sampler.js";
import type { AuditSummary } from "./execution_audit.js";
import {
  RouterUsageMeter,
  type RouterUsageSummary,
} from "./router_usage_meter.js";

/**
 * Time from the start of the load to the first recorded load sample. While only
 * the first request is in flight, the ratio of the highest to the mean load is
 * always the number of engines.
 */
const SAMPLING_DELAY_MS = 2000;

export interface SessionSummary {
  readonly load: LoadSummary;
  readonly skew: SkewSummary;
  readonly calls: AuditSummary;
  readonly routers: RouterUsageSummary;
  /**
   * Load bound decisions since the start of each sidecar. Covers only the
   * sidecars that still run at the end of the session.
   */
  readonly bound: BoundSummary;
}

export interface SessionReport {
  readonly results: readonly RequestResult[];
  readonly summary: SessionSummary;
}

export interface SessionOptions {
  readonly accounts: readonly AccountWeight[];
  /** Runs concurrently with the load, to inject faults or replace processes. */
  readonly during?: (client: LoadClient) => Promise<void>;
}

/**
 * Sends a plan to a fleet and measures the answers, the load of the engines,
 * the executions and the usage of the routers.
 */
export async function runSession(
  fleet: Fleet,
  plan: readonly PlannedRequest[],
  options: SessionOptions,
): Promise<SessionReport> {
  const sampler = new EngineSampler(
    () => fleet.engines,
    await createPrefixHasher(),
  );
  const usageMeter = new RouterUsageMeter(() => fleet.routers);
  const client = new LoadClient({
    routerUrls: () => fleet.balancer.readyUrls,
    model: MODEL_NAME,
    clientKeys: clientKeys(options.accounts),
  });
  try {
    await usageMeter.start();
    const lastRequestMs = plan.at(-1)?.atMs ?? 0;
    const timers = [
      setTimeout(() => {
        sampler.isRecording = true;
      }, Math.min(SAMPLING_DELAY_MS, lastRequestMs / 4)),
      setTimeout(() => {
        sampler.isRecording = false;
      }, lastRequestMs),
    ];
    const [results] = await Promise.all([
      new LoadRunner(client, sampler).run(plan),
      options.during?.(client),
    ]);
    timers.forEach(clearTimeout);
    const routers = await usageMeter.stop();
    const bound = await readBoundSummary(fleet.engines);
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
    usageMeter.dispose();
    sampler.dispose();
    await client.dispose();
  }
}
