import { expectedAnswer } from "@anvildeal/stand-ins";
import { defaultAccounts } from "../fleet/bench_bundle.js";
import { GrantsWorkload } from "../load/grants_workload.js";
import type { PlannedRequest } from "../load/planned_request.js";
import { WikiWorkload } from "../load/wiki_workload.js";
import {
  type AccountShare,
  DEFAULT_WORKLOAD_OPTIONS,
  type WorkloadOptions,
} from "../load/workload.js";
import { SeededRandom } from "../seeded_random.js";

export type PlanOptions =
  & Pick<WorkloadOptions, "durationMs" | "requestsPerS">
  & Partial<WorkloadOptions>;

export function wikiPlan(seed: number, options: PlanOptions): PlannedRequest[] {
  return new WikiWorkload(complete(options)).plan(new SeededRandom(seed));
}

export function grantsPlan(
  seed: number,
  options: PlanOptions,
): PlannedRequest[] {
  return new GrantsWorkload(complete(options)).plan(new SeededRandom(seed));
}

export function mergePlans(
  ...plans: readonly (readonly PlannedRequest[])[]
): PlannedRequest[] {
  return plans.flat().sort((a, b) => a.atMs - b.atMs);
}

/** Moves a plan to a later time, so that phases can follow each other. */
export function shiftPlan(
  plan: readonly PlannedRequest[],
  byMs: number,
): PlannedRequest[] {
  return plan.map((request) => ({ ...request, atMs: request.atMs + byMs }));
}

export function accountsOf(count: number | undefined): AccountShare[] {
  return defaultAccounts(count);
}

function complete(options: PlanOptions): WorkloadOptions {
  return {
    ...DEFAULT_WORKLOAD_OPTIONS,
    accounts: defaultAccounts(),
    answer: expectedAnswer,
    ...options,
  };
}
