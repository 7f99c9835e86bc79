import { benchBundle } from "../fleet/bench_bundle.js";
import type { Fleet } from "../fleet/fleet.js";
import {
  DEFAULT_ENGINE,
  fleetOptions,
  poolLimits,
} from "../fleet/fleet_options.js";
import { sleep } from "../load/load_runner.js";
import type { PlannedRequest } from "../load/planned_request.js";
import { runSession, type SessionSummary } from "../measure/load_session.js";
import { ratio } from "../report/load_summary.js";
import { atLeast, atMost, exactly } from "../report/target.js";
import {
  Experiment,
  type ExperimentOptions,
  type ExperimentResult,
} from "./experiment.js";
import { accountsOf, wikiPlan } from "./plans.js";

/**
 * Values of the setting `placement`, one for each arm. `oracle` probes the
 * cache contents of all endpoints before each placement.
 */
export const PLACEMENTS = [
  "random",
  "least_loaded",
  "chat_hash",
  "policy",
  "oracle",
] as const;

const DURATION_MS = 20_000;
/** About half of the capacity of twelve engines. */
const REQUESTS_PER_S = 45;
/**
 * Cache size of one engine. All engines together can cache about half of the
 * distinct prompts.
 */
const CACHE_TOKENS = 24_000;
/**
 * Delays in ms of the instance lists of the three failure domains. They differ,
 * so that routers of different domains see lists of different ages.
 */
const INSTANCE_LIST_LAGS_MS = [0, 1500, 4000];
const FLAP_PERIOD_MS = 700;
const FLAP_COUNT = 3;

/** Measures cache reuse while engines are replaced, join, leave and flap. */
export class ChurnExperiment extends Experiment {
  readonly name = "churn";
  readonly summary = "cache reuse while engines join, leave and flap";

  override async run(options: ExperimentOptions): Promise<ExperimentResult> {
    const durationMs = options.durationMs ?? DURATION_MS;
    const accounts = accountsOf(options.accounts);
    const plan = wikiPlan(options.seed, {
      durationMs,
      requestsPerS: REQUESTS_PER_S,
      accounts,
    });
    const arms: Record<string, SessionSummary> = {};
    for (const placement of PLACEMENTS) {
      options.log(`arm ${placement}`);
      arms[placement] = await this.#runArm(
        placement,
        plan,
        durationMs,
        options,
      );
    }
    return { arms, targets: targetsOf(arms) };
  }

  #runArm(
    placement: typeof PLACEMENTS[number],
    plan: readonly PlannedRequest[],
    durationMs: number,
    options: ExperimentOptions,
  ): Promise<SessionSummary> {
    const accounts = accountsOf(options.accounts);
    const engine = { ...DEFAULT_ENGINE, cacheTokens: CACHE_TOKENS };
    const settings = fleetOptions(options.seed, {
      routerCount: options.routers ?? 3,
      engineCount: options.engines ?? 12,
      serviceCount: 0,
      bundle: benchBundle({
        accounts,
        model: poolLimits(engine),
      }),
      engine,
      router: { placement },
      instanceListLagsMs: INSTANCE_LIST_LAGS_MS,
    });
    return this.withFleet(settings, async (fleet) => {
      const { summary } = await runSession(fleet, plan, {
        accounts,
        during: () => churnEndpoints(fleet, durationMs),
      });
      return summary;
    });
  }
}

/**
 * Changes the set of engines at the same times and in the same way in every
 * arm.
 */
async function churnEndpoints(fleet: Fleet, durationMs: number): Promise<void> {
  const [first, second, third, fourth] = fleet.engines;
  await Promise.all([
    sleep(durationMs * 0.2).then(() =>
      fleet.replaceEndpoint(first!, { isAnnounced: true })
    ),
    sleep(durationMs * 0.35).then(async () => {
      await fleet.killEndpoint(second!);
      await fleet.addEngine(1);
    }),
    sleep(durationMs * 0.5).then(() => fleet.addEngine(2)),
    sleep(durationMs * 0.55).then(() => flap(fleet, third!)),
    sleep(durationMs * 0.7).then(() =>
      fleet.stopEndpoint(fourth!, { isAnnounced: false })
    ),
  ]);
}

/**
 * Removes an endpoint from the instance list and adds it again, FLAP_COUNT
 * times. The endpoint keeps running.
 */
async function flap(
  fleet: Fleet,
  node: Fleet["endpoints"][number],
): Promise<void> {
  for (let i = 0; i < FLAP_COUNT; i++) {
    await fleet.unregister(node.id);
    await sleep(FLAP_PERIOD_MS);
    await fleet.registerEndpoint(node, "live");
    await sleep(FLAP_PERIOD_MS);
  }
}

function targetsOf(arms: Readonly<Record<string, SessionSummary>>) {
  const policy = arms["policy"]!.load;
  const probeAll = arms["oracle"]!.load;
  const leastLoaded = arms["least_loaded"]!.load;
  return [
    atLeast(
      "reused prompt tokens, policy / oracle",
      ratio(
        policy.returning_cache_hit_ratio,
        probeAll.returning_cache_hit_ratio,
      ),
      0.95,
    ),
    atMost(
      "first-token p95, policy / least loaded",
      ratio(policy.first_token_p95_ms, leastLoaded.first_token_p95_ms),
      1,
    ),
    exactly("wrong answers of the policy", policy.wrong_answers, 0),
  ];
}
