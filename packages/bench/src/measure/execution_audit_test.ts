import { describe, expect, it } from "vitest";
import { planApproval } from "../load/grants_workload.js";
import type { RequestResult, Verdict } from "../load/request_result.js";
import { ExecutionAudit } from "./execution_audit.js";

function resultOf(
  callId: string,
  verdict: Verdict,
  outcome?: string,
): RequestResult {
  return {
    plan: planApproval(0, "account", callId, true),
    verdict,
    atMs: 0,
    totalMs: 1,
    gapsMs: [],
    promptTokens: 0,
    cachedTokens: 0,
    outputTokens: 0,
    oracleTokens: 0,
    routerIndex: 0,
    ...(outcome === undefined ? {} : { outcome }),
  };
}

describe("ExecutionAudit", () => {
  it("counts a call that ran on each of two backends as a duplicate", () => {
    const audit = new ExecutionAudit();
    audit.add({ executions: [{ id: "a", started: 1 }] });
    audit.add({ executions: [{ id: "a", started: 1 }] });
    expect(audit.summarize([resultOf("a", "whole")]).duplicate_executions)
      .toBe(1);
  });

  it("counts a not-run call that ran, unless a repeat succeeded", () => {
    const audit = new ExecutionAudit();
    audit.add({
      executions: [{ id: "a", started: 1 }, { id: "b", started: 1 }],
    });
    const summary = audit.summarize([
      resultOf("a", "refused", "not-run"),
      resultOf("b", "refused", "not-run"),
      resultOf("b", "whole"),
    ]);
    expect(summary.not_run_but_ran).toBe(1);
    expect(summary.duplicate_executions).toBe(0);
  });

  it("counts a call that was answered successfully but never ran", () => {
    const summary = new ExecutionAudit().summarize([resultOf("a", "whole")]);
    expect(summary.answered_but_not_run).toBe(1);
  });
});
