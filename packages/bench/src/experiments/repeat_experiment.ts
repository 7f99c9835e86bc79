import type { Fleet } from "../fleet/fleet.js";
import { fleetOptions } from "../fleet/fleet_options.js";
import { LoadClient } from "../load/load_client.js";
import { planApproval } from "../load/grants_workload.js";
import { sleep, sleepUntil } from "../load/load_runner.js";
import type { PlannedCall } from "../load/planned_request.js";
import type { RequestResult } from "../load/request_result.js";
import { clientKeys, MODEL_NAME } from "../fleet/bench_bundle.js";
import type { AuditSummary } from "../measure/execution_audit.js";
import { ratio } from "../report/load_summary.js";
import { atLeast, exactly } from "../report/target.js";
import { SeededRandom } from "../seeded_random.js";
import {
  Experiment,
  type ExperimentOptions,
  type ExperimentResult,
} from "./experiment.js";
import { accountsOf } from "./plans.js";

const DURATION_MS = 36_000;
const CALLS = 5400;
const SERVICES = 4;
/** Fraction of the calls with a key; the others are sent only once. */
const KEYED_FRACTION = 0.6;
/** Fraction of the keyed calls sent to two routers at the same time. */
const SENT_TWICE_FRACTION = 0.2;
const MAX_REPEATS = 4;
const REPEAT_DELAY_MS = 500;

interface RepeatArm extends AuditSummary {
  readonly answers: number;
  readonly answers_by_outcome: Readonly<Record<string, number>>;
  /** Answers that left the outcome unknown, by `verdict:status:reason`. */
  readonly unknown_reasons: Readonly<Record<string, number>>;
  /** Fraction of the calls with an answer whose outcome was `unknown`. */
  readonly unknown_share: number;
  /** Calls whose outcome stayed unknown, with (`keyed`) or without a key. */
  readonly finally_unknown: { readonly keyed: number; readonly plain: number };
}

/**
 * Sends non-idempotent calls under connection resets, lost store answers, store
 * outages, paused processes and replaced endpoints.
 */
export class RepeatExperiment extends Experiment {
  readonly name = "repeat";
  readonly summary = "at most one execution of 5,400 non-idempotent calls";

  override async run(options: ExperimentOptions): Promise<ExperimentResult> {
    const arms: Record<string, RepeatArm> = {};
    for (const retries of ["plain", "policy"] as const) {
      const name = retries === "plain" ? "plain_retry" : "policy";
      options.log(`arm ${name}`);
      arms[name] = await this.#runArm(retries, options);
    }
    const policy = arms["policy"]!;
    return {
      arms,
      targets: [
        atLeast("calls", policy.non_idempotent_calls, 5000),
        exactly("calls run twice", policy.duplicate_executions, 0),
        exactly("not-run calls that ran", policy.not_run_but_ran, 0),
        exactly(
          "answered calls that did not run",
          policy.answered_but_not_run,
          0,
        ),
      ],
    };
  }

  #runArm(
    retries: "plain" | "policy",
    options: ExperimentOptions,
  ): Promise<RepeatArm> {
    const durationMs = options.durationMs ?? DURATION_MS;
    const settings = fleetOptions(options.seed, {
      routerCount: options.routers ?? 3,
      engineCount: 0,
      serviceCount: SERVICES,
      hasFaultProxies: true,
      router: { retries },
    });
    return this.withFleet(settings, async (fleet) => {
      const accounts = accountsOf(options.accounts);
      const client = new LoadClient({
        routerUrls: () => fleet.balancer.readyUrls,
        model: MODEL_NAME,
        clientKeys: clientKeys(accounts),
      });
      const [results] = await Promise.all([
        sendCalls(fleet, client, options, durationMs),
        injectFaults(fleet, durationMs),
      ]);
      await fleet.collectExecutions();
      await client.dispose();
      return armOf(results, fleet.audit.summarize(results));
    });
  }
}

async function sendCalls(
  fleet: Fleet,
  client: LoadClient,
  options: ExperimentOptions,
  durationMs: number,
): Promise<RequestResult[]> {
  const random = new SeededRandom(options.seed);
  const accounts = accountsOf(options.accounts);
  const results: RequestResult[] = [];
  const pending: Promise<void>[] = [];
  const startMs = performance.now();
  for (let i = 0; i < CALLS; i++) {
    const atMs = i * durationMs / CALLS;
    const isKeyed = random.chance(KEYED_FRACTION);
    const isSentTwice = isKeyed && random.chance(SENT_TWICE_FRACTION);
    const account = random.pick(accounts).name;
    const plan = planApproval(atMs, account, `approval-${i}`, isKeyed);
    await sleepUntil(startMs + atMs);
    const routers = isSentTwice
      ? fleet.routers.slice(0, 2).map((router) => router.httpUrl)
      : [undefined];
    for (const router of routers) {
      pending.push(sendWithRepeats(client, plan, router, results));
    }
  }
  await Promise.all(pending);
  return results;
}

