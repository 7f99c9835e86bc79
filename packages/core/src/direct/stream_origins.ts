import type { Millis } from "../clock.js";

/** Service and software version of the endpoint that began a stream. */
export interface StreamOrigin {
  readonly service: string;
  /** Undefined if the endpoint's entry names no version. */
  readonly softwareVersion: string | undefined;
  /**
   * The process that began the stream may have been another one than that of the
   * endpoint's entry. No version is then known to fit.
   */
  readonly isUncertain?: boolean | undefined;
}

/** Origin of the stream that a call began. */
export interface StreamRecord {
  readonly callId: string;
  readonly origin: StreamOrigin;
}

/**
 * An origin is kept for at least this long, and for less than twice as long.
 * Streams last seconds, and their callers return at once.
 */
export const ORIGIN_RETENTION_MS: Millis = 60_000;

/** Maximum number of origins that are added within the retention time. */
const MAX_ORIGINS = 50_000;

/**
 * Which software version began each stream of late, by the id of the call that
 * brought its first event.
 */
export class StreamOrigins {
  #recent = new Map<string, StreamOrigin>();
  #older: ReadonlyMap<string, StreamOrigin> = new Map();
  #periodStartMs: Millis = 0;

  /** Keeps the first origin of a stream, unless a later one is uncertain. */
  record(nowMs: Millis, callId: string, origin: StreamOrigin): void {
    this.#removeExpired(nowMs);
    if (
      origin.isUncertain ||
      this.#recent.size < MAX_ORIGINS && this.get(callId) === undefined
    ) {
      this.#recent.set(callId, origin);
    }
  }

  get(callId: string): StreamOrigin | undefined {
    return this.#recent.get(callId) ?? this.#older.get(callId);
  }

  /** Whether a stream of this service began at another version of late. */
  hasOtherVersion({ service, softwareVersion }: StreamOrigin): boolean {
    return [this.#recent, this.#older].some((origins) =>
      [...origins.values()].some((origin) =>
        origin.service === service && origin.softwareVersion !== softwareVersion
      )
    );
  }

  #removeExpired(nowMs: Millis): void {
    const elapsedMs = nowMs - this.#periodStartMs;
    if (elapsedMs < ORIGIN_RETENTION_MS) {
      return;
    }
    this.#older = elapsedMs < 2 * ORIGIN_RETENTION_MS
      ? this.#recent
      : new Map();
    this.#recent = new Map();
    this.#periodStartMs = nowMs;
  }
}
