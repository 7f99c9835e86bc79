import type { Millis } from "../clock.js";
import type { DirectEndpoint } from "./direct_endpoint.js";
import type { EndpointRecord } from "./routing_config.js";
import {
  ORIGIN_RETENTION_MS,
  type StreamOrigin,
  type StreamRecord,
} from "./stream_origins.js";

/** Time within which the caller of a stream that broke off takes it up. */
const TAKE_UP_MS: Millis = 10_000;

interface BegunStream {
  readonly begunMs: Millis;
  readonly endpoint: DirectEndpoint;
  record: StreamRecord;
}

/** An origin before and after it became uncertain. */
export interface DoubtedStream {
  readonly record: StreamRecord;
  readonly previousOrigin: StreamOrigin;
}

/** Streams that began at this router of late, also if they have broken off. */
export class RecentStreams {
  #streams: BegunStream[] = [];
  #expiredCount = 0;

  add(nowMs: Millis, record: StreamRecord, endpoint: DirectEndpoint): void {
    this.#streams.push({ begunMs: nowMs, endpoint, record });
    this.#removeExpired(nowMs);
  }

  /** Streams of some services that callers may still take up. */
  of(nowMs: Millis, services: ReadonlySet<string>): StreamRecord[] {
    return this.#streams
      .filter(({ begunMs, record }) =>
        nowMs - begunMs < TAKE_UP_MS && services.has(record.origin.service)
      )
      .map(({ record }) => record);
  }

  /**
   * Makes the origins of streams uncertain that began at an endpoint since a time,
   * unless they fit the version of the process that the directory names now. Those
   * that began before the endpoint closed its connections are of the process before.
   */
  doubt(
    endpointId: string,
    sinceMs: Millis,
    { service, softwareVersion }: EndpointRecord,
  ): DoubtedStream[] {
    const doubted = this.#streams.filter((stream) => {
      const { begunMs, endpoint, record: { origin } } = stream;
      return endpoint.id === endpointId && begunMs >= sinceMs &&
        !endpoint.hasClosedConnectionsSince(begunMs) &&
        !origin.isUncertain && origin.service === service &&
        origin.softwareVersion !== softwareVersion;
    });
    return doubted.map((stream) => {
      const { callId, origin } = stream.record;
      stream.record = { callId, origin: { ...origin, isUncertain: true } };
      return { record: stream.record, previousOrigin: origin };
    });
  }

  /** Copies the list only when half of it has expired. */
  #removeExpired(nowMs: Millis): void {
    while (
      this.#expiredCount < this.#streams.length &&
      nowMs - this.#streams[this.#expiredCount]!.begunMs >= ORIGIN_RETENTION_MS
    ) {
      this.#expiredCount++;
    }
    if (this.#expiredCount * 2 >= this.#streams.length) {
      this.#streams = this.#streams.slice(this.#expiredCount);
      this.#expiredCount = 0;
    }
  }
}
