import type { Millis } from "../clock.js";
import type { DirectEndpoint } from "./direct_endpoint.js";
import type { RequestTrait } from "./request_trait.js";

/** An attempt that broke off. */
export interface BrokenAttempt {
  /** Time from the start of the attempt. */
  readonly ranMs: Millis;
  /** Whether an earlier attempt of its request may have run elsewhere. */
  readonly isRetry: boolean;
  readonly traits: readonly RequestTrait[];
}

/** Attempts that broke off at an endpoint, while it is checked. */
export interface CrashCheck {
  readonly endpoint: DirectEndpoint;
  /** When the first of them broke off. */
  readonly brokenMs: Millis;
  readonly attempts: BrokenAttempt[];
}
