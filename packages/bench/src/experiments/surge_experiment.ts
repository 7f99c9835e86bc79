import { DEFAULT_ENGINE, fleetOptions } from "../fleet/fleet_options.js";
import type { Fleet } from "../fleet/fleet.js";
import { sleep } from "../load/load_runner.js";
import type { PlannedRequest } from "../load/planned_request.js";
import type { RequestResult } from "../load/request_result.js";
import type { AccountWeight } from "../load/workload.js";
import { runSession, type SessionSummary } from "../measure/load_session.js";
import { percentile } from "../percentile.js";
import { ratio, round, sum } from "../report/load_summary.js";
import { atLeast, atMost, below, type Target } from "../report/target.js";
import { capacityRequestsPerS } from "./capacity.js";
import {
  Experiment,
  type ExperimentOptions,
  type ExperimentResult,
} from "./experiment.js";
import { grantsPlan, mergePlans, shiftPlan } from "./plans.js";

const DURATION_MS = 30_000;
const SURGE_FROM_MS = 8000;
const SURGE_TO_MS = 24_000;
const SURGE_FACTOR = 10;
const SURGING_ACCOUNTS = 2;
/**
 * Load without the surge as a fraction of the capacity. With the surge of two
 * accounts out of ten, the demand is 1.1 times the capacity.
 */
const CALM_LEVEL = 0.4;
const SLOW_ENGINES = 3;
const SLOW_FACTOR = 2;
/** Fraction of prompt tokens found cached, for the estimate of the capacity. */
const EXPECTED_CACHED_FRACTION = 0.5;

interface SurgeArm {
  /** "Others" are the accounts that do not surge. */
  readonly others_first_token_p95_ms: number;
  readonly surging_first_token_p95_ms: number;
  /** Fraction of the others' requests with a deadline that met it. */
  readonly others_deadlines_met: number;
  readonly others_refused: number;
  readonly surging_refused: number;
  /** Output tokens per second of complete answers within their deadlines. */
  readonly useful_output_tokens_per_s: number;
  /** Starts at engines beyond one for each answered chat, per answered chat. */
  readonly extra_starts_share: number;
  readonly session: SessionSummary;
}

/** Two of ten accounts send ten times their normal traffic. */
export class SurgeExperiment extends Experiment {
  readonly name = "surge";
  readonly summary = "two accounts surge tenfold while engines slow down";

  override async run(options: ExperimentOptions): Promise<ExperimentResult> {
    const arms: Record<string, SurgeArm> = {};
    for (
      const [name, admission, hasSurge] of [
        ["calm", "policy", false],
        ["first_come", "first_come", true],
        ["policy", "policy", true],
      ] as const
    ) {
      options.log(`arm ${name}`);
      arms[name] = await this.#runArm(admission, hasSurge, options);
    }
    return { arms, targets: targetsOf(arms) };
  }

  #runArm(
    admission: "policy" | "first_come",
    hasSurge: boolean,
    options: ExperimentOptions,
  ): Promise<SurgeArm> {
    const engines = options.engines ?? 12;
    const accounts = evenAccounts(options.accounts ?? 10);
    const plan = planFor(options, accounts, engines, hasSurge);
    const settings = fleetOptions(options.seed, {
      routerCount: options.routers ?? 3,
      engineCount: engines,
      sidecar: { admission },
    });
    return this.withFleet(settings, async (fleet) => {
      const { results, summary } = await runSession(fleet, plan, {
        accounts,
        during: () => hasSurge ? slowEngines(fleet) : Promise.resolve(),
      });
      return armOf(results, summary, accounts, await engineStarts(fleet));
    });
  }
}

/** Accounts with equal traffic. */
function evenAccounts(count: number): AccountWeight[] {
  return Array.from({ length: count }, (_, i) => ({
    name: `account-${String(i).padStart(2, "0")}`,
    weight: 1,
  }));
}

function planFor(
  options: ExperimentOptions,
  accounts: readonly AccountWeight[],
  engines: number,
  hasSurge: boolean,
): PlannedRequest[] {
  const durationMs = options.durationMs ?? DURATION_MS;
  const sample = grantsPlan(options.seed, {
    durationMs,
    requestsPerS: 50,
    accounts,
  });
  const chatFraction =
    sample.filter((request) => request.kind === "chat").length /
    sample.length;
  const capacity = capacityRequestsPerS(
    sample,
    DEFAULT_ENGINE,
    engines,
    EXPECTED_CACHED_FRACTION,
  );
  const calmPerS = CALM_LEVEL * capacity / chatFraction;
  const calm = grantsPlan(options.seed, {
    durationMs,
    requestsPerS: calmPerS,
    accounts,
  });
  if (!hasSurge) {
    return calm;
  }
  const surging = accounts.slice(0, SURGING_ACCOUNTS);
  const extra = grantsPlan(options.seed + 1, {
    durationMs: SURGE_TO_MS - SURGE_FROM_MS,
    requestsPerS: calmPerS * (SURGE_FACTOR - 1) * surging.length /
      accounts.length,
    accounts: surging,
  });
  return mergePlans(calm, shiftPlan(withSurgeIds(extra), SURGE_FROM_MS));
}

