import type { Bundle } from "@anvildeal/core";
import { AdminCallError } from "../fleet/admin_client.js";
import { benchBundle } from "../fleet/bench_bundle.js";
import type { Fleet } from "../fleet/fleet.js";
import {
  DEFAULT_ENGINE,
  fleetOptions,
  poolLimits,
} from "../fleet/fleet_options.js";
import { callJson } from "../fleet/json_client.js";
import { sleep } from "../load/load_runner.js";
import {
  ConfigMonitor,
  type ConfigSummary,
} from "../measure/config_monitor.js";
import { round } from "../report/load_summary.js";
import { atLeast, atMost, exactly } from "../report/target.js";
import { SeededRandom } from "../seeded_random.js";
import {
  Experiment,
  type ExperimentOptions,
  type ExperimentResult,
} from "./experiment.js";
import { accountsOf } from "./plans.js";

const DURATION_MS = 34_000;
const OPERATOR_COUNT = 2;
const CHANGE_PERIOD_MS = 700;
/**
 * Four routers in each of three failure domains. In the arm with elected
 * watchers, two of the four routers of a domain watch the configuration.
 */
const ROUTER_COUNT = 12;
const CONVERGENCE_LIMIT_MS = 2000;

interface ConfigArm extends ConfigSummary {
  readonly changes_proposed: number;
  readonly changes_accepted: number;
  readonly changes_lost_to_others: number;
  readonly changes_failed: number;
  readonly store_calls_per_s: number;
  readonly store_calls: Readonly<Record<string, number>>;
}

/**
 * Measures convergence while operators change the configuration concurrently.
 * Meanwhile, the store has outages and loses answers, one router starts late
 * and another router is paused.
 */
export class ConfigExperiment extends Experiment {
  readonly name = "config";
  readonly summary = "no reverts and convergence under store faults";

  override async run(options: ExperimentOptions): Promise<ExperimentResult> {
    const arms: Record<string, ConfigArm> = {};
    for (const watchMode of ["always", "elected"] as const) {
      const name = watchMode === "always" ? "every_router_watches" : "policy";
      options.log(`arm ${name}`);
      arms[name] = await this.#runArm(watchMode, options);
    }
    const policy = arms["policy"]!;
    return {
      arms,
      targets: [
        atLeast("accepted changes", policy.changes_accepted, 1),
        exactly("reverts", policy.reverts, 0),
        exactly(
          "routers on a version never accepted",
          policy.versions_never_accepted,
          0,
        ),
        atMost(
          "in force after acceptance while the store answers, ms",
          policy.converge_max_ms,
          CONVERGENCE_LIMIT_MS,
        ),
        exactly("changes that did not converge", policy.never_converged, 0),
      ],
    };
  }

  #runArm(
    watchMode: "always" | "elected",
    options: ExperimentOptions,
  ): Promise<ConfigArm> {
    const durationMs = options.durationMs ?? DURATION_MS;
    const settings = fleetOptions(options.seed, {
      routerCount: options.routers ?? ROUTER_COUNT,
      engineCount: options.engines ?? 3,
      serviceCount: 0,
      router: { watch_config: watchMode },
    });
    return this.withFleet(settings, async (fleet) => {
      const monitor = new ConfigMonitor(fleet);
      const statsBefore = await readStoreStats(fleet);
      const startMs = performance.now();
      const counts = { proposed: 0, accepted: 0, conflicted: 0, failed: 0 };
      const random = new SeededRandom(options.seed);
      await Promise.all([
        ...Array.from(
          { length: OPERATOR_COUNT },
          (_, i) =>
            rollOutChangesRepeatedly(fleet, monitor, counts, {
              router: i,
              random: random.fork(i),
              endMs: startMs + durationMs,
              options,
            }),
        ),
        injectFaults(fleet, monitor, durationMs),
      ]);
      // The last change may not have reached every router yet.
      await sleep(CONVERGENCE_LIMIT_MS + 1000);
      const elapsedS = (performance.now() - startMs) / 1000;
      const statsAfter = await readStoreStats(fleet);
      const summary = monitor.summarize();
      monitor.dispose();
      return {
        ...summary,
        changes_proposed: counts.proposed,
        changes_accepted: counts.accepted,
        changes_lost_to_others: counts.conflicted,
        changes_failed: counts.failed,
        // Excludes the reads of the monitor. Includes the calls that propose
        // and activate changes; the number of these calls is about the same in
        // both arms.
        store_calls_per_s: round(
          (statsAfter.total - statsBefore.total - monitor.storeReads) /
            elapsedS,
        ),
        store_calls: Object.fromEntries(
          Object.entries(statsAfter.calls).map(([kind, count]) => [
            kind,
            count - (statsBefore.calls[kind] ?? 0),
          ]),
        ),
      };
    });
  }
}

