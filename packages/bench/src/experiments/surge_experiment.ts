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
const SURGING_ACCOUNT_COUNT = 2;
/**
 * Load without the surge, as a fraction of the capacity. When two of ten
 * accounts surge, the load is 1.1 times the capacity.
 */
const CALM_LOAD_FRACTION = 0.4;
const SLOW_ENGINE_COUNT = 3;
const SLOW_FACTOR = 2;
/**
 * Fraction of the prompt tokens that the capacity estimate assumes to be
 * cached.
 */
const EXPECTED_CACHED_FRACTION = 0.5;

/**
 * Figures of one arm. "Others" are the accounts that do not surge. All figures
 * except `extra_starts_share` and `session` cover only the chats that were due
 * during the surge.
 */
interface SurgeArm {
  /**
   * 95th percentile of the time to the first token of the chats of the accounts
   * that do not surge.
   */
  readonly others_first_token_p95_ms: number;
  readonly surging_first_token_p95_ms: number;
  /** Fraction of the others' deadlines that were met by a complete answer. */
  readonly others_deadlines_met: number;
  readonly others_refused: number;
  readonly surging_refused: number;
  /**
   * Output tokens per second. Counts only complete answers that met their
   * deadline, if any.
   */
  readonly useful_output_tokens_per_s: number;
  /**
   * (Executions started − chats answered) / chats answered. Each answered chat
   * needs one execution; the rest are extra.
   */
  readonly extra_starts_share: number;
  readonly session: SessionSummary;
}

/**
 * Measures fairness while two of ten accounts send ten times their normal
 * traffic and a few engines are slow.
 */
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
    const accounts = equalAccounts(options.accounts ?? 10);
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
      return summarizeArm(
        results,
        summary,
        accounts,
        await countEngineStarts(fleet),
      );
    });
  }
}

/** Returns accounts with equal traffic. */
function equalAccounts(count: number): AccountWeight[] {
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
  const samplePlan = grantsPlan(options.seed, {
    durationMs,
    requestsPerS: 50,
    accounts,
  });
  const chatFraction =
    samplePlan.filter((request) => request.kind === "chat").length /
    samplePlan.length;
  const capacityChatsPerS = capacityRequestsPerS(
    samplePlan,
    DEFAULT_ENGINE,
    engines,
    EXPECTED_CACHED_FRACTION,
  );
  const calmRequestsPerS = CALM_LOAD_FRACTION * capacityChatsPerS /
    chatFraction;
  const calmPlan = grantsPlan(options.seed, {
    durationMs,
    requestsPerS: calmRequestsPerS,
    accounts,
  });
  if (!hasSurge) {
    return calmPlan;
  }
  const surgingAccounts = accounts.slice(0, SURGING_ACCOUNT_COUNT);
  const surgePlan = grantsPlan(options.seed + 1, {
    durationMs: SURGE_TO_MS - SURGE_FROM_MS,
    requestsPerS: calmRequestsPerS * (SURGE_FACTOR - 1) *
      surgingAccounts.length /
      accounts.length,
    accounts: surgingAccounts,
  });
  return mergePlans(
    calmPlan,
    shiftPlan(withSurgeIds(surgePlan), SURGE_FROM_MS),
  );
}

/**
 * Adds a prefix to the IDs of chats and calls. Without the prefix, the surge
 * plan would use the same IDs as the calm plan, because each plan numbers its
 * chats and calls from zero.
 */
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
  const slowedEngines = fleet.engines.slice(0, SLOW_ENGINE_COUNT);
  const setSlowFactor = (factor: number) =>
    Promise.all(
      slowedEngines.map(({ backend }) =>
        fleet.setFaults(backend, { slow_factor: factor })
      ),
    );
  await setSlowFactor(SLOW_FACTOR);
  await sleep(SURGE_TO_MS - SURGE_FROM_MS);
  await setSlowFactor(1);
}

async function countEngineStarts(fleet: Fleet): Promise<number> {
  const counts = await Promise.all(
    fleet.engines.map((engine) => fleet.countStarts(engine.backend)),
  );
  return sum(counts, (count) => count);
}

function summarizeArm(
  results: readonly RequestResult[],
  summary: SessionSummary,
  accounts: readonly AccountWeight[],
  startCount: number,
): SurgeArm {
  const surgingNames = new Set(
    accounts.slice(0, SURGING_ACCOUNT_COUNT).map(({ name }) => name),
  );
  const resultsInSurge = results.filter((result) =>
    result.atMs >= SURGE_FROM_MS && result.atMs < SURGE_TO_MS
  );
  const chats = resultsInSurge.filter((result) => result.plan.kind === "chat");
  const otherChats = chats.filter((result) =>
    !surgingNames.has(result.plan.account)
  );
  const surgingChats = chats.filter((result) =>
    surgingNames.has(result.plan.account)
  );
  const otherChatsWithDeadline = otherChats.filter((result) =>
    result.plan.deadlineMs !== undefined
  );
  const usefulChats = chats.filter(isUseful);
  const answeredChatCount =
    results.filter((result) =>
      result.plan.kind === "chat" && result.verdict === "whole"
    ).length;
  return {
    others_first_token_p95_ms: firstTokenP95(otherChats),
    surging_first_token_p95_ms: firstTokenP95(surgingChats),
    others_deadlines_met: ratio(
      otherChatsWithDeadline.filter(isUseful).length,
      otherChatsWithDeadline.length,
    ),
    others_refused: countRefused(otherChats),
    surging_refused: countRefused(surgingChats),
    useful_output_tokens_per_s: round(
      sum(usefulChats, (result) => result.outputTokens) * 1000 /
        (SURGE_TO_MS - SURGE_FROM_MS),
    ),
    extra_starts_share: ratio(
      startCount - answeredChatCount,
      answeredChatCount,
    ),
    session: summary,
  };
}

/** Whether the answer is complete and arrived within its deadline, if any. */
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
  const bestOutputTokensPerS = Math.max(
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
      ratio(policy.useful_output_tokens_per_s, bestOutputTokensPerS),
      0.95,
    ),
    below("share of extra starts", policy.extra_starts_share, 0.1),
  ];
}
