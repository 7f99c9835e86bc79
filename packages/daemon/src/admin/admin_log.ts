/** Numbered log events of the administration API. */
export const ADMIN_LOG_EVENTS = {
  authentication_failed: { id: 701, level: "warn" },
  call_refused: { id: 702, level: "info" },
  call_failed: { id: 703, level: "error" },
  proposed: { id: 704, level: "info" },
  signed_off: { id: 705, level: "info" },
  activated: { id: 706, level: "info" },
  drain_requested: { id: 707, level: "info" },
  outcome_unknown: { id: 708, level: "error" },
  operators_stale: { id: 709, level: "warn" },
} as const;
export type AdminLogEventName = keyof typeof ADMIN_LOG_EVENTS;

export interface AdminLogEvent {
  readonly id: number;
  readonly level: "error" | "warn" | "info";
  readonly name: AdminLogEventName;
  readonly fields: Readonly<Record<string, unknown>>;
}

export function adminLogEvent(
  name: AdminLogEventName,
  fields: Readonly<Record<string, unknown>>,
): AdminLogEvent {
  return { ...ADMIN_LOG_EVENTS[name], name, fields };
}
