import { LOG_EVENTS, type LogEventName, type LogLevel } from "@anvildeal/core";

type AdminLogKey = Extract<LogEventName, `admin_${string}`>;

/**
 * Names of the log events of the administration API, without the prefix
 * `admin_`.
 */
export type AdminLogEventName = AdminLogKey extends `admin_${infer Name}` ? Name
  : never;

/** A log event of the administration API; `id` is its number. */
export interface AdminLogEvent {
  readonly id: number;
  readonly level: LogLevel;
  readonly name: AdminLogEventName;
  readonly fields: Readonly<Record<string, unknown>>;
}

export function adminLogEvent(
  name: AdminLogEventName,
  fields: Readonly<Record<string, unknown>>,
): AdminLogEvent {
  const { code, level } = LOG_EVENTS[`admin_${name}`];
  return { id: code, level, name, fields };
}
