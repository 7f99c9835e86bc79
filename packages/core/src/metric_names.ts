/** Counters and histograms that reducers update with `measure` effects. */
export const METRICS = {
  requests_total: {
    kind: "counter",
    help: "Requests by kind and result",
    labels: ["kind", "result"],
  },
  refusals_total: {
    kind: "counter",
    help: "Refusals of attempts and requests by reason",
    labels: ["reason"],
  },
  placements_total: {
    kind: "counter",
    help: "Submitted attempts by what decided the placement",
    labels: ["decision"],
  },
  repeats_total: {
    kind: "counter",
    help: "Attempts submitted again, by cause",
    labels: ["cause"],
  },
  repeats_denied_total: {
    kind: "counter",
    help: "Repeats that the retry budget did not allow",
    labels: [],
  },
  frames_dropped_total: {
    kind: "counter",
    help: "Frames for unknown attempts or with a wrong sequence number",
    labels: ["reason"],
  },
  silent_connections_total: {
    kind: "counter",
    help: "Connections closed because they delivered no frame",
    labels: [],
  },
  resumes_total: {
    kind: "counter",
    help: "Attempts resumed over a new connection",
    labels: [],
  },
  probes_total: {
    kind: "counter",
    help: "Probes by result",
    labels: ["result"],
  },
  first_token_ms: {
    kind: "histogram",
    help: "Time from the receipt of a request to its first token, in ms",
    labels: ["pool"],
  },
  inter_token_ms: {
    kind: "histogram",
    help: "Mean time between the chunks of one answer, in ms",
    labels: ["pool"],
  },
  request_ms: {
    kind: "histogram",
    help: "Time from the receipt of a request to its end, in ms",
    labels: ["pool"],
  },
  prompt_tokens_total: {
    kind: "counter",
    help: "Prompt tokens of answered requests",
    labels: ["pool"],
  },
  cached_tokens_total: {
    kind: "counter",
    help: "Prompt tokens that endpoints found in their cache",
    labels: ["pool"],
  },
  output_tokens_total: {
    kind: "counter",
    help: "Generated tokens",
    labels: ["pool"],
  },
  deadline_missed_total: {
    kind: "counter",
    help: "Requests whose deadline passed before their answer ended",
    labels: ["pool"],
  },
  bound_checks_total: {
    kind: "counter",
    help: "Decisions of the load bound",
    labels: ["decision"],
  },
  load_over_mean: {
    kind: "histogram",
    help: "Load after admission as a multiple of the pool mean",
    labels: [],
  },
  queue_wait_ms: {
    kind: "histogram",
    help: "Time that attempts waited in the sidecar's queue, in ms",
    labels: [],
  },
  config_sync_total: {
    kind: "counter",
    help: "Steps of configuration sync by kind",
    labels: ["step"],
  },
  membership_total: {
    kind: "counter",
    help: "Membership decisions by kind",
    labels: ["step"],
  },
  direct_requests_total: {
    kind: "counter",
    help: "Requests of routers without sidecars by kind and result",
    labels: ["kind", "result"],
  },
  callers_evicted_total: {
    kind: "counter",
    help: "Requests and connections of callers ended because of what they held",
    labels: ["reason"],
  },
  direct_rejections_total: {
    kind: "counter",
    help: "Calls refused before they became requests, by reason",
    labels: ["reason"],
  },
  direct_attempts_total: {
    kind: "counter",
    help: "Attempts at endpoints by what decided the placement",
    labels: ["decision"],
  },
  direct_attempt_failures_total: {
    kind: "counter",
    help: "Attempts at endpoints that failed, by cause",
    labels: ["cause"],
  },
  direct_copied_runs_total: {
    kind: "counter",
    help: "Attempts whose runs are copied to a second endpoint",
    labels: [],
  },
  direct_resumptions_total: {
    kind: "counter",
    help: "Streams that broke off and have a copy of their run, by result",
    labels: ["result"],
  },
  direct_request_ms: {
    kind: "histogram",
    help: "Time from the receipt of a request to its end, in ms",
    labels: ["kind"],
  },
  direct_first_byte_ms: {
    kind: "histogram",
    help: "Time from the receipt of a request to its answer's head, in ms",
    labels: ["kind"],
  },
  evacuation_refusals_total: {
    kind: "counter",
    help: "Requests refused because their endpoints are in evacuated domains",
    labels: [],
  },
  placement_wait_ms: {
    kind: "histogram",
    help: "Time that requests waited for placement while the router was behind",
    labels: ["priority"],
  },
  unplaced_requests_total: {
    kind: "counter",
    help: "Requests that ended before placement while the router was behind",
    labels: ["reason"],
  },
  direct_output_over_expected: {
    kind: "histogram",
    help: "Output tokens of streams divided by those expected at the start",
    labels: [],
  },
  direct_first_event_over_expected: {
    kind: "histogram",
    help: "Time to the first event of streams divided by that expected",
    labels: [],
  },
  directory_calls_total: {
    kind: "counter",
    help: "Calls to the platform's directory by kind and result",
    labels: ["kind", "result"],
  },
} as const satisfies Record<
  string,
  {
    kind: "counter" | "histogram";
    help: string;
    labels: readonly string[];
  }
>;

export type MetricName = keyof typeof METRICS;

/** One observation of a metric. */
export interface Measurement {
  readonly metric: MetricName;
  readonly value: number;
  readonly labels: Readonly<Record<string, string>>;
}
