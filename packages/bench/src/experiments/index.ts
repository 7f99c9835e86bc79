import { ChurnExperiment } from "./churn_experiment.js";
import type { Experiment } from "./experiment.js";
import { SkewExperiment } from "./skew_experiment.js";

/** In the order of the table in docs/design.md. */
export const EXPERIMENTS: readonly Experiment[] = [
  new ChurnExperiment(),
  new SkewExperiment(),
];
