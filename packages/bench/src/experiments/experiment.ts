import type { Fleet } from "../fleet/fleet.js";
import { Fleet as FleetLauncher } from "../fleet/fleet.js";
import type { FleetOptions } from "../fleet/fleet_options.js";
import type { Target } from "../report/target.js";

/** Flags of `npm run bench`; an experiment has defaults for undefined ones. */
export interface ExperimentOptions {
  readonly seed: number;
  readonly routers?: number;
  readonly engines?: number;
  readonly accounts?: number;
  readonly durationMs?: number;
  /** Prints progress for people; not part of the JSON output. */
  readonly log: (text: string) => void;
}

export interface ExperimentResult {
  readonly arms: Readonly<Record<string, unknown>>;
  readonly targets: readonly Target[];
}

/** A scenario that measures the policy and its baselines in the same run. */
export abstract class Experiment {
  abstract readonly name: string;
  abstract readonly summary: string;

  abstract run(options: ExperimentOptions): Promise<ExperimentResult>;

  /** Runs `body` with a new fleet; ends the fleet also when `body` throws. */
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
