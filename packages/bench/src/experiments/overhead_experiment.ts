import { fileURLToPath } from "node:url";
import { benchBundle, clientKeys, MODEL_NAME } from "../fleet/bench_bundle.js";
import type { Fleet } from "../fleet/fleet.js";
import { DEFAULT_ENGINE, fleetOptions } from "../fleet/fleet_options.js";
import { LoadClient } from "../load/load_client.js";
import { LoadRunner } from "../load/load_runner.js";
import type { PlannedRequest } from "../load/planned_request.js";
import type { RequestResult } from "../load/request_result.js";
import { readProcessUsage } from "../measure/process_usage.js";
import { percentile } from "../percentile.js";
import { ratio, round, sum } from "../report/load_summary.js";
import { atMost, below, exactly } from "../report/target.js";
import {
  Experiment,
  type ExperimentOptions,
  type ExperimentResult,
} from "./experiment.js";
import { accountsOf, wikiPlan } from "./plans.js";

const REQUESTS_PER_S = 200;
const ROUND_MS = 10_000;
/**
 * Number of rounds of each arm. The two arms take turns, so that a slow phase
 * of the machine affects both.
 */
const ROUNDS_PER_ARM = 3;
const WARM_UP_MS = 4000;
const PASS_THROUGH_SCRIPT = fileURLToPath(
  new URL("../pass_through_main.js", import.meta.url),
);

/** Engines that are never the bottleneck at the rate of this experiment. */
const FAST_ENGINE = {
  ...DEFAULT_ENGINE,
  maxBatch: 256,
  prefillTokensPerS: 5_000_000,
  decodeBaseMs: 10,
  decodePerRequestMs: 0,
};

interface ArmProcess {
  readonly url: string;
  readonly pids: readonly number[];
}

interface ArmFigures {
  readonly requests: number;
  readonly answered_whole: number;
  readonly reasons: Readonly<Record<string, number>>;
  readonly first_byte_p50_ms: number;
  readonly first_byte_p99_ms: number;
  /**
   * Processor time of the router or the pass-through proxy. The engines are not
   * included.
   */
  readonly processor_ms_per_request: number;
  readonly resident_mb: number;
  readonly peak_resident_mb: number;
}

/** Compares the router with a minimal proxy in front of the same engines. */
export class OverheadExperiment extends Experiment {
  readonly name = "overhead";
  readonly summary = "time and memory that the router adds to a pass-through";

  override async run(options: ExperimentOptions): Promise<ExperimentResult> {
    const accounts = accountsOf(options.accounts);
    const settings = fleetOptions(options.seed, {
      routerCount: 1,
      engineCount: options.engines ?? 6,
      serviceCount: 0,
      bundle: benchBundle({
        accounts,
        model: {
          max_concurrent_requests: FAST_ENGINE.maxBatch,
          max_queued_requests: 1024,
          load_bound_multiple: 10,
          load_floor_tokens: 10_000_000,
        },
      }),
      engine: FAST_ENGINE,
    });
    return await this.withFleet(
      settings,
      (fleet) => this.#compare(fleet, options),
    );
  }