/** Makes IDs unique: both plans number their chats and calls from zero. */
function withSurgeIds(plan: readonly PlannedRequest[]): PlannedRequest[] {
  return plan.map((request) =>
    request.kind === "chat" ? { ...request, chat: `surge-${request.chat}` } : {
      ...request,
      callId: `surge-${request.callId}`,
      ...(request.idempotencyKey === undefined
        ? {}
        : { idempotencyKey: `surge-${request.idempotencyKey}` }),
      path: request.path.replace(request.callId, `surge-${request.callId}`),
    }
  );
}

/** Slows a few engines down for the duration of the surge. */
async function slowEngines(fleet: Fleet): Promise<void> {
  await sleep(SURGE_FROM_MS);
  const slow = fleet.engines.slice(0, SLOW_ENGINES);
  const set = (factor: number) =>
    Promise.all(
      slow.map(({ backend }) =>
        fleet.setFaults(backend, { slow_factor: factor })
      ),
    );
  await set(SLOW_FACTOR);
  await sleep(SURGE_TO_MS - SURGE_FROM_MS);
  await set(1);
}

async function engineStarts(fleet: Fleet): Promise<number> {
  const counts = await Promise.all(
    fleet.engines.map((engine) => fleet.countStarts(engine.backend)),
  );
  return sum(counts, (count) => count);
}

function armOf(
  results: readonly RequestResult[],
  summary: SessionSummary,
  accounts: readonly AccountWeight[],
  starts: number,
): SurgeArm {
  const surgingNames = new Set(
    accounts.slice(0, SURGING_ACCOUNTS).map(({ name }) => name),
  );
  const inSurge = results.filter((result) =>
    result.atMs >= SURGE_FROM_MS && result.atMs < SURGE_TO_MS
  );
  const chats = inSurge.filter((result) => result.plan.kind === "chat");
  const others = chats.filter((result) =>
    !surgingNames.has(result.plan.account)
  );
  const surging = chats.filter((result) =>
    surgingNames.has(result.plan.account)
  );
  const withDeadline = others.filter((result) =>
    result.plan.deadlineMs !== undefined
  );
  const useful = chats.filter(isUseful);
  const answered =
    results.filter((result) =>
      result.plan.kind === "chat" && result.verdict === "whole"
    ).length;
  return {
    others_first_token_p95_ms: firstTokenP95(others),
    surging_first_token_p95_ms: firstTokenP95(surging),
    others_deadlines_met: ratio(
      withDeadline.filter(isUseful).length,
      withDeadline.length,
    ),
    others_refused: countRefused(others),
    surging_refused: countRefused(surging),
    useful_output_tokens_per_s: round(
      sum(useful, (result) => result.outputTokens) * 1000 /
        (SURGE_TO_MS - SURGE_FROM_MS),
    ),
    extra_starts_share: ratio(starts - answered, answered),
    session: summary,
  };
}

function isUseful(result: RequestResult): boolean {
  return result.verdict === "whole" &&
    result.totalMs <= (result.plan.deadlineMs ?? Infinity);
}

function countRefused(results: readonly RequestResult[]): number {
  return results.filter((result) => result.verdict === "refused").length;
}

function firstTokenP95(results: readonly RequestResult[]): number {
  const times = results.flatMap((result) =>
    result.verdict === "whole" ? result.firstTokenMs ?? [] : []
  );
  return round(percentile(times, 95));
}

function targetsOf(arms: Readonly<Record<string, SurgeArm>>): Target[] {
  const policy = arms["policy"]!;
  const bestOutput = Math.max(
    ...Object.values(arms).map((arm) => arm.useful_output_tokens_per_s),
  );
  return [
    atMost(
      "the others' first-token p95, policy / calm",
      ratio(
        policy.others_first_token_p95_ms,
        arms["calm"]!.others_first_token_p95_ms,
      ),
      1.2,
    ),
    atLeast("the others' deadlines met", policy.others_deadlines_met, 0.99),
    atLeast(
      "useful output, policy / best arm",
      ratio(policy.useful_output_tokens_per_s, bestOutput),
      0.95,
    ),
    below("share of extra starts", policy.extra_starts_share, 0.1),
  ];
}
