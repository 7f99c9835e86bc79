import type { Millis } from "../clock.js";
import type { DirectState } from "../direct/direct_state.js";

/**
 * Requests that are sent within this time may reach an endpoint within one
 * second, since some take longer than others.
 */
const WINDOW_S = 1.1;

/** Requests that a router may save up, as a fraction of its share of a second's. */
export const COLD_SAVED_FRACTION = 0.2;

/**
 * Fraction of the requests that the platform allows in one second. The rest is for
 * routers that know different parts of the fleet, so that too many count
 * themselves among those that share an endpoint.
 */
const USED_FRACTION = 0.75;

/** Tolerance for rounding errors, in requests. */
const ROUNDING_TOLERANCE = 1e-9;

/** Most requests that one router sends within the window. */
function mostInWindow(perS: number): number {
  const saved = Math.max(1, perS * COLD_SAVED_FRACTION);
  return Math.floor(saved + perS * WINDOW_S + ROUNDING_TOLERANCE);
}

/**
 * What a cold endpoint of a service takes from all routers together, and how many of
 * them share it.
 */
export class ColdRule {
  /** Time for which an endpoint is cold after its start; undefined if it is not. */
  readonly startMs: Millis | undefined;
  readonly #perS: number;
  readonly #overrun: number;
  readonly #slack: number;

  constructor(options: {
    readonly startMs: Millis | undefined;
    /** Requests a second that a cold endpoint handles. */
    readonly perS: number;
    /** Multiple of `perS` that the platform allows in one second. */
    readonly overrun: number;
    /** Requests that the platform allows in one second in addition. */
    readonly slack: number;
  }) {
    this.startMs = options.startMs;
    this.#perS = options.perS;
    this.#overrun = options.overrun;
    this.#slack = options.slack;
  }

  /**
   * Requests a second from all routers together.
   *
   * @param factor Multiple of the rate of a cold endpoint.
   */
  limitPerS(factor: number): number {
    // One router that has saved up requests must stay within the window too.
    const maxPerS = this.#maxInWindow(factor) /
      (COLD_SAVED_FRACTION + WINDOW_S);
    return Math.min(this.#perS * factor, maxPerS);
  }

  /**
   * Number of routers that share an endpoint: the most whose requests within the
   * window stay within what is allowed, whenever each of them sends.
   */
  sharingRouters(factor: number, fleetSize: number): number {
    const max = this.#maxInWindow(factor);
    const limitPerS = this.limitPerS(factor);
    let routers = Math.min(fleetSize, Math.floor(max));
    while (routers > 0 && routers * mostInWindow(limitPerS / routers) > max) {
      routers--;
    }
    return routers;
  }

  /** Most requests that the routers may send within the window. */
  #maxInWindow(factor: number): number {
    const allowed = this.#perS * factor * this.#overrun + this.#slack;
    return Math.min(allowed, Math.max(1, allowed * USED_FRACTION));
  }
}

/** Rule for a service; undefined if cold endpoints are not told apart. */
export function coldRuleOf(
  { configIndex, options }: DirectState,
  serviceName: string,
): ColdRule | undefined {
  const { coldOverrun, coldSlack = 0 } = options;
  const service = configIndex?.service(serviceName);
  return coldOverrun === undefined || !service?.coldPerS
    ? undefined
    : new ColdRule({
      startMs: service.coldStartMs,
      perS: service.coldPerS,
      overrun: coldOverrun,
      slack: coldSlack,
    });
}
