import type { Millis } from "../clock.js";
import type { StreamRecord } from "./stream_origins.js";

/** Time within which the caller of a stream that broke off takes it up. */
const RETENTION_MS: Millis = 10_000;

interface TimedRecord {
  readonly begunMs: Millis;
  readonly record: StreamRecord;
}

/** Streams that began at this router of late, also if they have broken off. */
export class RecentStreams {
  #streams: TimedRecord[] = [];
  #expiredCount = 0;

  add(nowMs: Millis, record: StreamRecord): void {
    this.#streams.push({ begunMs: nowMs, record });
    this.#removeExpired(nowMs);
  }

  /** Streams of some services that are not older than the retention time. */
  of(nowMs: Millis, services: ReadonlySet<string>): StreamRecord[] {
    return this.#streams
      .filter(({ begunMs, record }) =>
        nowMs - begunMs < RETENTION_MS && services.has(record.origin.service)
      )
      .map(({ record }) => record);
  }

  /** Copies the list only when half of it has expired. */
  #removeExpired(nowMs: Millis): void {
    while (
      this.#expiredCount < this.#streams.length &&
      nowMs - this.#streams[this.#expiredCount]!.begunMs >= RETENTION_MS
    ) {
      this.#expiredCount++;
    }
    if (this.#expiredCount * 2 >= this.#streams.length) {
      this.#streams = this.#streams.slice(this.#expiredCount);
      this.#expiredCount = 0;
    }
  }
}
