import {
  LOG_EVENTS,
  type LogEventName,
  type LogFields,
  type Millis,
} from "@anvildeal/core";
import type { Logger } from "../logging/index.js";

/**
 * Maximum number of lines of level info or debug that a process writes in each
 * second.
 */
const MAX_LINES_PER_S = 400;

/** Lines are dropped while more bytes than this wait for a slow reader. */
const MAX_QUEUED_BYTES = 512 * 1024;

/** Longer texts are truncated, since callers choose some of them. */
const MAX_TEXT_LENGTH = 300;

const WINDOW_MS: Millis = 1000;

/**
 * Lines of level info or debug are written together with those of the following
 * time, since a write takes more CPU time than the serialization of a line.
 */
const WRITE_DELAY_MS: Millis = 25;

/** Lines that wait are written at once if they have more characters. */
const MAX_WAITING_LENGTH = 16 * 1024;

/** The part of a writable stream that the log uses. */
export interface LogSink {
  readonly writableLength: number;
  write(text: string): unknown;
  on(event: "error", listener: () => void): unknown;
}

/** How lines are written. */
export interface StdoutLogOptions {
  /**
   * Writes lines of level info and debug a little later, several at once. The
   * calling code must call {@link StdoutLog.flush} before the process ends.
   */
  readonly delaysWrites?: boolean;
}

/**
 * Writes one JSON object per line to standard output. Drops and counts lines
 * beyond the rate limit and lines that are not read fast enough. The rate limit
 * does not apply to errors and warnings. Long texts are truncated.
 */
export class StdoutLog implements Logger {
  readonly #nodeId: string;
  readonly #sink: LogSink;
  readonly #now: () => Date;
  #windowStartMs = 0;
  #linesInWindow = 0;
  #dropped = 0;
  #readerClosed = false;
  readonly #delaysWrites: boolean;
  /** Lines that are not written yet. */
  #waiting = "";
  #writeTimer: NodeJS.Timeout | undefined;

  constructor(
    nodeId: string,
    sink: LogSink = process.stdout,
    now: () => Date = () => new Date(),
    { delaysWrites = false }: StdoutLogOptions = {},
  ) {
    this.#delaysWrites = delaysWrites;
    this.#nodeId = nodeId;
    this.#sink = sink;
    this.#now = now;
    sink.on("error", () => {
      // The reader closed the pipe. The process continues without a log.
      this.#readerClosed = true;
    });
  }

  /** Lines dropped since the last `log_lines_dropped` line. */
  get droppedLines(): number {
    return this.#dropped;
  }

  log(event: LogEventName, fields: LogFields = {}): void {
    const time = this.#now();
    this.#startWindow(time.getTime());
    if (
      this.#readerClosed ||
      isRateLimited(event) && this.#linesInWindow >= MAX_LINES_PER_S ||
      this.#sink.writableLength > MAX_QUEUED_BYTES
    ) {
      this.#dropped++;
      return;
    }
    this.#linesInWindow++;
    this.#write(event, fields, time);
  }

  /** Writes the lines that wait. */
  flush(): void {
    clearTimeout(this.#writeTimer);
    this.#writeTimer = undefined;
    if (this.#waiting !== "") {
      const lines = this.#waiting;
      this.#waiting = "";
      this.#sink.write(lines);
    }
  }

  #startWindow(nowMs: number): void {
    if (
      nowMs >= this.#windowStartMs && nowMs - this.#windowStartMs < WINDOW_MS
    ) {
      return;
    }
    this.#windowStartMs = nowMs;
    this.#linesInWindow = 0;
    if (this.#readerClosed) {
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
    this.#waiting += `${
      JSON.stringify({
        time: time.toISOString(),
        level,
        event: code,
        name: event,
        node: this.#nodeId,
        message,
        ...truncateTexts(fields),
      })
    }\n`;
    if (
      !this.#delaysWrites || !isRateLimited(event) ||
      this.#waiting.length > MAX_WAITING_LENGTH
    ) {
      this.flush();
    } else {
      this.#writeTimer ??= setTimeout(() => this.flush(), WRITE_DELAY_MS);
    }
  }
}

function isRateLimited(event: LogEventName): boolean {
  const { level } = LOG_EVENTS[event];
  return level === "info" || level === "debug";
}

function truncateTexts(fields: LogFields): LogFields {
  let result = fields;
  for (const [key, value] of Object.entries(fields)) {
    if (typeof value === "string" && value.length > MAX_TEXT_LENGTH) {
      result = { ...result, [key]: `${value.slice(0, MAX_TEXT_LENGTH)}...` };
    }
  }
  return result;
}
