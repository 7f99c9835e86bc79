import { benchBundle } from "../fleet/bench_bundle.js";
import {
  DEFAULT_ENGINE,
  fleetOptions,
  poolLimits,
} from "../fleet/fleet_options.js";
import type { PlannedRequest } from "../load/planned_request.js";
import {
  runSession,
  type SessionReport,
  type SessionSummary,
} from "../measure/load_session.js";
import { round } from "../report/load_summary.js";
import { atMost, exactly, type Target } from "../report/target.js";
import { capacityRequestsPerS } from "./capacity.js";
import { PLACEMENTS } from "./churn_experiment.js";
import {
  Experiment,
  type ExperimentOptions,
  type ExperimentResult,
} from "./experiment.js";
import { accountsOf, grantsPlan } from "./plans.js";

const DURATION_MS = 10_000;
/** Rates of chat requests as fractions of the estimated capacity. */
const LOAD_LEVELS = [0.7, 0.95] as const;
const LARGE_CHAT_FACTOR = 4;
/**
 * Fraction of the prompt tokens that the capacity estimate assumes to be
 * cached.
 */
const EXPECTED_CACHED_FRACTION = 0.5;
/**
 * Highest `load_bound_multiple` that the schema allows. A bound with this
 * multiple has no effect.
 */
const UNBOUNDED_MULTIPLE = 10;

type Arm = typeof PLACEMENTS[number] | "policy_unbounded";

/**
 * Measures how evenly the engines are loaded when a few chats and accounts are
 * large, at 70% and 95% of the capacity.
 */
export class SkewExperiment extends Experiment {
  readonly name = "skew";
  readonly summary = "highest to mean load with a few large chats";

  override async run(options: ExperimentOptions): Promise<ExperimentResult> {
    const engines = options.engines ?? 12;
    const plans = LOAD_LEVELS.map((loadLevel, i) =>
      planAtLoadLevel(loadLevel, engines, options, options.seed + i)
    );
    const arms: Record<string, Record<string, SessionSummary>> = {};
    for (const arm of [...PLACEMENTS, "policy_unbounded"] as const) {
      options.log(`arm ${arm}`);
      arms[arm] = await this.#runArm(arm, plans, engines, options);
    }
    return { arms, targets: targetsOf(arms) };
  }

  #runArm(
    arm: Arm,
    plans: readonly (readonly PlannedRequest[])[],
    engines: number,
    options: ExperimentOptions,
  ): Promise<Record<string, SessionSummary>> {
    const accounts = accountsOf(options.accounts);
    const isUnbounded = arm === "policy_unbounded";
    const settings = fleetOptions(options.seed, {
      routerCount: options.routers ?? 3,
      engineCount: engines,
      bundle: benchBundle({
        accounts,
        model: {
          ...poolLimits(DEFAULT_ENGINE),
          ...(isUnbounded ? { load_bound_multiple: UNBOUNDED_MULTIPLE } : {}),
        },
      }),
      router: { placement: isUnbounded ? "policy" : arm },
    });
    return this.withFleet(settings, async (fleet) => {
      const summaryByLoadLevel: Record<string, SessionSummary> = {};
      for (const [i, plan] of plans.entries()) {
        const report: SessionReport = await runSession(fleet, plan, {
          accounts,
        });
        summaryByLoadLevel[`at_${LOAD_LEVELS[i]}`] = report.summary;
      }
      return summaryByLoadLevel;
    });
  }
}

function planAtLoadLevel(
  loadLevel: number,
  engines: number,
  options: ExperimentOptions,
  seed: number,
): PlannedRequest[] {
  const commonOptions = {
    durationMs: options.durationMs ?? DURATION_MS,
    accounts: accountsOf(options.accounts),
    largeChatFactor: LARGE_CHAT_FACTOR,
  };
  // The sample plan gives the mean size of a request and the fraction of chats.
  // Its rate is arbitrary.
  const samplePlan = grantsPlan(seed, { ...commonOptions, requestsPerS: 50 });
  const chatFraction =
    samplePlan.filter((request) => request.kind === "chat").length /
    samplePlan.length;
  const capacityChatsPerS = capacityRequestsPerS(
    samplePlan,
    DEFAULT_ENGINE,
    engines,
    EXPECTED_CACHED_FRACTION,
  );
  return grantsPlan(seed, {
    ...commonOptions,
    requestsPerS: loadLevel * capacityChatsPerS / chatFraction,
  });
}

function targetsOf(
  arms: Readonly<Record<string, Readonly<Record<string, SessionSummary>>>>,
): Target[] {
  // The counters are cumulative: the values after the last load level cover all
  // load levels.
  const summaryAtLastLevel =
    arms["policy"]![`at_${LOAD_LEVELS[LOAD_LEVELS.length - 1]}`]!;
  const boundTarget = exactly(
    "admissions above the bound where it is enforced",
    summaryAtLastLevel.bound.exceeded["enforced"] ?? NaN,
    0,
  );
  const targetsByLoadLevel = LOAD_LEVELS.flatMap((loadLevel) => {
    const policy = arms["policy"]![`at_${loadLevel}`]!;
    const unbounded = arms["policy_unbounded"]![`at_${loadLevel}`]!;
    // Percentage points of the cache hit ratio that the load bound costs.
    const lostHitRatioPoints = 100 * (unbounded.load.returning_cache_hit_ratio -
      policy.load.returning_cache_hit_ratio);
    return [
      atMost(
        `p99 of highest to mean load at ${loadLevel}`,
        policy.skew.max_over_mean_load_p99,
        1.3,
      ),
      atMost(
        `points of reuse lost to the bound at ${loadLevel}`,
        round(lostHitRatioPoints, 2),
        3,
      ),
    ];
  });
  return [boundTarget, ...targetsByLoadLevel];
}