interface StoreStats {
  readonly total: number;
  readonly calls: Readonly<Record<string, number>>;
}

/** Reads how many calls the object API has served so far. */
async function readStoreStats(fleet: Fleet): Promise<StoreStats> {
  const answer = await callJson(`${fleet.objectApi.controlUrl}/stats`);
  return answer.body as StoreStats;
}

/**
 * Rolls out changes as one operator until `endMs`, a value of
 * `performance.now()`.
 */
async function rollOutChangesRepeatedly(
  fleet: Fleet,
  monitor: ConfigMonitor,
  counts: {
    proposed: number;
    accepted: number;
    conflicted: number;
    failed: number;
  },
  { router, random, endMs, options }: {
    /** Index of the router whose administration API this operator uses. */
    readonly router: number;
    readonly random: SeededRandom;
    readonly endMs: number;
    readonly options: ExperimentOptions;
  },
): Promise<void> {
  while (performance.now() < endMs) {
    await sleep(random.exponential(CHANGE_PERIOD_MS));
    counts.proposed++;
    try {
      const version = await fleet.adminClient(router)
        .rollOut(bundleWithRandomLimit(random, options));
      counts.accepted++;
      monitor.recordAccepted(version);
    } catch (error) {
      // A change whose answer was lost may still have been accepted. The
      // monitor then finds the new version in the store.
      const isConflict = error instanceof AdminCallError &&
        error.code === "conflict";
      counts[isConflict ? "conflicted" : "failed"]++;
    }
  }
}

function bundleWithRandomLimit(
  random: SeededRandom,
  options: ExperimentOptions,
): Bundle {
  return benchBundle({
    accounts: accountsOf(options.accounts),
    model: {
      ...poolLimits(DEFAULT_ENGINE),
      max_queued_requests: random.int(32, 4096),
    },
  });
}

async function injectFaults(
  fleet: Fleet,
  monitor: ConfigMonitor,
  durationMs: number,
): Promise<void> {
  const store = fleet.objectApi;
  const injectAt = async (fraction: number, fault: () => Promise<void>) => {
    await sleep(durationMs * fraction);
    await fault();
  };
  const simulateOutage = async (faults: object, outageMs: number) => {
    monitor.isStoreAvailable = false;
    await fleet.setFaults(store, faults);
    await sleep(outageMs);
    await fleet.setFaults(store, { outage: "none", slow_ms: 0 });
    monitor.isStoreAvailable = true;
  };
  await Promise.all([
    injectAt(0.15, () =>
      fleet.setFaults(store, {
        drop_answers: { key_prefix: "config/active", next_writes: 3 },
      })),
    injectAt(0.3, () => simulateOutage({ outage: "hang" }, 2500)),
    injectAt(0.5, () => simulateOutage({ outage: "refuse" }, 5000)),
    // This router starts while the object API is down and must fetch the
    // configuration from its peers.
    injectAt(0.53, async () => {
      await fleet.addRouter(1);
    }),
    injectAt(0.72, async () => {
      const paused = fleet.routers[0]!;
      monitor.exclude(paused.id);
      paused.process.pause();
      await sleep(4000);
      paused.process.resume();
      await sleep(CONVERGENCE_LIMIT_MS);
      monitor.include(paused.id);
    }),
    injectAt(0.9, () => simulateOutage({ slow_ms: 300 }, 1500)),
  ]);
}