/**
 * Repeats a keyed call until it is answered, at most MAX_REPEATS times, and no
 * other call, as a caller would. With `router`, the first send goes there.
 */
async function sendWithRepeats(
  client: LoadClient,
  plan: PlannedCall,
  router: string | undefined,
  results: RequestResult[],
): Promise<void> {
  const maxSends = plan.idempotencyKey === undefined ? 1 : 1 + MAX_REPEATS;
  for (let i = 0; i < maxSends; i++) {
    const result = await client.send(
      plan,
      performance.now(),
      i === 0 && router !== undefined ? { router } : {},
    );
    results.push({ ...result, oracleTokens: 0 });
    if (result.verdict === "whole") {
      return;
    }
    await sleep(REPEAT_DELAY_MS * (i + 1));
  }
}

/** Injects every fault of the scenario once, at fixed parts of the duration. */
async function injectFaults(
  fleet: Fleet,
  durationMs: number,
): Promise<void> {
  const at = async (fraction: number, fault: () => Promise<void>) => {
    await sleep(durationMs * fraction);
    await fault();
  };
  const store = fleet.objectApi;
  const [first, second, third, fourth] = fleet.endpoints;
  const noFaults = { outage: "none", slow_ms: 0 };
  const withStoreFaults = async (faults: object, ms: number) => {
    await fleet.setFaults(store, faults);
    await sleep(ms);
    await fleet.setFaults(store, noFaults);
  };
  await Promise.all([
    at(0.04, () =>
      fleet.setFaults(first!.backend, {
        fail: { next_requests: 20, kind: "reset", after_effect: true },
      })),
    at(0.08, () =>
      fleet.setFaults(second!.backend, {
        fail: { next_requests: 20, kind: "reset", after_effect: false },
      })),
    at(0.12, () => fleet.setFaults(third!.proxy!, { reset: true })),
    at(0.16, () =>
      fleet.setFaults(store, {
        drop_answers: { key_prefix: "calls/", next_writes: 60 },
      })),
    at(0.24, () =>
      fleet.setFaults(store, {
        delay_writes: { key_prefix: "calls/", next_writes: 30, delay_ms: 800 },
      })),
    at(0.3, () => withStoreFaults({ outage: "hang" }, 2000)),
    at(0.4, () => withStoreFaults({ outage: "refuse" }, 2000)),
    at(0.5, () => withStoreFaults({ slow_ms: 150 }, 2000)),
    at(0.58, () => pauseAndResume(fleet.routers[0]!.process)),
    at(0.7, () => pauseAndResume(second!.sidecar)),
    at(0.82, async () => {
      await fleet.replaceEndpoint(third!, { isAnnounced: true });
    }),
    at(0.88, () => fleet.killEndpoint(fourth!)),
  ]);
}

const PAUSE_MS = 3500;

async function pauseAndResume(
  child: { pause(): void; resume(): void },
): Promise<void> {
  child.pause();
  await sleep(PAUSE_MS);
  child.resume();
}

function armOf(
  results: readonly RequestResult[],
  audit: AuditSummary,
): RepeatArm {
  const byOutcome: Record<string, number> = {};
  const unknownReasons: Record<string, number> = {};
  for (const result of results) {
    const outcome = result.verdict === "whole"
      ? "whole"
      : result.outcome ?? `none (${result.verdict})`;
    byOutcome[outcome] = (byOutcome[outcome] ?? 0) + 1;
    if (outcome !== "whole" && outcome !== "not-run") {
      const key = `${result.verdict}:${result.status ?? "-"}:${result.reason}`;
      unknownReasons[key] = (unknownReasons[key] ?? 0) + 1;
    }
  }
  return {
    ...audit,
    answers: results.length,
    answers_by_outcome: byOutcome,
    unknown_reasons: unknownReasons,
    unknown_share: ratio(audit.outcome_unknown, audit.non_idempotent_calls),
    finally_unknown: finallyUnknown(results),
  };
}

function finallyUnknown(
  results: readonly RequestResult[],
): RepeatArm["finally_unknown"] {
  const answeredIds = new Set<string>();
  const unansweredCalls = new Map<string, boolean>();
  for (const { plan, verdict, outcome } of results) {
    if (plan.kind === "call" && verdict === "whole") {
      answeredIds.add(plan.callId);
    } else if (plan.kind === "call" && outcome !== "not-run") {
      unansweredCalls.set(plan.callId, plan.idempotencyKey !== undefined);
    }
  }
  const keyFlags = [...unansweredCalls].filter(([id]) => !answeredIds.has(id))
    .map(([, isKeyed]) => isKeyed);
  return {
    keyed: keyFlags.filter((isKeyed) => isKeyed).length,
    plain: keyFlags.filter((isKeyed) => !isKeyed).length,
  };
}
