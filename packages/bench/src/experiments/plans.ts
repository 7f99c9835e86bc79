import { expectedAnswer } from "@anvildeal/stand-ins";
import { defaultAccounts } from "../fleet/bench_bundle.js";
import { GrantsWorkload } from "../load/grants_workload.js";
import type { PlannedRequest } from "../load/planned_request.js";
import { WikiWorkload } from "../load/wiki_workload.js";
import {
  type AccountWeight,
  DEFAULT_WORKLOAD_OPTIONS,
  type WorkloadOptions,
} from "../load/workload.js";
import { SeededRandom } from "../seeded_random.js";

/** Options of a workload; absent options get the defaults of the bench. */
export type PlanOptions =
  & Pick<WorkloadOptions, "durationMs" | "requestsPerS">
  & Partial<WorkloadOptions>;

export function wikiPlan(seed: number, options: PlanOptions): PlannedRequest[] {
  return new WikiWorkload(withDefaults(options)).plan(new SeededRandom(seed));
}

export function grantsPlan(
  seed: number,
  options: PlanOptions,
): PlannedRequest[] {
  return new GrantsWorkload(withDefaults(options)).plan(new SeededRandom(seed));
}

/** Merges plans into one, ordered by the due times of the requests. */
export function mergePlans(
  ...plans: readonly (readonly PlannedRequest[])[]
): PlannedRequest[] {
  return plans.flat().sort((a, b) => a.atMs - b.atMs);
}

/** Delays every request of a plan by the same time. */
export function shiftPlan(
  plan: readonly PlannedRequest[],
  byMs: number,
): PlannedRequest[] {
  return plan.map((request) => ({ ...request, atMs: request.atMs + byMs }));
}

export function accountsOf(count: number | undefined): AccountWeight[] {
  return defaultAccounts(count);
}

function withDefaults(options: PlanOptions): WorkloadOptions {
  return {
    ...DEFAULT_WORKLOAD_OPTIONS,
    accounts: defaultAccounts(),
    answer: expectedAnswer,
    ...options,
  };
}
