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
const LEVELS = [0.7, 0.95] as const;
const LARGE_CHAT_FACTOR = 4;
/** Fraction of prompt tokens found cached, for the estimate of the capacity. */
const EXPECTED_CACHED_FRACTION = 0.5;
/** Highest multiple that the schema allows; with it the bound has no effect. */
const UNBOUNDED_MULTIPLE = 10;

type Arm = typeof PLACEMENTS[number] | "policy_unbounded";

/** Load with a few large chats and accounts at 70% and 95% of the capacity. */
export class SkewExperiment extends Experiment {
  readonly name = "skew";
  readonly summary = "highest to mean load with a few large chats";

  override async run(options: ExperimentOptions): Promise<ExperimentResult> {
    const engines = options.engines ?? 12;
    const plans = LEVELS.map((level, i) =>
      planAt(level, engines, options, options.seed + i)
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
      const levels: Record<string, SessionSummary> = {};
      for (const [i, plan] of plans.entries()) {
        const report: SessionReport = await runSession(fleet, plan, {
          accounts,
        });
        levels[`at_${LEVELS[i]}`] = report.summary;
      }
      return levels;
    });
  }
}

function planAt(
  level: number,
  engines: number,
  options: ExperimentOptions,
  seed: number,
): PlannedRequest[] {
  const common = {
    durationMs: options.durationMs ?? DURATION_MS,
    accounts: accountsOf(options.accounts),
    largeChatFactor: LARGE_CHAT_FACTOR,
  };
  // A sample plan, at an arbitrary rate, gives the mean size of a request.
  const sample = grantsPlan(seed, { ...common, requestsPerS: 50 });
  const chatFraction =
    sample.filter((request) => request.kind === "chat").length /
    sample.length;
  const capacity = capacityRequestsPerS(
    sample,
    DEFAULT_ENGINE,
    engines,
    EXPECTED_CACHED_FRACTION,
  );
  return grantsPlan(seed, {
    ...common,
    requestsPerS: level * capacity / chatFraction,
  });
}

function targetsOf(
  arms: Readonly<Record<string, Readonly<Record<string, SessionSummary>>>>,
): Target[] {
  // The counters are cumulative, so the last level includes the previous ones.
  const last = arms["policy"]![`at_${LEVELS[LEVELS.length - 1]}`]!;
  const bound = exactly(
    "admissions above the bound where it is enforced",
    last.bound.exceeded["enforced"] ?? NaN,
    0,
  );
  const byLevel = LEVELS.flatMap((level) => {
    const policy = arms["policy"]![`at_${level}`]!;
    const unbounded = arms["policy_unbounded"]![`at_${level}`]!;
    const lostPoints = 100 * (unbounded.load.returning_cache_hit_ratio -
      policy.load.returning_cache_hit_ratio);
    return [
      atMost(
        `p99 of highest to mean load at ${level}`,
        policy.skew.max_over_mean_load_p99,
        1.3,
      ),
      atMost(
        `points of reuse lost to the bound at ${level}`,
        round(lostPoints, 2),
        3,
      ),
    ];
  });
  return [bound, ...byLevel];
}
