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
 * Number ranges: 1000 to 1999 process, 2000 to 2999 router, 3000 to 3999
 * sidecar, 4000 to 4999 configuration and membership, 5000 to 5999
 * administration.
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
    message:
      "log lines were dropped because of the rate limit or a slow reader",
  },
  listening_stopped: {
    code: 1006,
    level: "info",
    message: "stopping process accepts no further connections",
  },
  peer_rejected: {
    code: 1010,
    level: "warn",
    message: "connection to peer was rejected or could not be opened",
  },
  peer_closed: {
    code: 1011,
    level: "debug",
    message: "connection to peer closed",
  },
  connection_silent: {
    code: 2001,
    level: "warn",
    message:
      "connection closed because the peer did not answer within the stall timeout",
  },
  request_finished: {
    code: 2010,
    level: "debug",
    message: "request answered",
  },
  request_given_up: {
    code: 2011,
    level: "info",
    message: "request ended with an error",
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
    message: "router rejected the call before an attempt was made",
  },
  caller_error: {
    code: 2034,
    level: "info",
    message: "caller sent bytes that are not a valid HTTP request",
  },
  caller_evicted: {
    code: 2035,
    level: "warn",
    message: "request or connection of a caller ended because of what it held",
  },
  frame_dropped: {
    code: 2020,
    level: "warn",
    message:
      "answer frame dropped: unknown attempt, wrong endpoint or wrong sequence number",
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
    message:
      "process was paused; queued attempts past their start window are refused",
  },
  order_refused: {
    code: 3030,
    level: "warn",
    message:
      "order refused: its fencing number is lower than the highest one accepted",
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
    message: "configuration sync reported an event",
  },
  routing_config_applied: {
    code: 4030,
    level: "info",
    message: "configuration version is in force",
  },
  endpoint_view_changed: {
    code: 4031,
    level: "info",
    message:
      "endpoint was added, restarted, moved, removed or changed its state",
  },
  event_failed: {
    code: 1020,
    level: "error",
    message: "event or one of its effects could not be handled",
  },
  unexpected_error: {
    code: 1021,
    level: "error",
    message: "error that nothing handled; the process goes on",
  },
  store_lost: {
    code: 4032,
    level: "warn",
    message: "directory does not answer; last known entries stay in use",
  },
  store_regained: {
    code: 4033,
    level: "info",
    message: "directory answers again",
  },
  store_restored: {
    code: 4040,
    level: "warn",
    message:
      "directory was restored from an older copy; collections are listed" +
      " again",
  },
  endpoint_suspected: {
    code: 4041,
    level: "info",
    message: "endpoint is avoided for a time because it seems to be down",
  },
  record_ignored: {
    code: 4034,
    level: "warn",
    message: "directory entry could not be decoded and was ignored",
  },
  peer_lost: {
    code: 4035,
    level: "warn",
    message: "connection to peer router lost",
  },
  peer_regained: {
    code: 4036,
    level: "info",
    message: "connection to peer router established",
  },
  readiness_changed: {
    code: 4037,
    level: "info",
    message: "readiness of the router changed",
  },
  directory_call_failed: {
    code: 4038,
    level: "info",
    message: "call to the directory failed",
  },
  watch_duty_changed: {
    code: 4039,
    level: "info",
    message: "part of the router in watching the directory changed",
  },
  endpoint_crashed: {
    code: 4042,
    level: "warn",
    message: "endpoint broke off its answers and does not listen any more",
  },
  prompt_part_blocked: {
    code: 4043,
    level: "warn",
    message:
      "endpoints crash under a prompt part; requests with it are refused",
  },
  prompt_part_unblocked: {
    code: 4044,
    level: "info",
    message: "a prompt part is sound; requests with it are served again",
  },
  prompt_part_tried: {
    code: 4045,
    level: "info",
    message: "request with a blocked prompt part was sent to try the part",
  },
  prompt_suspects_unknown: {
    code: 4046,
    level: "warn",
    message: "router serves without knowing which requests are blocked",
  },
  request_blocked: {
    code: 4049,
    level: "warn",
    message: "endpoints crash under a request; the same is refused",
  },
  request_unblocked: {
    code: 4050,
    level: "info",
    message: "a blocked request is sound and is served again",
  },
  request_tried: {
    code: 4051,
    level: "info",
    message: "a blocked request was sent to try it",
  },
  endpoint_limit_changed: {
    code: 4047,
    level: "info",
    message: "limit that an endpoint names for the requests of all routers",
  },
  endpoint_limit_invalid: {
    code: 4048,
    level: "warn",
    message: "endpoint names a limit that is no possible value; it is ignored",
  },
  endpoint_backs_off: {
    code: 4052,
    level: "info",
    message: "endpoint refused a request and wants none for a time",
  },
  endpoint_backoff_invalid: {
    code: 4053,
    level: "warn",
    message: "endpoint names a backoff in no known form; it is ignored",
  },
  endpoint_announces_drain: {
    code: 4054,
    level: "info",
    message: "endpoint says in an answer that it is draining",
  },
  stream_origin_unknown: {
    code: 4055,
    level: "warn",
    message: "stream is not continued: which version began it is not known",
  },
  stream_origin_uncertain: {
    code: 4056,
    level: "info",
    message: "stream began at an endpoint whose process may have changed",
  },
  stream_records_unconfirmed: {
    code: 4057,
    level: "info",
    message: "records of streams were not stored in time; router writes them",
  },
  stream_records_read: {
    code: 4058,
    level: "info",
    message: "records of streams were read",
  },
  evacuation_ordered: {
    code: 4060,
    level: "warn",
    message: "operators ordered to evacuate a failure domain",
  },
  evacuation_complete: {
    code: 4061,
    level: "info",
    message: "no request of this router runs in an evacuated domain any more",
  },
  evacuation_ended: {
    code: 4062,
    level: "info",
    message: "order to evacuate a failure domain was withdrawn",
  },
  evacuations_unknown: {
    code: 4063,
    level: "warn",
    message: "router serves without knowing which domains are evacuated",
  },
  endpoint_cold: {
    code: 4070,
    level: "info",
    message: "endpoint is cold and gets few requests for a time",
  },
  endpoint_warm: {
    code: 4071,
    level: "info",
    message: "endpoint is not cold any more",
  },
  overload_started: {
    code: 4080,
    level: "warn",
    message: "router is behind; requests wait for their placement",
  },
  overload_ended: {
    code: 4081,
    level: "info",
    message: "router is not behind any more",
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
    message: "operator signed off a proposal",
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
    message: "outcome of a write of an administration call is unknown",
  },
  admin_operators_stale: {
    code: 5009,
    level: "warn",
    message: "operator list could not be read; the list read last is in use",
  },
} as const satisfies Record<string, LogEventDefinition>;

export type LogEventName = keyof typeof LOG_EVENTS;

/** Fields of a log event in addition to its message. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;
