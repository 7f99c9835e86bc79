import { ChurnExperiment } from "./churn_experiment.js";
import { ConfigExperiment } from "./config_experiment.js";
import { ControlExperiment } from "./control_experiment.js";
import { DrainExperiment } from "./drain_experiment.js";
import type { Experiment } from "./experiment.js";
import { OverheadExperiment } from "./overhead_experiment.js";
import { RepeatExperiment } from "./repeat_experiment.js";
import { SilentExperiment } from "./silent_experiment.js";
import { SkewExperiment } from "./skew_experiment.js";
import { SlopesExperiment } from "./slopes_experiment.js";
import { SurgeExperiment } from "./surge_experiment.js";

/** All experiments, in the order of the table in docs/design.md. */
export const EXPERIMENTS: readonly Experiment[] = [
  new ChurnExperiment(),
  new SkewExperiment(),
  new SurgeExperiment(),
  new RepeatExperiment(),
  new SilentExperiment(),
  new DrainExperiment(),
  new ConfigExperiment(),
  new ControlExperiment(),
  new OverheadExperiment(),
  new SlopesExperiment(),
];
