import { beforeEach, describe, expect, it } from "vitest";
import type { DirectEffect, DirectEvent } from "./direct_event.js";
import type { DirectState } from "./direct_state.js";
import {
  ACCEPTED_HEAD,
  configReceived,
  endpointsListed,
  poolCall,
  poolConfig,
  poolEndpoint,
  poolState,
  startedEndpointId,
} from "./pool_fixture.js";
import { contentTraitOf, promptPartTraitsOf } from "./request_trait.js";
import { SuspectReportSchema } from "./suspect_report.js";
import { reduceDirect } from "./reduce_direct.js";

const ENDPOINT_COUNT = 12;

/** Delay from the block of a part to the first request that tries it. */
const FIRST_TRIAL_MS = 60_000;

const CRASH = { crashedMs: 0, ranMs: 10, isRetry: false };

const CONFIG = poolConfig({ sticky: true });

describe("blocked prompt parts", () => {
  let state: DirectState;
  let nowMs: number;
  let key: number;

  beforeEach(() => {
    nowMs = 0;
    key = 0;
    state = poolState({ loadMultiple: 1.5 });
    dispatch(configReceived(CONFIG));
    const records = Array.from(
      { length: ENDPOINT_COUNT },
      (_, i) => poolEndpoint(`e${i}`),
    );
    dispatch(endpointsListed(nowMs, records));
    setFirstRouter(true);
  });

  function dispatch(event: DirectEvent): DirectEffect[] {
    return reduceDirect(state, event);
  }

  function setFirstRouter(isFirst: boolean): void {
    dispatch({ type: "router_count_observed", nowMs, routerCount: 2, isFirst });
  }

  function send(...parts: string[]): DirectEffect[] {
    key++;
    return dispatch({
      type: "call_received",
      nowMs,
      key,
      call: poolCall({
        promptTokens: 300,
        promptParts: [...parts, `own-${key}`].map((id) => ({ id, tokens: 9 })),
      }),
    });
  }

  function endpointOf(effects: readonly DirectEffect[]): string {
    return startedEndpointId(effects)!;
  }

  /** Sends a request under which its endpoint crashes. */
  function crash(...parts: string[]): void {
    const endpointId = endpointOf(send(...parts));
    nowMs += 50;
    dispatch({
      type: "attempt_failed",
      nowMs,
      key,
      attemptNumber: 1,
      failure: { kind: "reset", sent: true },
      canResume: false,
    });
    nowMs += 50;
    dispatch({
      type: "endpoint_checked",
      nowMs,
      endpointId,
      refusesConnections: true,
    });
    nowMs += 150;
    dispatch({ type: "suspects_review_due", nowMs });
    nowMs += 100;
  }

  function recordCrash(number: number, partIds: readonly string[]) {
    return state.crashSuspects.recordCrash(
      number,
      { ...CRASH, endpointProcess: `e${number}@1`, crashedMs: number },
      partIds.map((partId) => ({
        kind: "prompt_part",
        service: "pool",
        partId,
      })),
    );
  }

  function block(): void {
    for (let i = 0; i < 4; i++) {
      crash("root", "bad");
      answer("root", `page-${i}`);
    }
  }

  function answer(...parts: string[]): void {
    send(...parts);
    const fields = { nowMs, key, attemptNumber: 1 };
    dispatch({ type: "attempt_head", ...fields, head: ACCEPTED_HEAD });
    dispatch({ type: "attempt_ended", ...fields });
  }

  function refusalOf(effects: readonly DirectEffect[]) {
    const refused = effects.find(({ type }) => type === "refuse");
    return refused?.type === "refuse" ? refused.refusal : undefined;
  }

  const isSent = (effects: readonly DirectEffect[]) =>
    effects.some(({ type }) => type === "start_attempt");

  it("are refused as not run, with the time of the next trial", () => {
    block();
    const effects = send("root", "bad");
    expect(isSent(effects)).toBe(false);
    expect(refusalOf(effects)).toMatchObject({
      status: 503,
      reason: "prompt_part_blocked",
      outcome: "not-run",
    });
    expect(refusalOf(effects)!.retryAfterMs).toBeGreaterThan(50_000);
    expect(isSent(send("root", "page-9"))).toBe(true);
  });

  // Guards against callers of sound prompts who stay away for a minute although
  // the block is lifted within a second or two.
  it("are refused for a short time while another part may be at fault", () => {
    for (let i = 0; i < 4; i++) {
      crash("root", "bad");
    }
    expect(isSent(send("root", "page"))).toBe(true);
    expect(refusalOf(send("root", "page-1"))!.retryAfterMs).toBe(2000);
    expect(refusalOf(send("root", "bad"))!.retryAfterMs)
      .toBeGreaterThan(50_000);
  });

  // Guards against requests that were sent before the part was found out and
  // crash the endpoints at which they wait.
  it("end requests that wait at endpoints", () => {
    for (let i = 0; i < 3; i++) {
      crash("root", "bad");
      answer("root", `page-${i}`);
    }
    const waiting = send("other", "bad");
    const waitingKey = key;
    expect(isSent(waiting)).toBe(true);
    crash("root", "bad");
    expect(state.requests.has(waitingKey)).toBe(false);
  });

  // Guards against trials by each router, or by each process after its start.
  it("are tried by one request of one router, later and later", () => {
    block();
    nowMs += FIRST_TRIAL_MS;
    setFirstRouter(false);
    expect(isSent(send("root", "bad"))).toBe(false);
    setFirstRouter(true);
    const effects = send("root", "bad");
    expect(isSent(effects)).toBe(true);
    expect(effects.findIndex(({ type }) => type === "share_suspects"))
      .toBeLessThan(effects.findIndex(({ type }) => type === "start_attempt"));
    nowMs += FIRST_TRIAL_MS;
    expect(isSent(send("root", "bad"))).toBe(false);
  });

  // Guards against a trial that goes from one endpoint to the next.
  it("are not retried by a trial", () => {
    block();
    nowMs += FIRST_TRIAL_MS;
    send("root", "bad");
    const effects = dispatch({
      type: "attempt_failed",
      nowMs,
      key,
      attemptNumber: 1,
      failure: { kind: "connect", sent: false },
      canResume: true,
    });
    expect(isSent(effects)).toBe(false);
  });

  // Guards against a trial that is used up at an endpoint which is known to be gone.
  it("are not tried while no endpoint seems to be sound", () => {
    block();
    nowMs += FIRST_TRIAL_MS;
    for (const endpoint of state.directory.all()) {
      endpoint.markCrashed(nowMs);
    }
    expect(isSent(send("root", "bad"))).toBe(false);
    nowMs += 10_000;
    expect(isSent(send("root", "bad"))).toBe(true);
  });

  it("are unblocked when the answer of a trial ends well", () => {
    block();
    nowMs += FIRST_TRIAL_MS;
    answer("root", "bad");
    expect(isSent(send("root", "bad"))).toBe(true);
  });

  // Guards against blaming the endpoints' own faults on what they were sent.
  it.each(
    [
      ["still listens", "ready", false],
      ["is leaving", "draining", true],
    ] as const,
  )("need an endpoint that crashed, not one that %s", (
    _name,
    endpointState,
    refusesConnections,
  ) => {
    for (let i = 0; i < 6; i++) {
      const endpointId = endpointOf(send("root", "bad"));
      const endpoint = state.directory.get(endpointId)!;
      endpoint.record = { ...endpoint.record, state: endpointState };
      nowMs += 300;
      dispatch({
        type: "attempt_failed",
        nowMs,
        key,
        attemptNumber: 1,
        failure: { kind: "reset", sent: true },
        canResume: false,
      });
      dispatch({
        type: "endpoint_checked",
        nowMs,
        endpointId,
        refusesConnections,
      });
      dispatch({ type: "suspects_review_due", nowMs });
    }
    expect(isSent(send("root", "bad"))).toBe(true);
  });

  // Guards against the memory that callers who invent parts would take.
  it("are bounded in number when each crash names other parts", () => {
    for (let i = 0; i < 6000; i++) {
      recordCrash(i, [`part-${i}`]);
    }
    block();
    expect(isSent(send("root", "bad"))).toBe(false);
    expect(state.crashSuspects.reports(nowMs).length).toBeLessThan(300);
  });

  // Guards against evidence that other routers reject together with the
  // connection, because callers send many parts or long ids.
  it("are reported in a form that other routers can read", () => {
    const ids = Array.from({ length: 40 }, (_, i) => `part-${i}`);
    const request = {
      call: poolCall({
        path: `/${"p".repeat(500)}?q`,
        method: "M".repeat(500),
        contentDigest: () => "0".repeat(32),
        promptParts: ["x".repeat(500), ...ids].map((id) => ({ id, tokens: 1 })),
      }),
      service: "pool",
      account: { name: "a".repeat(500) },
    };
    const changed = state.crashSuspects.recordCrash(
      0,
      { ...CRASH, endpointProcess: "e0@1" },
      [contentTraitOf(request), ...promptPartTraitsOf(request)],
    );
    expect(changed.length).toBeGreaterThan(1);
    for (const report of state.crashSuspects.reports(0)) {
      expect(SuspectReportSchema.safeParse(report).success).toBe(true);
    }
  });

  // Guards against calls that are served before the router knows the blocks.
  it("are awaited by a router that has just started, for a second", () => {
    state = poolState({ loadMultiple: 1.5, awaitsSuspects: true });
    dispatch(configReceived(CONFIG));
    dispatch(endpointsListed(nowMs, [poolEndpoint("e1")]));
    expect(isSent(send("root", "page"))).toBe(false);
    dispatch({ type: "tick", nowMs });
    nowMs += 1000;
    expect(isSent(dispatch({ type: "tick", nowMs }))).toBe(true);
  });
});