  async #compare(
    fleet: Fleet,
    options: ExperimentOptions,
  ): Promise<ExperimentResult> {
    const arms = {
      pass_through: await startPassThrough(fleet),
      router: routerArm(fleet),
    };
    const rounds = { pass_through: [], router: [] } as Record<
      keyof typeof arms,
      RoundMeasurement[]
    >;
    const durationMs = options.durationMs ?? ROUND_MS;
    for (const name of ["pass_through", "router"] as const) {
      await runRound(arms[name], planFor(options, -1, WARM_UP_MS), options);
    }
    for (let i = 0; i < ROUNDS_PER_ARM; i++) {
      for (const name of ["pass_through", "router"] as const) {
        options.log(`round ${i + 1} of ${ROUNDS_PER_ARM}, arm ${name}`);
        const plan = planFor(options, i, durationMs);
        rounds[name].push(await runRound(arms[name], plan, options));
      }
    }
    const passThrough = figuresOf(rounds.pass_through, arms.pass_through);
    const router = figuresOf(rounds.router, arms.router);
    return {
      arms: { pass_through: passThrough, router },
      targets: [
        atMost(
          "added to first byte at p99, ms",
          round(router.first_byte_p99_ms - passThrough.first_byte_p99_ms, 2),
          2,
        ),
        atMost(
          "processor time, router / pass-through",
          ratio(
            router.processor_ms_per_request,
            passThrough.processor_ms_per_request,
          ),
          3,
        ),
        below("resident MB of the router", router.peak_resident_mb, 150),
        exactly("answered whole", router.answered_whole, router.requests),
      ],
    };
  }
}

/** Results of one arm in one round. */
interface RoundMeasurement {
  readonly results: readonly RequestResult[];
  readonly processorMs: number;
}

async function runRound(
  arm: ArmProcess,
  plan: readonly PlannedRequest[],
  options: ExperimentOptions,
): Promise<RoundMeasurement> {
  const client = new LoadClient({
    routerUrls: () => [arm.url],
    model: MODEL_NAME,
    clientKeys: clientKeys(accountsOf(options.accounts)),
  });
  const beforeMs = processorMs(arm);
  const results = await new LoadRunner(client).run(plan);
  const afterMs = processorMs(arm);
  await client.dispose();
  return { results, processorMs: afterMs - beforeMs };
}

/** Returns the plan of a round, which is the same for both arms. */
function planFor(
  options: ExperimentOptions,
  roundIndex: number,
  durationMs: number,
): PlannedRequest[] {
  return wikiPlan(options.seed * 100 + roundIndex, {
    durationMs,
    requestsPerS: REQUESTS_PER_S,
    accounts: accountsOf(options.accounts),
  });
}

async function startPassThrough(fleet: Fleet): Promise<ArmProcess> {
  const args = fleet.engines.flatMap((engine) => [
    "--target",
    engine.backend.url,
  ]);
  const child = fleet.processes.start(
    "pass-through",
    PASS_THROUGH_SCRIPT,
    args,
  );
  const ready = await child.ready();
  return { url: String(ready["url"]), pids: [child.pid] };
}

function routerArm(fleet: Fleet): ArmProcess {
  const router = fleet.routers[0]!;
  return { url: router.httpUrl, pids: [router.process.pid] };
}

function processorMs(arm: ArmProcess): number {
  return sum(arm.pids, (pid) => readProcessUsage(pid)?.processorMs ?? NaN);
}

function figuresOf(
  rounds: readonly RoundMeasurement[],
  arm: ArmProcess,
): ArmFigures {
  const results = rounds.flatMap((measurement) => measurement.results);
  const whole = results.filter((result) => result.verdict === "whole");
  const firstBytes = whole.flatMap((result) => result.firstByteMs ?? []);
  const usages = arm.pids.flatMap((pid) => readProcessUsage(pid) ?? []);
  const reasons: Record<string, number> = {};
  for (const result of results) {
    if (result.verdict !== "whole") {
      const key = `${result.verdict}:${result.status}:${result.reason}`;
      reasons[key] = (reasons[key] ?? 0) + 1;
    }
  }
  return {
    requests: results.length,
    answered_whole: whole.length,
    reasons,
    first_byte_p50_ms: round(percentile(firstBytes, 50), 2),
    first_byte_p99_ms: round(percentile(firstBytes, 99), 2),
    processor_ms_per_request: round(
      sum(rounds, (measurement) => measurement.processorMs) / results.length,
      3,
    ),
    resident_mb: round(sum(usages, (usage) => usage.residentMb)),
    peak_resident_mb: round(sum(usages, (usage) => usage.peakResidentMb)),
  };
}
