import { z } from "zod";
import type { Millis } from "../clock.js";

/** Largest limit that is believed, in requests a second. */
const MAX_LIMIT_PER_S = 1_000_000;

/** Fraction of a second's requests that routers may save up, all together. */
const SAVED_FRACTION = 0.5;

/**
 * Number of routers that may save up a request each, beyond the limit itself. The
 * platform allows 5 requests more than the limit.
 */
const EXTRA_ROUTERS = 3;

/** Tolerance for rounding errors of the additions, in requests. */
const ROUNDING_TOLERANCE = 1e-9;

/** What an endpoint asks of all routers together, as routers tell each other. */
export const LimitReportSchema = z.object({
  endpointId: z.string().min(1).max(253),
  incarnation: z.number(),
  /** Counts the changes; of two reports the one with the higher one holds. */
  limitVersion: z.int().nonnegative(),
  /** Absent if the endpoint names no limit any more. */
  limitPerS: z.number().positive().max(MAX_LIMIT_PER_S).optional(),
});
export type LimitReport = z.infer<typeof LimitReportSchema>;

/** This router's part of a limit that holds for all routers together. */
export interface LimitShare {
  /** Number of routers that share the limit. */
  readonly routers: number;
  /** Whether this router is one of them. */
  readonly isMember: boolean;
  /**
   * Whether a router that begins to share the limit keeps what it has saved up, and
   * what it gets for the time before. It starts empty by default.
   */
  readonly keepsSaved?: boolean;
}

/** Whether an endpoint can mean a limit, which the dialect decoded, seriously. */
export function isCredibleLimit(limitPerS: number): boolean {
  return limitPerS > 0 && limitPerS <= MAX_LIMIT_PER_S;
}

/**
 * Number of routers that share a limit. Each must be able to save up one whole
 * request, and all of these together must stay within what the platform allows,
 * so in a large fleet only some routers use an endpoint with a low limit.
 */
export function sharingRouters(limitPerS: number, fleetSize: number): number {
  return Math.min(fleetSize, Math.floor(limitPerS) + EXTRA_ROUTERS);
}

/**
 * Limit of the requests to one endpoint from all routers together.
 *
 * Each router may send an equal share of the requests of each second and saves up
 * what it does not use to a small maximum. A new process has saved up nothing, so
 * restarts add nothing to what the endpoint gets. Nor has a router that begins to
 * share the limit when the known routers change, unless its share says otherwise.
 */
export class RequestLimit {
  readonly #savedFraction: number;
  #limitPerS: number | undefined;
  #version = 0;
  #saved = 0;
  /** This router's share when it last saved; undefined if it has not yet. */
  #sharePerS: number | undefined;
  #updatedMs: Millis = 0;

  /** @param savedFraction Fraction of a second's requests that may be saved up. */
  constructor(savedFraction = SAVED_FRACTION) {
    this.#savedFraction = savedFraction;
  }

  /** Requests a second from all routers together; undefined if not limited. */
  get limitPerS(): number | undefined {
    return this.#limitPerS;
  }

  get version(): number {
    return this.#version;
  }

  /** Applies what an answer names. Returns whether it differs from before. */
  observe(nowMs: Millis, limitPerS: number | undefined): boolean {
    if (limitPerS === this.#limitPerS) {
      return false;
    }
    this.#set(nowMs, limitPerS, this.#version + 1);
    return true;
  }

  /**
   * Applies what another router reports. Of two reports of the same version, the
   * lower limit holds.
   */
  merge(
    nowMs: Millis,
    { limitPerS, limitVersion }: LimitReport,
  ): boolean {
    const isNewer = limitVersion > this.#version ||
      limitVersion === this.#version &&
        (limitPerS ?? Infinity) < (this.#limitPerS ?? Infinity);
    if (!isNewer) {
      return false;
    }
    this.#set(nowMs, limitPerS, limitVersion);
    return true;
  }

  /** Time until this router may send a request; `Infinity` if it must not. */
  waitMs(nowMs: Millis, share: LimitShare): Millis {
    if (this.#limitPerS === undefined) {
      return 0;
    }
    if (share.isMember || !share.keepsSaved) {
      this.#save(nowMs, share);
    }
    if (!share.isMember) {
      return Infinity;
    }
    const missing = 1 - this.#saved - ROUNDING_TOLERANCE;
    return missing <= 0 ? 0 : missing * 1000 * share.routers / this.#limitPerS;
  }

  /** Records that this router sends a request. */
  consume(nowMs: Millis, share: LimitShare): void {
    if (this.#limitPerS !== undefined) {
      this.#save(nowMs, share);
      this.#saved = Math.max(0, this.#saved - 1);
    }
  }

  #set(nowMs: Millis, limitPerS: number | undefined, version: number): void {
    if (this.#limitPerS === undefined) {
      this.#saved = 0;
      this.#sharePerS = undefined;
      this.#updatedMs = nowMs;
    }
    this.#limitPerS = limitPerS;
    this.#version = version;
  }

  #save(nowMs: Millis, { isMember, keepsSaved, routers }: LimitShare): void {
    const perS = isMember ? this.#limitPerS! / routers : 0;
    const elapsedMs = Math.max(0, nowMs - this.#updatedMs);
    // It is not known when the share has changed since.
    const savedPerS = keepsSaved
      ? perS
      : Math.min(perS, this.#sharePerS ?? perS);
    const maxSaved = isMember || keepsSaved
      ? Math.max(1, perS * this.#savedFraction)
      : 0;
    this.#saved = Math.min(
      maxSaved,
      this.#saved + savedPerS * elapsedMs / 1000,
    );
    this.#sharePerS = perS;
    this.#updatedMs = Math.max(this.#updatedMs, nowMs);
  }
}
