import { Fleet } from "../fleet/fleet.js";
import type { FleetOptions } from "../fleet/fleet_options.js";
import type { Target } from "../report/target.js";

/** Flags of `npm run bench`; each experiment has defaults for absent flags. */
export interface ExperimentOptions {
  readonly seed: number;
  readonly routers?: number;
  readonly engines?: number;
  readonly accounts?: number;
  readonly durationMs?: number;
  /** Prints a progress message, which is not part of the JSON output. */
  readonly log: (text: string) => void;
}

export interface ExperimentResult {
  readonly arms: Readonly<Record<string, unknown>>;
  readonly targets: readonly Target[];
}

/**
 * A benchmark with one or more arms. Most experiments run the same load once
 * for each arm: the policy of the fleet is one arm, and the baselines to
 * compare the policy with are the others.
 */
export abstract class Experiment {
  abstract readonly name: string;
  abstract readonly summary: string;

  abstract run(options: ExperimentOptions): Promise<ExperimentResult>;

  /** Runs `body` with a new fleet; ends the fleet even when `body` throws. */
  protected async withFleet<T>(
    options: FleetOptions,
    body: (fleet: Fleet) => Promise<T>,
  ): Promise<T> {
    const fleet = await Fleet.start(options);
    try {
      return await body(fleet);
    } finally {
      await fleet.dispose();
    }
  }
}
