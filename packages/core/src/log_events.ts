/** Severity of a log event. */
export type LogLevel = "error" | "warn" | "info" | "debug";

interface LogEventDefinition {
  readonly code: number;
  readonly level: LogLevel;
  readonly message: string;
}

/**
 * Every log event with its number. docs/log_events.md lists the same events
 * for operators; a test compares both.
 *
 * 1000 to 1999 process, 2000 to 2999 router, 3000 to 3999 sidecar, 4000 to
 * 4999 configuration and membership, 5000 to 5999 administration.
 */
export const LOG_EVENTS = {
  process_started: {
    code: 1000,
    level: "info",
    message: "process started",
  },
  process_stopping: {
    code: 1001,
    level: "info",
    message: "graceful shutdown started",
  },
  process_stopped: {
    code: 1002,
    level: "info",
    message: "process stopped",
  },
  settings_invalid: {
    code: 1003,
    level: "error",
    message: "settings file was rejected",
  },
  settings_reloaded: {
    code: 1004,
    level: "info",
    message: "changed settings are in force",
  },
  log_lines_dropped: {
    code: 1005,
    level: "warn",
    message: "log lines were left out to bound their volume",
  },
  peer_rejected: {
    code: 1010,
    level: "warn",
    message: "peer connection was closed because of invalid data",
  },
  peer_closed: {
    code: 1011,
    level: "debug",
    message: "peer connection closed",
  },
  connection_silent: {
    code: 2001,
    level: "warn",
    message: "connection delivered no frame within the limit and was closed",
  },
  request_finished: {
    code: 2010,
    level: "debug",
    message: "request answered",
  },
  request_given_up: {
    code: 2011,
    level: "info",
    message: "request refused or given up",
  },
  request_repeated: {
    code: 2012,
    level: "info",
    message: "request submitted again after a failed attempt",
  },
  direct_attempt_started: {
    code: 2030,
    level: "info",
    message: "request sent to an endpoint",
  },
  direct_attempt_failed: {
    code: 2031,
    level: "info",
    message: "attempt at an endpoint failed",
  },
  direct_request_finished: {
    code: 2032,
    level: "info",
    message: "request ended",
  },
  direct_call_rejected: {
    code: 2033,
    level: "info",
    message: "call refused before it became a request",
  },
  caller_error: {
    code: 2034,
    level: "info",
    message: "caller sent bytes that are no request",
  },
  frame_dropped: {
    code: 2020,
    level: "warn",
    message: "frame for an unknown attempt or with a wrong number was dropped",
  },
  endpoint_state_changed: {
    code: 3001,
    level: "info",
    message: "endpoint state changed",
  },
  attempt_failed: {
    code: 3010,
    level: "info",
    message: "attempt failed at the endpoint",
  },
  pause_detected: {
    code: 3020,
    level: "warn",
    message: "process was paused; attempts past their start window are refused",
  },
  order_refused: {
    code: 3030,
    level: "warn",
    message: "order with an old fencing number was refused",
  },
  config_applied: {
    code: 4001,
    level: "info",
    message: "configuration version is in force",
  },
  membership_note: {
    code: 4010,
    level: "info",
    message: "membership changed",
  },
  config_note: {
    code: 4011,
    level: "info",
    message: "configuration sync",
  },
  routing_config_applied: {
    code: 4030,
    level: "info",
    message: "configuration version is in force",
  },
  endpoint_view_changed: {
    code: 4031,
    level: "info",
    message: "endpoint appeared, changed its state or disappeared",
  },
  store_lost: {
    code: 4032,
    level: "warn",
    message: "directory does not answer",
  },
  store_regained: {
    code: 4033,
    level: "info",
    message: "directory answers",
  },
  record_ignored: {
    code: 4034,
    level: "warn",
    message: "directory entry cannot be read and names nothing",
  },
  peer_lost: {
    code: 4035,
    level: "warn",
    message: "router fell silent",
  },
  peer_regained: {
    code: 4036,
    level: "info",
    message: "router answers",
  },
  readiness_changed: {
    code: 4037,
    level: "info",
    message: "router changed whether it takes new callers",
  },
  directory_call_failed: {
    code: 4038,
    level: "info",
    message: "call to the directory failed",
  },
  watch_duty_changed: {
    code: 4039,
    level: "info",
    message: "router began or ceased to watch the directory for others",
  },
  store_failed: {
    code: 4020,
    level: "warn",
    message: "object API call failed",
  },
  admin_authentication_failed: {
    code: 5001,
    level: "warn",
    message: "administration call without a valid operator key",
  },
  admin_call_refused: {
    code: 5002,
    level: "info",
    message: "administration call was refused",
  },
  admin_call_failed: {
    code: 5003,
    level: "error",
    message: "administration call failed",
  },
  admin_proposed: {
    code: 5004,
    level: "info",
    message: "operator proposed a configuration",
  },
  admin_signed_off: {
    code: 5005,
    level: "info",
    message: "operator signed a proposal off",
  },
  admin_activated: {
    code: 5006,
    level: "info",
    message: "operator activated a configuration version",
  },
  admin_drain_requested: {
    code: 5007,
    level: "info",
    message: "operator asked an endpoint to drain",
  },
  admin_outcome_unknown: {
    code: 5008,
    level: "error",
    message: "write of an administration call may or may not have been made",
  },
  admin_operators_stale: {
    code: 5009,
    level: "warn",
    message: "operators could not be read; those read last are accepted",
  },
} as const satisfies Record<string, LogEventDefinition>;

export type LogEventName = keyof typeof LOG_EVENTS;

/** Values that a log event carries beside its text. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;
