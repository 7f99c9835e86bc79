import {
  LOG_EVENTS,
  type LogEventName,
  type LogFields,
  type Millis,
} from "@anvildeal/core";
import type { Logger } from "../logging/index.js";

/** Lines that a process may write in a second; the others are counted. */
const MAX_LINES_PER_S = 400;

/** Bytes that may wait for a slow reader. */
const MAX_QUEUED_BYTES = 512 * 1024;

/** Characters of a text that a line holds; callers choose some texts. */
const MAX_TEXT_LENGTH = 300;

const WINDOW_MS: Millis = 1000;

/** The part of a stream that the log needs. */
export interface LogSink {
  readonly writableLength: number;
  write(text: string): unknown;
  on(event: "error", listener: () => void): unknown;
}

/**
 * Writes one JSON object a line to standard output.
 *
 * Lines beyond the rate, or that a reader does not take in time, are left out
 * and counted; errors and warnings are exempt from the rate. Long texts are
 * cut.
 */
export class StdoutLog implements Logger {
  readonly #nodeId: string;
  readonly #sink: LogSink;
  readonly #now: () => Date;
  #windowStartMs = 0;
  #lines = 0;
  #dropped = 0;
  #readerGone = false;

  constructor(
    nodeId: string,
    sink: LogSink = process.stdout,
    now: () => Date = () => new Date(),
  ) {
    this.#nodeId = nodeId;
    this.#sink = sink;
    this.#now = now;
    sink.on("error", () => {
      // The reader is gone. Nobody is left to tell; requests are served on.
      this.#readerGone = true;
    });
  }

  /** Lines left out since the last line that told their number. */
  get droppedLines(): number {
    return this.#dropped;
  }

  log(event: LogEventName, fields: LogFields = {}): void {
    const time = this.#now();
    this.#startWindow(time.getTime());
    const { level } = LOG_EVENTS[event];
    const limited = level === "info" || level === "debug";
    if (
      this.#readerGone ||
      limited && this.#lines >= MAX_LINES_PER_S ||
      this.#sink.writableLength > MAX_QUEUED_BYTES
    ) {
      this.#dropped++;
      return;
    }
    this.#lines++;
    this.#write(event, fields, time);
  }

  #startWindow(nowMs: number): void {
    if (
      nowMs >= this.#windowStartMs && nowMs - this.#windowStartMs < WINDOW_MS
    ) {
      return;
    }
    this.#windowStartMs = nowMs;
    this.#lines = 0;
    if (this.#readerGone) {
      return;
    }
    if (this.#dropped > 0 && this.#sink.writableLength <= MAX_QUEUED_BYTES) {
      const lines = this.#dropped;
      this.#dropped = 0;
      this.#write("log_lines_dropped", { lines }, this.#now());
    }
  }

  #write(event: LogEventName, fields: LogFields, time: Date): void {
    const { code, level, message } = LOG_EVENTS[event];
    this.#sink.write(
      `${
        JSON.stringify({
          time: time.toISOString(),
          level,
          event: code,
          name: event,
          node: this.#nodeId,
          message,
          ...shortened(fields),
        })
      }\n`,
    );
  }
}

function shortened(fields: LogFields): LogFields {
  let result = fields;
  for (const [key, value] of Object.entries(fields)) {
    if (typeof value === "string" && value.length > MAX_TEXT_LENGTH) {
      result = { ...result, [key]: `${value.slice(0, MAX_TEXT_LENGTH)}...` };
    }
  }
  return result;
}
