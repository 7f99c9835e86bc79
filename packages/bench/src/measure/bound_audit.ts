import type { EndpointNode } from "../fleet/nodes.js";
import { sum } from "../report/load_summary.js";
import { readSidecarStatus } from "./node_status.js";

/** Decisions of the load bound, summed over the sidecars of a run. */
export interface BoundSummary {
  readonly admitted: Readonly<Record<string, number>>;
  readonly refused: number;
  /** Admissions above the bound by rule; `enforced` must be zero. */
  readonly exceeded: Readonly<Record<string, number>>;
}

export async function readBound(
  engines: readonly EndpointNode[],
): Promise<BoundSummary> {
  const statuses = await Promise.all(engines.map(readSidecarStatus));
  const bounds = statuses.flatMap((status) => status?.bound ?? []);
  return {
    admitted: addUp(bounds.map((bound) => bound.admitted)),
    refused: sum(bounds, (bound) => bound.refused),
    exceeded: addUp(bounds.map((bound) => bound.exceeded)),
  };
}

function addUp(
  counts: readonly Readonly<Record<string, number>>[],
): Record<string, number> {
  const total: Record<string, number> = {};
  for (const [rule, count] of counts.flatMap((row) => Object.entries(row))) {
    total[rule] = (total[rule] ?? 0) + count;
  }
  return total;
}
