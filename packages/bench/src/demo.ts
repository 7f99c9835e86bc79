import { expectedAnswer } from "@anvildeal/stand-ins";
import {
  benchBundle,
  clientKeys,
  defaultAccounts,
  MODEL_NAME,
  SERVICE_NAME,
} from "./fleet/bench_bundle.js";
import { Fleet } from "./fleet/fleet.js";
import {
  DEFAULT_ENGINE,
  fleetOptions,
  poolLimits,
} from "./fleet/fleet_options.js";
import { GrantsWorkload } from "./load/grants_workload.js";
import { sleep } from "./load/load_runner.js";
import type { PlannedRequest } from "./load/planned_request.js";
import type { RequestResult } from "./load/request_result.js";
import { WikiWorkload } from "./load/wiki_workload.js";
import { DEFAULT_WORKLOAD_OPTIONS } from "./load/workload.js";
import { measureConvergence } from "./measure/config_convergence.js";
import {
  lastNewWorkAfterNoticeMs,
  type LeaveNotice,
} from "./measure/leave_notice.js";
import { runSession, type SessionSummary } from "./measure/load_session.js";
import { round } from "./report/load_summary.js";
import { atLeast, atMost, exactly, type Target } from "./report/target.js";
import { SeededRandom } from "./seeded_random.js";

const LOAD_MS = 18_000;
const CONFIG_CHANGE_AT_MS = 5000;
const REPLACEMENT_AT_MS = LOAD_MS / 2;
const WIKI_REQUESTS_PER_S = 40;
const GRANTS_REQUESTS_PER_S = 10;
const CONVERGENCE_TIMEOUT_MS = 10_000;
const CONVERGENCE_LIMIT_MS = 2000;
const MAX_NEW_WORK_AFTER_NOTICE_MS = 2000;
/**
 * Minimum cache hit ratio of returning chats. With random placement on twelve
 * engines, one in twelve prompts is already cached at its engine. A ratio below
 * this minimum shows that the fleet does not place chats by cache contents.
 */
const MIN_HIT_RATIO = 0.25;

/** Figures in the JSON output of the demo; scripts may rely on the names. */
export interface DemoFigures {
  readonly requests: number;
  readonly answered_whole: number;
  readonly wrong_answers: number;
  readonly duplicate_executions: number;
  readonly cut_streams: number;
  readonly returning_cache_hit_ratio: number;
  readonly oracle_cache_hit_ratio: number;
  readonly max_over_mean_load_p99: number;
  readonly control_bytes_per_router_per_s: number;
  readonly config_converge_max_ms: number;
  readonly router_rss_max_mb: number;
  readonly first_token_p95_ms: number;
  readonly reasons: Readonly<Record<string, number>>;
}

export interface DemoReport {
  readonly figures: DemoFigures;
  readonly expected: readonly Target[];
}

/** The JSON line that `--serve` prints once the fleet is ready. */
export interface ServeLine {
  readonly ready: true;
  readonly router_urls: readonly string[];
  readonly admin_urls: readonly string[];
  readonly object_api_url: string;
  readonly metrics_urls: readonly string[];
  readonly client_keys: Readonly<Record<string, string>>;
  readonly model: string;
  readonly service: string;
}

const accounts = defaultAccounts();

/**
 * Starts the fleet of the demo. If `isServing` (`--serve`), a signal is the
 * regular end of the demo and the exit code is 0. Otherwise a signal makes the
 * demo exit with an error code.
 */
export function startDemoFleet(
  seed: number,
  isServing: boolean,
): Promise<Fleet> {
  return Fleet.start(
    fleetOptions(seed, isServing ? { signalExitCode: 0 } : {}),
  );
}

export function serveLine(fleet: Fleet): ServeLine {
  return {
    ready: true,
    router_urls: fleet.routers.map((router) => router.httpUrl),
    admin_urls: fleet.routers.map((router) => router.adminUrl),
    object_api_url: fleet.objectApi.url,
    metrics_urls: fleet.routers.map((router) => router.metricsUrl),
    client_keys: clientKeys(accounts),
    model: MODEL_NAME,
    service: SERVICE_NAME,
  };
}

/**
 * Sends the load of the demo. While the load runs, changes the configuration
 * and replaces an engine.
 */
