/**
 * A line of a router's log about one request; `fields` leaves out the fields
 * that every such line has.
 */
export interface RequestLogLine {
  readonly time: string;
  readonly node: string;
  readonly name: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/**
 * The log lines of one request, oldest first, and the conclusion drawn from
 * them.
 */
export interface RequestLog {
  readonly requestId: string;
  readonly lines: readonly RequestLogLine[];
  /** Outcome of the request and its reason, as a sentence for people. */
  readonly conclusion: string;
}

const FIRST_ERROR_STATUS = 400;

/**
 * Fields that every log line about a request has; they are left out of
 * {@link RequestLogLine.fields}.
 */
const OMITTED_FIELDS: ReadonlySet<string> = new Set([
  "event",
  "level",
  "message",
  "name",
  "node",
  "request_id",
  "time",
]);

const FAILURE_TEXTS: Readonly<Record<string, string>> = {
  connect: "no connection could be opened; nothing was sent",
  error: "the endpoint ran the request and answered with a failure",
  foreign: "the answer belonged to another request or had no valid signature",
  garbled: "the bytes received were not a valid HTTP answer",
  refused: "the endpoint confirmed that it did not run the request",
  reset: "the connection ended before the answer did",
  silent: "the endpoint sent nothing before the attempt timed out",
};

const REASON_TEXTS: Readonly<Record<string, string>> = {
  caller_memory:
    "the memory for what callers send is used up; see caller_evicted in the log",
  body_too_large: "the request body exceeds the configured limit",
  deadline_passed: "the deadline of the caller or of the route passed",
  endpoint_failed: "an endpoint failed and the request must not run again",
  endpoints_refused:
    "every endpoint tried confirmed that it did not run the request",
  endpoints_unreachable: "none of the endpoints tried could be reached",
  header_too_large: "the request headers exceed the configured limit",
  no_config: "the router had not received a configuration yet",
  no_endpoint: "the router knew no ready endpoint of the service",
  no_route: "no route of the configuration in force matches the request",
  retry_budget_spent: "a retry was possible, but the retry budget was used up",
  stream_version_gone:
    "no endpoint of the software version that began the stream is left",
  stream_version_unknown:
    "endpoints of several software versions serve, and no router knew which one began the stream",
  unknown_key: "no account of the configuration in force has this key",
};

/** Collects the lines of a request from a router log; skips other lines. */
export function findRequestLog(log: string, requestId: string): RequestLog {
  const lines = log.split("\n")
    .filter((line) => line.includes(requestId))
    .map(parseLogLine)
    .filter((line) => line?.requestId === requestId)
    .map((line) => line!.line)
    .sort((a, b) => a.time < b.time ? -1 : a.time > b.time ? 1 : 0);
  return { requestId, lines, conclusion: describeConclusion(lines) };
}

/**
 * Formats each log line as one line of text and adds the conclusion at the end.
 */
export function formatRequestLog({ conclusion, lines }: RequestLog): string {
  const rows = lines.map(({ fields, name, node, time }) => {
    const shown = Object.entries(fields)
      .map(([key, value]) => `${key}=${String(value)}`).join(" ");
    return `${time} ${node} ${name} ${shown}`;
  });
  return [...rows, conclusion].join("\n");
}

function parseLogLine(
  text: string,
): { readonly requestId: string; readonly line: RequestLogLine } | undefined {
  let record: Record<string, unknown>;
  try {
    // A log collector may put a time or a host name before the JSON object.
    record = JSON.parse(text.slice(text.indexOf("{")));
  } catch {
    // The line was written by another program or is truncated; skip it.
    return undefined;
  }
  const fields = Object.fromEntries(
    Object.entries(record).filter(([key]) => !OMITTED_FIELDS.has(key)),
  );
  return {
    requestId: String(record["request_id"]),
    line: {
      time: String(record["time"]),
      node: String(record["node"]),
      name: String(record["name"]),
      fields,
    },
  };
}

function describeConclusion(lines: readonly RequestLogLine[]): string {
  const last = lines.at(-1);
  if (!last) {
    return "No log line names this request: it did not reach a running router, " +
      "or its lines were dropped (see log_lines_dropped).";
  }
  if (last.name === "direct_call_rejected") {
    return `Rejected before any attempt: ${describeReason(last)}.`;
  }
  if (last.name !== "direct_request_finished") {
    return "The request has no final log line: the router exited while it ran. " +
      `Look for process_stopping and process_started of ${last.node}.`;
  }
  return `${describeOutcome(last)}: ${describeReason(last)}.${
    describeLastFailure(lines)
  }`;
}

const OUTCOME_TEXTS: Readonly<Record<string, string>> = {
  "answered": "Answered",
  "broken_off": "The answer was aborted",
  "caller_gone": "The caller disconnected",
  "not-run": "Rejected; no endpoint ran it",
  "unknown": "Outcome unknown; the request may have run",
};

function describeOutcome({ fields }: RequestLogLine): string {
  const { outcome, status } = fields;
  const failed = outcome === "answered" && Number(status) >= FIRST_ERROR_STATUS;
  return failed
    ? `Answered with the endpoint's error status ${String(status)}`
    : OUTCOME_TEXTS[String(outcome)] ?? "Ended";
}

function describeReason({ fields }: RequestLogLine): string {
  const reason = fields["reason"];
  return reason === undefined
    ? `after ${String(fields["took_ms"])} ms and ${
      String(fields["attempts"])
    } attempts`
    : REASON_TEXTS[String(reason)] ?? String(reason);
}

function describeLastFailure(lines: readonly RequestLogLine[]): string {
  const failed = lines.findLast(({ name }) => name === "direct_attempt_failed");
  if (!failed) {
    return "";
  }
  const { endpoint, failure } = failed.fields;
  return ` Last failed attempt, at ${String(endpoint)}: ${
    FAILURE_TEXTS[String(failure)] ?? String(failure)
  }.`;
}
