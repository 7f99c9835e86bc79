import type { EndpointNode } from "../fleet/nodes.js";
import { sum } from "../report/load_summary.js";
import { readSidecarStatus } from "./node_status.js";

/** Numbers of load bound decisions, summed over the running sidecars. */
export interface BoundSummary {
  /** Number of admitted requests, by the rule that admitted them. */
  readonly admitted: Readonly<Record<string, number>>;
  readonly refused: number;
  /**
   * Number of admissions above the bound, by the rule that admitted them. The
   * number must be zero for the rule `enforced`.
   */
  readonly exceeded: Readonly<Record<string, number>>;
}

/**
 * Sums the decisions of the engines' sidecars. Skips a sidecar that does not
 * answer `/status` in time.
 */
export async function readBoundSummary(
  engines: readonly EndpointNode[],
): Promise<BoundSummary> {
  const statuses = await Promise.all(engines.map(readSidecarStatus));
  const bounds = statuses.flatMap((status) => status?.bound ?? []);
  return {
    admitted: sumByRule(bounds.map((bound) => bound.admitted)),
    refused: sum(bounds, (bound) => bound.refused),
    exceeded: sumByRule(bounds.map((bound) => bound.exceeded)),
  };
}

function sumByRule(
  counts: readonly Readonly<Record<string, number>>[],
): Record<string, number> {
  const total: Record<string, number> = {};
  for (const [rule, count] of counts.flatMap((row) => Object.entries(row))) {
    total[rule] = (total[rule] ?? 0) + count;
  }
  return total;
}
