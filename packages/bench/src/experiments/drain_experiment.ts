import type { Fleet } from "../fleet/fleet.js";
import { fleetOptions } from "../fleet/fleet_options.js";
import { sleep } from "../load/load_runner.js";
import type { RequestResult } from "../load/request_result.js";
import { lastNewWorkMs, type Notice } from "../measure/leave_audit.js";
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
/** Load without replacements before and after, to compare the reuse. */
const QUIET_MS = 6000;
/** Replacing two endpoints at a time fits the run into its duration. */
const PARALLEL_REPLACEMENTS = 2;
const NEW_WORK_LIMIT_MS = 2000;

interface DrainArm extends SessionSummary {
  readonly endpoints_replaced: number;
  readonly routers_replaced: number;
  /** The latest request, after its notice, that a leaving endpoint ran. */
  readonly last_new_work_after_notice_ms: number;
  readonly reuse_before: number;
  readonly reuse_during: number;
  readonly reuse_after: number;
  readonly interrupted: number;
}

/** Every router and endpoint is replaced in turn under load. */
export class DrainExperiment extends Experiment {
  readonly name = "drain";
  readonly summary = "every router and endpoint is replaced under load";

  override async run(options: ExperimentOptions): Promise<ExperimentResult> {
    const arms: Record<string, DrainArm> = {};
    for (const stop of ["at_once", "policy"] as const) {
      options.log(`arm ${stop}`);
      arms[stop === "at_once" ? "immediate_stop" : "policy"] = await this
        .#runArm(stop, options);
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
          NEW_WORK_LIMIT_MS,
        ),
        exactly("wrong answers", policy.load.wrong_answers, 0),
      ],
    };
  }

  #runArm(
    stop: "at_once" | "policy",
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
      sidecar: { stop },
    });
    return this.withFleet(settings, async (fleet) => {
      const notices: Notice[] = [];
      const routers = fleet.routers.length;
      let doneAtMs = 0;
      const { results, summary } = await runSession(fleet, plan, {
        accounts,
        during: async () => {
          const startMs = performance.now();
          await sleep(QUIET_MS);
          await replaceEndpoints(fleet, notices, startMs);
          await replaceRouters(fleet, stop);
          doneAtMs = performance.now() - startMs;
        },
      });
      return {
        ...summary,
        endpoints_replaced: notices.length,
        routers_replaced: routers,
        last_new_work_after_notice_ms: lastNewWorkMs(results, notices),
        ...reuseByPhase(results, doneAtMs),
        interrupted: results.filter((result) =>
          result.verdict === "cut" || result.verdict === "lost"
        ).length,
      };
    });
  }
}

async function replaceEndpoints(
  fleet: Fleet,
  notices: Notice[],
  startMs: number,
): Promise<void> {
  const nodes = [...fleet.endpoints];
  for (let i = 0; i < nodes.length; i += PARALLEL_REPLACEMENTS) {
    const group = nodes.slice(i, i + PARALLEL_REPLACEMENTS);
    await Promise.all(group.map((node) => {
      notices.push({ endpoint: node.id, atMs: performance.now() - startMs });
      // Successors start first, so that the pool keeps its capacity.
      return fleet.replaceEndpoint(node, { isAnnounced: true });
    }));
  }
}

async function replaceRouters(
  fleet: Fleet,
  stop: "at_once" | "policy",
): Promise<void> {
  // Replacing a router changes the list.
  const routers = fleet.routers.slice();
  for (const router of routers) {
    if (stop === "at_once") {
      await router.process.kill();
    }
    await fleet.replaceRouter(router, { isAnnounced: true });
  }
}

function reuseByPhase(
  results: readonly RequestResult[],
  doneAtMs: number,
): Pick<DrainArm, "reuse_before" | "reuse_during" | "reuse_after"> {
  const reuse = (fromMs: number, toMs: number) =>
    summarizeLoad(
      results.filter((result) => result.atMs >= fromMs && result.atMs < toMs),
    ).returning_cache_hit_ratio;
  return {
    reuse_before: reuse(0, QUIET_MS),
    reuse_during: reuse(QUIET_MS, doneAtMs),
    reuse_after: reuse(doneAtMs, Infinity),
  };
}