export async function runDemo(
  fleet: Fleet,
  seed: number,
): Promise<DemoReport> {
  let convergeMs = Infinity;
  let replacement: Replacement | undefined;
  const { results, summary } = await runSession(fleet, planDemo(seed), {
    accounts,
    during: async () => {
      await Promise.all([
        sleep(CONFIG_CHANGE_AT_MS).then(async () => {
          convergeMs = await measureRollOut(fleet);
        }),
        sleep(REPLACEMENT_AT_MS).then(async () => {
          replacement = await replaceEngine(fleet);
        }),
      ]);
    },
  });
  const figures = toDemoFigures(summary, convergeMs);
  const expected = [
    ...expectationsOf(figures),
    ...replacementExpectations(results, replacement),
  ];
  return { figures, expected };
}

interface Replacement {
  readonly notice: LeaveNotice;
  readonly successor: string;
}

async function replaceEngine(fleet: Fleet): Promise<Replacement> {
  const leaving = fleet.engines[0]!;
  const notice = { endpoint: leaving.id, atMs: REPLACEMENT_AT_MS };
  const successor = await fleet.replaceEndpoint(leaving, {
    isAnnounced: true,
  });
  return { notice, successor: successor.id };
}

function replacementExpectations(
  results: readonly RequestResult[],
  replacement: Replacement | undefined,
): Target[] {
  const resultsOfSuccessor = results.filter((result) =>
    result.endpoint !== undefined && result.endpoint === replacement?.successor
  );
  return [
    atLeast("requests run by the new endpoint", resultsOfSuccessor.length, 1),
    atMost(
      "last new work to the leaving endpoint after its notice, ms",
      replacement === undefined
        ? NaN
        : lastNewWorkAfterNoticeMs(results, [replacement.notice]),
      MAX_NEW_WORK_AFTER_NOTICE_MS,
    ),
  ];
}

function planDemo(seed: number): PlannedRequest[] {
  const random = new SeededRandom(seed);
  const commonOptions = {
    ...DEFAULT_WORKLOAD_OPTIONS,
    durationMs: LOAD_MS,
    accounts,
    answer: expectedAnswer,
  };
  const wiki = new WikiWorkload({
    ...commonOptions,
    requestsPerS: WIKI_REQUESTS_PER_S,
  });
  const grants = new GrantsWorkload({
    ...commonOptions,
    requestsPerS: GRANTS_REQUESTS_PER_S,
  });
  return [...wiki.plan(random.fork(1)), ...grants.plan(random.fork(2))]
    .sort((a, b) => a.atMs - b.atMs);
}

async function measureRollOut(fleet: Fleet): Promise<number> {
  const bundle = benchBundle({
    accounts,
    model: {
      ...poolLimits(DEFAULT_ENGINE),
      max_queued_requests: 96,
    },
  });
  const version = await fleet.adminClient(0).rollOut(bundle);
  return await measureConvergence(
    fleet.routers,
    version,
    performance.now(),
    CONVERGENCE_TIMEOUT_MS,
  );
}

function toDemoFigures(
  summary: SessionSummary,
  convergeMs: number,
): DemoFigures {
  const { load, skew, calls, routers } = summary;
  return {
    requests: load.requests,
    answered_whole: load.answered_whole,
    wrong_answers: load.wrong_answers,
    duplicate_executions: calls.duplicate_executions,
    cut_streams: load.cut_streams,
    returning_cache_hit_ratio: load.returning_cache_hit_ratio,
    oracle_cache_hit_ratio: load.oracle_cache_hit_ratio,
    max_over_mean_load_p99: skew.max_over_mean_load_p99,
    control_bytes_per_router_per_s: routers.control_bytes_per_router_per_s,
    config_converge_max_ms: round(convergeMs),
    router_rss_max_mb: routers.router_rss_max_mb,
    first_token_p95_ms: load.first_token_p95_ms,
    reasons: load.reasons,
  };
}

function expectationsOf(figures: DemoFigures): Target[] {
  return [
    exactly("answered whole", figures.answered_whole, figures.requests),
    exactly("wrong answers", figures.wrong_answers, 0),
    exactly("duplicate executions", figures.duplicate_executions, 0),
    exactly("cut streams", figures.cut_streams, 0),
    atLeast(
      "returning cache hit ratio",
      figures.returning_cache_hit_ratio,
      MIN_HIT_RATIO,
    ),
    atMost(
      "configuration in force on every router, ms",
      figures.config_converge_max_ms,
      CONVERGENCE_LIMIT_MS,
    ),
  ];
}
