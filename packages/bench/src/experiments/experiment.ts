import type { Fleet } from "../fleet/fleet.js";
import { Fleet as FleetLauncher } from "../fleet/fleet.js";
import type { FleetOptions } from "../fleet/fleet_options.js";
import type { Target } from "../report/target.js";

/** Flags of `npm run bench`; undefined leaves the choice to the experiment. */
export interface ExperimentOptions {
  readonly seed: number;
  readonly routers?: number;
  readonly engines?: number;
  readonly accounts?: number;
  readonly durationMs?: number;
  /** Reports progress to people; never part of the JSON. */
  readonly log: (text: string) => void;
}

export interface ExperimentResult {
  readonly arms: Readonly<Record<string, unknown>>;
  readonly targets: readonly Target[];
}

/** A scenario that runs baselines and policy in the same call. */
export abstract class Experiment {
  abstract readonly name: string;
  abstract readonly summary: string;

  abstract run(options: ExperimentOptions): Promise<ExperimentResult>;

  /** Runs `body` with a new fleet and ends the fleet in any case. */
  protected async withFleet<T>(
    options: FleetOptions,
    body: (fleet: Fleet) => Promise<T>,
  ): Promise<T> {
    const fleet = await FleetLauncher.start(options);
    try {
      return await body(fleet);
    } finally {
      await fleet.dispose();
    }
  }
}
