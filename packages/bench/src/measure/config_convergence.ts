import type { RouterNode } from "../fleet/nodes.js";
import { sleep } from "../load/load_runner.js";
import { readRouterStatus } from "./node_status.js";

const POLL_MS = 20;

/**
 * Returns the configuration version in force on a router, or undefined when the
 * router does not answer.
 */
export async function configVersionOf(
  router: RouterNode,
): Promise<number | undefined> {
  return (await readRouterStatus(router))?.config_version;
}

/**
 * Waits until `version` or a later one is in force on every router. Returns the
 * time in ms from `acceptedMs`, a value of `performance.now()`, until the last
 * router reports such a version. Returns Infinity if a router does not report
 * one within `timeoutMs`.
 */
export async function measureConvergence(
  routers: readonly RouterNode[],
  version: number,
  acceptedMs: number,
  timeoutMs: number,
): Promise<number> {
  const convergenceTimes = await Promise.all(routers.map(async (router) => {
    while (performance.now() - acceptedMs < timeoutMs) {
      if ((await configVersionOf(router) ?? 0) >= version) {
        return performance.now() - acceptedMs;
      }
      await sleep(POLL_MS);
    }
    return Infinity;
  }));
  return Math.max(...convergenceTimes);
}
