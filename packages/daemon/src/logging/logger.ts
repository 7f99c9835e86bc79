import {
  LOG_EVENTS,
  type LogEventName,
  type LogFields,
  type LogLevel,
} from "@anvildeal/core";
import { type ConsolaInstance, createConsola, LogLevels } from "consola";

/** Writes numbered log events. */
export interface Logger {
  log(event: LogEventName, fields?: LogFields): void;
}

/** Writes one JSON object per line to standard error. */
export class JsonLogger implements Logger {
  readonly #consola: ConsolaInstance;
  readonly #nodeId: string;

  constructor(nodeId: string, level: LogLevel) {
    this.#nodeId = nodeId;
    this.#consola = createConsola({
      level: LogLevels[level],
      reporters: [{
        log: ({ args }) => {
          process.stderr.write(`${JSON.stringify(args[0].record)}\n`);
        },
      }],
    });
  }

  log(event: LogEventName, fields: LogFields = {}): void {
    const { code, level, message } = LOG_EVENTS[event];
    // Consola unpacks an object that has a `message`, so the record is wrapped
    // in another object.
    this.#consola[level]({
      record: {
        time: new Date().toISOString(),
        level,
        event: code,
        name: event,
        node: this.#nodeId,
        message,
        ...fields,
      },
    });
  }
}
