import { describe, expect, it } from "vitest";
import { findRequestLog, formatRequestLog } from "./request_log.js";

function line(name: string, fields: Record<string, unknown>): string {
  return JSON.stringify({
    time: `2026-01-01T00:00:00.${String(fields["at"]).padStart(3, "0")}Z`,
    level: "info",
    event: 1,
    name,
    node: "edge-1",
    message: "text",
    ...fields,
  });
}

const STARTED = line("direct_attempt_started", {
  at: 1,
  request_id: "r1",
  endpoint: "e1",
  decision: "warm",
});
const FAILED = line("direct_attempt_failed", {
  at: 2,
  request_id: "r1",
  endpoint: "e1",
  failure: "reset",
});

function finishedLine(outcome: string, reason?: string): string {
  return line("direct_request_finished", {
    at: 3,
    request_id: "r1",
    outcome,
    reason,
    attempts: 1,
    took_ms: 30,
  });
}

describe("findRequestLog", () => {
  it("sorts the lines of one request and skips all other text", () => {
    const log = [
      `2.5 edge-1 ${finishedLine("unknown", "endpoint_failed")}`,
      "not a log line with r1",
      line("direct_attempt_started", { at: 1, request_id: "r10" }),
      FAILED,
      STARTED,
    ].join("\n");
    const requestLog = findRequestLog(log, "r1");
    expect(requestLog.lines.map(({ name }) => name)).toEqual([
      "direct_attempt_started",
      "direct_attempt_failed",
      "direct_request_finished",
    ]);
    expect(formatRequestLog(requestLog)).toContain("decision=warm");
  });

  it.each([
    [
      "a write with unknown outcome",
      [STARTED, FAILED, finishedLine("unknown", "endpoint_failed")],
      "Outcome unknown; the request may have run: an endpoint failed and the " +
      "request must not run again. Last failed attempt, at e1: the " +
      "connection ended before the answer did.",
    ],
    [
      "a rejected request",
      [finishedLine("not-run", "no_endpoint")],
      "Rejected; no endpoint ran it: the router knew no ready endpoint of the service.",
    ],
    [
      // Guards against a conclusion that hides the endpoint's error status.
      "an error status that the endpoint answered with",
      [
        line("direct_request_finished", {
          at: 3,
          request_id: "r1",
          outcome: "answered",
          status: 500,
          attempts: 2,
          took_ms: 30,
        }),
      ],
      "Answered with the endpoint's error status 500: after 30 ms and " +
      "2 attempts.",
    ],
    [
      "an aborted stream",
      [STARTED, FAILED, finishedLine("broken_off", "retry_budget_spent")],
      "The answer was aborted: a retry was possible, but the retry budget was " +
      "used up. Last failed attempt, at e1: the connection ended before the " +
      "answer did.",
    ],
    [
      "a router that was killed",
      [STARTED],
      "The request has no final log line: the router exited while it ran. " +
      "Look for process_stopping and process_started of edge-1.",
    ],
    [
      "a request that no router saw",
      [],
      "No log line names this request: it did not reach a running router, " +
      "or its lines were dropped (see log_lines_dropped).",
    ],
  ])("draws the right conclusion for %s", (_case, lines, conclusion) => {
    expect(findRequestLog(lines.join("\n"), "r1").conclusion).toBe(conclusion);
  });
});
