import { describe, expect, it } from "vitest";
import { findTrail, formatTrail } from "./log_trail.js";

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

function finished(outcome: string, reason?: string): string {
  return line("direct_request_finished", {
    at: 3,
    request_id: "r1",
    outcome,
    reason,
    attempts: 1,
    took_ms: 30,
  });
}

describe("findTrail", () => {
  it("puts the lines of one request in order, whatever is around them", () => {
    const log = [
      `2.5 edge-1 ${finished("unknown", "endpoint_failed")}`,
      "not a log line with r1",
      line("direct_attempt_started", { at: 1, request_id: "r10" }),
      FAILED,
      STARTED,
    ].join("\n");
    const trail = findTrail(log, "r1");
    expect(trail.lines.map(({ name }) => name)).toEqual([
      "direct_attempt_started",
      "direct_attempt_failed",
      "direct_request_finished",
    ]);
    expect(formatTrail(trail)).toContain("decision=warm");
  });

  it.each([
    [
      "a write with unknown outcome",
      [STARTED, FAILED, finished("unknown", "endpoint_failed")],
      "Given up; it may have run: an endpoint failed and the request may not " +
      "run again. Last failed attempt, at e1: the connection ended before " +
      "the answer did.",
    ],
    [
      "a refusal",
      [finished("not-run", "no_endpoint")],
      "Refused, and not run: no ready endpoint of the service was known.",
    ],
    [
      // Once said only that the request was answered.
      "a failure that the endpoint answered with",
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
      "Answered with the endpoint's own failure, status 500: after 30 ms and " +
      "2 attempts.",
    ],
    [
      "a stream broken off",
      [STARTED, FAILED, finished("broken_off", "retry_budget_spent")],
      "The answer was cut: it could be repeated, but the retry budget was " +
      "spent. Last failed attempt, at e1: the connection ended before the " +
      "answer did.",
    ],
    [
      "a router that was killed",
      [STARTED],
      "The request has no end: the router ended while it was in flight. " +
      "Look for process_stopping and process_started of edge-1.",
    ],
    [
      "a request that no router saw",
      [],
      "No line names this request: it did not reach a router that was up, " +
      "or lines were left out (log_lines_dropped).",
    ],
  ])("concludes for %s", (_what, lines, conclusion) => {
    expect(findTrail(lines.join("\n"), "r1").conclusion).toBe(conclusion);
  });
});
