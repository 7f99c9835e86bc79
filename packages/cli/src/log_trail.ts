/** A log line of a router, as far as a trail needs it. */
export interface TrailLine {
  readonly time: string;
  readonly node: string;
  readonly name: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** What the log says of one request, oldest line first. */
export interface LogTrail {
  readonly requestId: string;
  readonly lines: readonly TrailLine[];
  /** What became of the request and why, for people. */
  readonly conclusion: string;
}

const FIRST_ERROR_STATUS = 400;

const OMITTED: ReadonlySet<string> = new Set([
  "event",
  "level",
  "message",
  "name",
  "node",
  "request_id",
  "time",
]);

const FAILURES: Readonly<Record<string, string>> = {
  connect: "no connection could be made; nothing was sent",
  error: "the endpoint ran the request and failed",
  foreign: "the answer belonged to another request or was not signed",
  garbled: "the bytes that came back were no answer",
  refused: "the endpoint promised not to run it",
  reset: "the connection ended before the answer did",
  silent: "no answer came in time",
};

const REASONS: Readonly<Record<string, string>> = {
  body_too_large: "the body is over the configured limit",
  deadline_passed: "the time of the caller or of the route was used up",
  endpoint_failed: "an endpoint failed and the request may not run again",
  endpoints_refused: "every endpoint tried promised not to run it",
  endpoints_unreachable: "no endpoint tried could be reached",
  header_too_large: "the headers are over the configured limit",
  no_config: "the router knew no configuration yet",
  no_endpoint: "no ready endpoint of the service was known",
  no_route: "no route of the configuration in force matches",
  retry_budget_spent: "it could be repeated, but the retry budget was spent",
  unknown_key: "no account of the configuration in force has the key",
};

/** Finds the lines of a request in log lines; other lines are skipped. */
export function findTrail(log: string, requestId: string): LogTrail {
  const lines = log.split("\n")
    .filter((line) => line.includes(requestId))
    .map(parseLine)
    .filter((line) => line?.requestId === requestId)
    .map((line) => line!.line)
    .sort((a, b) => a.time < b.time ? -1 : a.time > b.time ? 1 : 0);
  return { requestId, lines, conclusion: conclude(lines) };
}

/** Formats a trail for a terminal. */
export function formatTrail({ conclusion, lines }: LogTrail): string {
  const rows = lines.map(({ fields, name, node, time }) => {
    const shown = Object.entries(fields)
      .map(([key, value]) => `${key}=${String(value)}`).join(" ");
    return `${time} ${node} ${name} ${shown}`;
  });
  return [...rows, conclusion].join("\n");
}

function parseLine(
  text: string,
): { readonly requestId: string; readonly line: TrailLine } | undefined {
  let record: Record<string, unknown>;
  try {
    // Collectors may put a time or a host before the object.
    record = JSON.parse(text.slice(text.indexOf("{")));
  } catch {
    // A line of another program, or one that was cut: it names no request.
    return undefined;
  }
  const fields = Object.fromEntries(
    Object.entries(record).filter(([key]) => !OMITTED.has(key)),
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

function conclude(lines: readonly TrailLine[]): string {
  const last = lines.at(-1);
  if (!last) {
    return "No line names this request: it did not reach a router that was " +
      "up, or lines were left out (log_lines_dropped).";
  }
  if (last.name === "direct_call_rejected") {
    return `Refused before any attempt: ${reasonOf(last)}.`;
  }
  if (last.name !== "direct_request_finished") {
    return "The request has no end: the router ended while it was in flight. " +
      `Look for process_stopping and process_started of ${last.node}.`;
  }
  return `${outcomeOf(last)}: ${reasonOf(last)}.${failureOf(lines)}`;
}

const OUTCOMES: Readonly<Record<string, string>> = {
  "answered": "Answered",
  "broken_off": "The answer was cut",
  "caller_gone": "The caller left",
  "not-run": "Refused, and not run",
  "unknown": "Given up; it may have run",
};

function outcomeOf({ fields }: TrailLine): string {
  const { outcome, status } = fields;
  const failed = outcome === "answered" && Number(status) >= FIRST_ERROR_STATUS;
  return failed
    ? `Answered with the endpoint's own failure, status ${String(status)}`
    : OUTCOMES[String(outcome)] ?? "Ended";
}

function reasonOf({ fields }: TrailLine): string {
  const reason = fields["reason"];
  return reason === undefined
    ? `after ${String(fields["took_ms"])} ms and ${
      String(fields["attempts"])
    } attempts`
    : REASONS[String(reason)] ?? String(reason);
}

function failureOf(lines: readonly TrailLine[]): string {
  const failed = lines.findLast(({ name }) => name === "direct_attempt_failed");
  if (!failed) {
    return "";
  }
  const { endpoint, failure } = failed.fields;
  return ` Last failed attempt, at ${String(endpoint)}: ${
    FAILURES[String(failure)] ?? String(failure)
  }.`;
}
