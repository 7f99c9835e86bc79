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
const CALL_COUNT = 5400;
const SERVICE_COUNT = 4;
/**
 * Fraction of the calls that have an idempotency key. Calls without a key are
 * sent only once.
 */
const KEYED_FRACTION = 0.6;
/**
 * Fraction of the calls with a key that are sent to two routers at the same
 * time.
 */
const SENT_TWICE_FRACTION = 0.2;
const MAX_REPEATS = 4;
const REPEAT_DELAY_MS = 500;

interface RepeatArm extends AuditSummary {
  readonly answers: number;
  readonly answers_by_outcome: Readonly<Record<string, number>>;
  /**
   * Numbers of answers that leave the outcome unknown. The keys have the form
   * `verdict:status:reason`.
   */
  readonly unknown_reasons: Readonly<Record<string, number>>;
  /** Fraction of the calls with at least one answer of outcome `unknown`. */
  readonly unknown_share: number;
  /**
   * Number of calls whose outcome is still unknown after all repeats. `keyed`
   * counts the calls with an idempotency key, `plain` the calls without one.
   */
  readonly finally_unknown: { readonly keyed: number; readonly plain: number };
}

/**
 * Counts executions of non-idempotent calls while connections are reset, the
 * store loses answers or is unavailable, processes are paused and endpoints are
 * replaced or killed.
 */
export class RepeatExperiment extends Experiment {
  readonly name = "repeat";
  readonly summary = "at most one execution of 5,400 non-idempotent calls";

  override async run(options: ExperimentOptions): Promise<ExperimentResult> {
    const arms: Record<string, RepeatArm> = {};
    for (const retryMode of ["plain", "policy"] as const) {
      const name = retryMode === "plain" ? "plain_retry" : "policy";
      options.log(`arm ${name}`);
      arms[name] = await this.#runArm(retryMode, options);
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
    retryMode: "plain" | "policy",
    options: ExperimentOptions,
  ): Promise<RepeatArm> {
    const durationMs = options.durationMs ?? DURATION_MS;
    const settings = fleetOptions(options.seed, {
      routerCount: options.routers ?? 3,
      engineCount: 0,
      serviceCount: SERVICE_COUNT,
      hasFaultProxies: true,
      router: { retries: retryMode },
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
      return summarizeArm(results, fleet.audit.summarize(results));
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
  const pendingSends: Promise<void>[] = [];
  const startMs = performance.now();
  for (let i = 0; i < CALL_COUNT; i++) {
    const atMs = i * durationMs / CALL_COUNT;
    const isKeyed = random.chance(KEYED_FRACTION);
    const isSentTwice = isKeyed && random.chance(SENT_TWICE_FRACTION);
    const account = random.pick(accounts).name;
    const plan = planApproval(atMs, account, `approval-${i}`, isKeyed);
    await sleepUntil(startMs + atMs);
    const routers = isSentTwice
      ? fleet.routers.slice(0, 2).map((router) => router.httpUrl)
      : [undefined];
    for (const router of routers) {
      pendingSends.push(sendWithRepeats(client, plan, router, results));
    }
  }
  await Promise.all(pendingSends);
  return results;
}

/**
 * Sends a call as a caller would. A call with an idempotency key is repeated
 * until a complete answer arrives, at most MAX_REPEATS times. If `router`, the
 * URL of a router, is given, the first attempt is sent to that router.
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

/** Injects every fault once, each after a fixed fraction of the duration. */
async function injectFaults(
  fleet: Fleet,
  durationMs: number,
): Promise<void> {
  const injectAt = async (fraction: number, fault: () => Promise<void>) => {
    await sleep(durationMs * fraction);
    await fault();
  };
  const store = fleet.objectApi;
  const [first, second, third, fourth] = fleet.endpoints;
  const noFaults = { outage: "none", slow_ms: 0 };
  const injectStoreFaults = async (faults: object, faultMs: number) => {
    await fleet.setFaults(store, faults);
    await sleep(faultMs);
    await fleet.setFaults(store, noFaults);
  };
  await Promise.all([
    injectAt(0.04, () =>
      fleet.setFaults(first!.backend, {
        fail: { next_requests: 20, kind: "reset", after_effect: true },
      })),
    injectAt(0.08, () =>
      fleet.setFaults(second!.backend, {
        fail: { next_requests: 20, kind: "reset", after_effect: false },
      })),
    injectAt(0.12, () => fleet.setFaults(third!.proxy!, { reset: true })),
    injectAt(0.16, () =>
      fleet.setFaults(store, {
        drop_answers: { key_prefix: "calls/", next_writes: 60 },
      })),
    injectAt(0.24, () =>
      fleet.setFaults(store, {
        delay_writes: { key_prefix: "calls/", next_writes: 30, delay_ms: 800 },
      })),
    injectAt(0.3, () => injectStoreFaults({ outage: "hang" }, 2000)),
    injectAt(0.4, () => injectStoreFaults({ outage: "refuse" }, 2000)),
    injectAt(0.5, () => injectStoreFaults({ slow_ms: 150 }, 2000)),
    injectAt(0.58, () => pauseAndResume(fleet.routers[0]!.process)),
    injectAt(0.7, () => pauseAndResume(second!.sidecar)),
    injectAt(0.82, async () => {
      await fleet.replaceEndpoint(third!, { isAnnounced: true });
    }),
    injectAt(0.88, () => fleet.killEndpoint(fourth!)),
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

function summarizeArm(
  results: readonly RequestResult[],
  audit: AuditSummary,
): RepeatArm {
  const answersByOutcome: Record<string, number> = {};
  const reasonsOfUnknownOutcomes: Record<string, number> = {};
  for (const result of results) {
    const outcome = result.verdict === "whole"
      ? "whole"
      : result.outcome ?? `none (${result.verdict})`;
    answersByOutcome[outcome] = (answersByOutcome[outcome] ?? 0) + 1;
    if (outcome !== "whole" && outcome !== "not-run") {
      const key = `${result.verdict}:${result.status ?? "-"}:${result.reason}`;
      reasonsOfUnknownOutcomes[key] = (reasonsOfUnknownOutcomes[key] ?? 0) + 1;
    }
  }
  return {
    ...audit,
    answers: results.length,
    answers_by_outcome: answersByOutcome,
    unknown_reasons: reasonsOfUnknownOutcomes,
    unknown_share: ratio(audit.outcome_unknown, audit.non_idempotent_calls),
    finally_unknown: countFinallyUnknown(results),
  };
}

function countFinallyUnknown(
  results: readonly RequestResult[],
): RepeatArm["finally_unknown"] {
  const answeredIds = new Set<string>();
  // Whether a call has an idempotency key, by call ID. Contains each call with
  // an answer that leaves the outcome unknown.
  const isKeyedByCallId = new Map<string, boolean>();
  for (const { plan, verdict, outcome } of results) {
    if (plan.kind === "call" && verdict === "whole") {
      answeredIds.add(plan.callId);
    } else if (plan.kind === "call" && outcome !== "not-run") {
      isKeyedByCallId.set(plan.callId, plan.idempotencyKey !== undefined);
    }
  }
  const isKeyedFlags = [...isKeyedByCallId].filter(([id]) =>
    !answeredIds.has(id)
  )
    .map(([, isKeyed]) => isKeyed);
  return {
    keyed: isKeyedFlags.filter((isKeyed) => isKeyed).length,
    plain: isKeyedFlags.filter((isKeyed) => !isKeyed).length,
  };
}
