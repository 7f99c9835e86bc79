import { runSession } from "../measure/load_session.js";
import { TrafficSnapshot } from "../measure/traffic_snapshot.js";
import { benchBundle } from "../fleet/bench_bundle.js";
import type { Fleet } from "../fleet/fleet.js";
import {
  DEFAULT_ENGINE,
  type FleetOptions,
  fleetOptions,
  poolLimits,
} from "../fleet/fleet_options.js";
import { sleep } from "../load/load_runner.js";
import { fitLine, type LineFit } from "../report/line_fit.js";
import {
  Experiment,
  type ExperimentOptions,
  type ExperimentResult,
} from "./experiment.js";
import { accountsOf, wikiPlan } from "./plans.js";

const POINT_DURATION_MS = 4000;
const BASE_SIZE = {
  routers: 3,
  endpoints: 12,
  chats: 5,
  accounts: 10,
  config_changes_per_min: 0,
  requests_per_s: 15,
};
/** A quantity that may affect the cost of a router. */
type Dimension = keyof typeof BASE_SIZE;

const POINTS_BY_DIMENSION: Readonly<Record<Dimension, readonly number[]>> = {
  routers: [2, 4, 6, 8],
  endpoints: [6, 12, 18, 24],
  // New chats per second. This rate determines how many chats are active at a
  // time.
  chats: [2, 5, 10, 15],
  accounts: [10, 100, 1000, 4000],
  config_changes_per_min: [0, 30, 60, 120],
  requests_per_s: [10, 30, 60, 90],
};

/** Dimensions for which each point needs a new fleet. */
const FLEET_DIMENSIONS: ReadonlySet<Dimension> = new Set([
  "routers",
  "endpoints",
  "accounts",
]);

interface Point {
  readonly x: number;
  readonly control_bytes_per_router_per_s: number;
  readonly router_processor_share: number;
  readonly router_resident_mb: number;
}
type Metric = Exclude<keyof Point, "x">;

interface SlopeArm {
  readonly points: readonly Point[];
  readonly fits: Readonly<Record<Metric, LineFit>>;
}

/**
 * Measures the cost of a router while one dimension grows and the others stay
 * the same. The figures in docs/CAPACITY.md come from the fitted lines.
 */
export class SlopesExperiment extends Experiment {
  readonly name = "slopes";
  readonly summary = "cost of a router by size, one size at a time";

  override async run(options: ExperimentOptions): Promise<ExperimentResult> {
    const arms: Record<string, SlopeArm> = {};
    for (const dimension of Object.keys(POINTS_BY_DIMENSION) as Dimension[]) {
      const points = FLEET_DIMENSIONS.has(dimension)
        ? await this.#measureFleets(dimension, options)
        : await this.#measureOneFleet(dimension, options);
      arms[dimension] = { points, fits: fitsOf(points) };
    }
    return { arms, targets: [] };
  }

  async #measureFleets(
    dimension: Dimension,
    options: ExperimentOptions,
  ): Promise<Point[]> {
    const points: Point[] = [];
    for (const x of POINTS_BY_DIMENSION[dimension]) {
      options.log(`${dimension} = ${x}`);
      const size = { ...BASE_SIZE, [dimension]: x };
      points.push(
        await this.withFleet(
          fleetOf(size, options),
          (fleet) => measurePoint(fleet, x, size, options),
        ),
      );
    }
    return points;
  }

  /**
   * Measures all points with the same fleet. At a later point, memory that a
   * router allocated for an earlier point may still be resident.
   */
  #measureOneFleet(
    dimension: Dimension,
    options: ExperimentOptions,
  ): Promise<Point[]> {
    return this.withFleet(fleetOf(BASE_SIZE, options), async (fleet) => {
      const points: Point[] = [];
      for (const x of POINTS_BY_DIMENSION[dimension]) {
        options.log(`${dimension} = ${x}`);
        const size = { ...BASE_SIZE, [dimension]: x };
        points.push(await measurePoint(fleet, x, size, options));
      }
      return points;
    });
  }
}

function fleetOf(
  size: typeof BASE_SIZE,
  options: ExperimentOptions,
): FleetOptions {
  const accounts = accountsOf(size.accounts);
  return fleetOptions(options.seed, {
    routerCount: size.routers,
    engineCount: size.endpoints,
    serviceCount: 0,
    bundle: benchBundle({ accounts, model: poolLimits(DEFAULT_ENGINE) }),
  });
}

async function measurePoint(
  fleet: Fleet,
  x: number,
  size: typeof BASE_SIZE,
  options: ExperimentOptions,
): Promise<Point> {
  const accounts = accountsOf(size.accounts);
  const durationMs = options.durationMs ?? POINT_DURATION_MS;
  const plan = wikiPlan(options.seed, {
    durationMs,
    requestsPerS: size.requests_per_s,
    accounts,
    newChatProbability: Math.min(1, size.chats / size.requests_per_s),
    minPauseMs: 300,
  });
  const before = await TrafficSnapshot.take(fleet);
  await runSession(fleet, plan, {
    accounts,
    during: () => rollOutConfigChanges(fleet, size, durationMs),
  });
  const breakdown = (await TrafficSnapshot.take(fleet)).since(before);
  return {
    x,
    control_bytes_per_router_per_s: breakdown.control_bytes_per_router_per_s,
    router_processor_share: breakdown.router_processor_share,
    router_resident_mb: breakdown.router_resident_mb,
  };
}

async function rollOutConfigChanges(
  fleet: Fleet,
  size: typeof BASE_SIZE,
  durationMs: number,
): Promise<void> {
  const changes = Math.floor(size.config_changes_per_min * durationMs / 60_000);
  for (let i = 0; i < changes; i++) {
    await sleep(durationMs / changes);
    await fleet.adminClient(0).rollOut(benchBundle({
      accounts: accountsOf(size.accounts),
      model: {
        ...poolLimits(DEFAULT_ENGINE),
        max_queued_requests: 64 + i,
      },
    }));
  }
}

function fitsOf(points: readonly Point[]): Record<Metric, LineFit> {
  const fitMetric = (metric: Metric) =>
    fitLine(points.map((point) => ({ x: point.x, y: point[metric] })));
  return {
    control_bytes_per_router_per_s: fitMetric("control_bytes_per_router_per_s"),
    router_processor_share: fitMetric("router_processor_share"),
    router_resident_mb: fitMetric("router_resident_mb"),
  };
}
