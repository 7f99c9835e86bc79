import { benchBundle } from "../fleet/bench_bundle.js";
import type { Fleet } from "../fleet/fleet.js";
import {
  DEFAULT_ENGINE,
  fleetOptions,
  poolLimits,
} from "../fleet/fleet_options.js";
import { sleep } from "../load/load_runner.js";
import { runSession } from "../measure/load_session.js";
import {
  type TrafficBreakdown,
  TrafficSnapshot,
  unaccountedFraction,
} from "../measure/traffic_snapshot.js";
import { round } from "../report/load_summary.js";
import { atMost, type Target } from "../report/target.js";
import {
  Experiment,
  type ExperimentOptions,
  type ExperimentResult,
} from "./experiment.js";
import { accountsOf, wikiPlan } from "./plans.js";

const PHASE_MS = 15_000;
/**
 * Present request rate of a router: 5 requests/s according to docs/design.md.
 */
const REQUESTS_PER_S_PER_ROUTER = 5;
const CONTROL_LIMIT_BYTES_PER_S = 4000;
/** Engines that serve ten times the present traffic without a queue. */
const ENGINE = {
  ...DEFAULT_ENGINE,
  maxBatch: 16,
  prefillTokensPerS: 40_000,
  decodePerRequestMs: 0.5,
};
const MAX_MISSED_SHARE = 0.02;

interface ControlPhase extends TrafficBreakdown {
  readonly requests_per_s: number;
  /** Bytes that the proxies of all routers and sidecars forwarded. */
  readonly proxied_bytes: number;
  /**
   * Difference between the reported bytes and `proxied_bytes`, as a fraction of
   * `proxied_bytes`. See {@link unaccountedFraction}.
   */
  readonly missed_share: number;
}

/**
 * Measures the control traffic of a router in three phases: without requests,
 * at the present request rate and at ten times that rate.
 */
export class ControlExperiment extends Experiment {
  readonly name = "control";
  readonly summary = "control traffic of a router, idle and under load";

  override async run(options: ExperimentOptions): Promise<ExperimentResult> {
    const routers = options.routers ?? 3;
    const settings = fleetOptions(options.seed, {
      routerCount: routers,
      engineCount: options.engines ?? 12,
      serviceCount: 0,
      hasFaultProxies: true,
      hasRouterProxies: true,
      engine: ENGINE,
      bundle: benchBundle({
        accounts: accountsOf(options.accounts),
        model: poolLimits(ENGINE),
      }),
    });
    const presentRequestsPerS = routers * REQUESTS_PER_S_PER_ROUTER;
    const arms = await this.withFleet(settings, async (fleet) => {
      const phases: Record<string, ControlPhase> = {};
      for (
        const [name, requestsPerS] of [
          ["idle", 0],
          ["today", presentRequestsPerS],
          ["ten_times", 10 * presentRequestsPerS],
        ] as const
      ) {
        options.log(`phase ${name}`);
        phases[name] = await runPhase(fleet, requestsPerS, options);
      }
      return phases;
    });
    return { arms, targets: targetsOf(arms) };
  }
}

async function runPhase(
  fleet: Fleet,
  requestsPerS: number,
  options: ExperimentOptions,
): Promise<ControlPhase> {
  const durationMs = options.durationMs ?? PHASE_MS;
  const before = await TrafficSnapshot.take(fleet);
  if (requestsPerS === 0) {
    await sleep(durationMs);
  } else {
    const accounts = accountsOf(options.accounts);
    const plan = wikiPlan(options.seed + requestsPerS, {
      durationMs,
      requestsPerS,
      accounts,
    });
    await runSession(fleet, plan, { accounts });
  }
  const after = await TrafficSnapshot.take(fleet);
  const breakdown = after.since(before);
  const proxiedBytes = after.proxiedBytes - before.proxiedBytes;
  const reportedBytes = breakdown.breakdown_bytes + after.sidecarBytes -
    before.sidecarBytes;
  return {
    requests_per_s: requestsPerS,
    ...breakdown,
    proxied_bytes: proxiedBytes,
    missed_share: round(unaccountedFraction(reportedBytes, proxiedBytes), 4),
  };
}

function targetsOf(arms: Readonly<Record<string, ControlPhase>>): Target[] {
  const trafficTargets = ["idle", "today"].map((phase) =>
    atMost(
      `control bytes/s of a router, ${phase}`,
      arms[phase]!.control_bytes_per_router_per_s_max,
      CONTROL_LIMIT_BYTES_PER_S,
    )
  );
  const breakdownTargets = Object.entries(arms).map(([phase, figures]) =>
    atMost(
      `share by which the breakdown misses the sockets, ${phase}`,
      figures.missed_share,
      MAX_MISSED_SHARE,
    )
  );
  return [...trafficTargets, ...breakdownTargets];
}
