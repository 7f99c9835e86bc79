import type { Fleet } from "../fleet/fleet.js";
import { fleetOptions } from "../fleet/fleet_options.js";
import { sleep } from "../load/load_runner.js";
import type { RequestResult } from "../load/request_result.js";
import {
  lastNewWorkAfterNoticeMs,
  type LeaveNotice,
} from "../measure/leave_notice.js";
import { runSession, type SessionSummary } from "../measure/load_session.js";
import { summarizeLoad } from "../report/load_summary.js";
import { atMost, exactly } from "../report/target.js";
import {
  Experiment,
  type ExperimentOptions,
  type ExperimentResult,
} from "./experiment.js";
import { accountsOf, wikiPlan } from "./plans.js";

const DURATION_MS = 36_000;
const REQUESTS_PER_S = 35;
/**
 * Time under load before the first replacement; {@link DrainArm.reuse_before}
 * covers this time.
 */
const STEADY_LOAD_MS = 6000;
/**
 * Number of endpoints that are replaced at the same time. With a lower number,
 * the run would exceed its duration.
 */
const PARALLEL_REPLACEMENTS = 2;
const MAX_NEW_WORK_AFTER_NOTICE_MS = 2000;

interface DrainArm extends SessionSummary {
  readonly endpoints_replaced: number;
  readonly routers_replaced: number;
  /**
   * Time from the leave notice of an endpoint to the due time of the last
   * request that the endpoint ran. The figure is the maximum over all
   * endpoints.
   */
  readonly last_new_work_after_notice_ms: number;
  /** Cache hit ratio of returning chats before the first replacement. */
  readonly reuse_before: number;
  readonly reuse_during: number;
  readonly reuse_after: number;
  /** Number of requests whose answer was cut or lost. */
  readonly interrupted: number;
}

/** Replaces every endpoint and then every router under load. */
export class DrainExperiment extends Experiment {
  readonly name = "drain";
  readonly summary = "every router and endpoint is replaced under load";

  override async run(options: ExperimentOptions): Promise<ExperimentResult> {
    const arms: Record<string, DrainArm> = {};
    for (const stopMode of ["at_once", "policy"] as const) {
      options.log(`arm ${stopMode}`);
      arms[stopMode === "at_once" ? "immediate_stop" : "policy"] = await this
        .#runArm(stopMode, options);
    }
    const policy = arms["policy"]!;
    return {
      arms,
      targets: [
        exactly("cut streams of the policy", policy.load.cut_streams, 0),
        exactly("interrupted requests of the policy", policy.interrupted, 0),
        atMost(
          "last new work after the notice, ms",
          policy.last_new_work_after_notice_ms,
          MAX_NEW_WORK_AFTER_NOTICE_MS,
        ),
        exactly("wrong answers", policy.load.wrong_answers, 0),
      ],
    };
  }

  #runArm(
    stopMode: "at_once" | "policy",
    options: ExperimentOptions,
  ): Promise<DrainArm> {
    const accounts = accountsOf(options.accounts);
    const durationMs = options.durationMs ?? DURATION_MS;
    const plan = wikiPlan(options.seed, {
      durationMs,
      requestsPerS: REQUESTS_PER_S,
      accounts,
    });
    const settings = fleetOptions(options.seed, {
      routerCount: options.routers ?? 3,
      engineCount: options.engines ?? 12,
      serviceCount: 0,
      sidecar: { stop: stopMode },
    });
    return this.withFleet(settings, async (fleet) => {
      const notices: LeaveNotice[] = [];
      const routers = fleet.routers.length;
      let replacedAtMs = 0;
      const { results, summary } = await runSession(fleet, plan, {
        accounts,
        during: async () => {
          const startMs = performance.now();
          await sleep(STEADY_LOAD_MS);
          await replaceEndpoints(fleet, notices, startMs);
          await replaceRouters(fleet, stopMode);
          replacedAtMs = performance.now() - startMs;
        },
      });
      return {
        ...summary,
        endpoints_replaced: notices.length,
        routers_replaced: routers,
        last_new_work_after_notice_ms: lastNewWorkAfterNoticeMs(
          results,
          notices,
        ),
        ...cacheReuseByPhase(results, replacedAtMs),
        interrupted: results.filter((result) =>
          result.verdict === "cut" || result.verdict === "lost"
        ).length,
      };
    });
  }
}

async function replaceEndpoints(
  fleet: Fleet,
  notices: LeaveNotice[],
  startMs: number,
): Promise<void> {
  const nodes = [...fleet.endpoints];
  for (let i = 0; i < nodes.length; i += PARALLEL_REPLACEMENTS) {
    const group = nodes.slice(i, i + PARALLEL_REPLACEMENTS);
    await Promise.all(group.map((node) => {
      notices.push({ endpoint: node.id, atMs: performance.now() - startMs });
      // The successor starts only after the endpoint has stopped, so the pool
      // is smaller during the replacement.
      return fleet.replaceEndpoint(node, { isAnnounced: true });
    }));
  }
}

async function replaceRouters(
  fleet: Fleet,
  stopMode: "at_once" | "policy",
): Promise<void> {
  // A copy, because each replacement changes `fleet.routers`.
  const routers = fleet.routers.slice();
  for (const router of routers) {
    if (stopMode === "at_once") {
      await router.process.kill();
    }
    await fleet.replaceRouter(router, { isAnnounced: true });
  }
}

function cacheReuseByPhase(
  results: readonly RequestResult[],
  replacedAtMs: number,
): Pick<DrainArm, "reuse_before" | "reuse_during" | "reuse_after"> {
  const cacheReuseBetween = (fromMs: number, toMs: number) =>
    summarizeLoad(
      results.filter((result) => result.atMs >= fromMs && result.atMs < toMs),
    ).returning_cache_hit_ratio;
  return {
    reuse_before: cacheReuseBetween(0, STEADY_LOAD_MS),
    reuse_during: cacheReuseBetween(STEADY_LOAD_MS, replacedAtMs),
    reuse_after: cacheReuseBetween(replacedAtMs, Infinity),
  };
}
